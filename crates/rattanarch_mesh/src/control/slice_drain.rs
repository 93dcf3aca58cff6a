//! Slices that are drained before their release.

use std::collections::BTreeMap;
use std::rc::Rc;

use rattanarch_adapter::Heartbeat;
use rattanarch_ownership::Event;
use rattanarch_types::SliceId;

use crate::process::Shared;
use crate::upstream::slices_within;

/// Records the handovers that the upstream has left for the next owners of released slices.
pub(crate) fn record_handovers(shared: &Shared, beat: &Heartbeat) {
    let slices = shared.upstream.state.borrow().slices();
    let mut control = shared.control.borrow_mut();
    for range in beat.released.iter().filter(|range| !range.handover.is_empty()) {
        let covered = slices_within(slices, range.first, range.last);
        control.handovers.extend(covered.map(|slice| (slice, range.handover.clone())));
    }
}

/// Removes and returns, as an event for the node, the slices that are drained: no request for them runs, and the
/// upstream does not hold them any more.
pub(crate) fn take_drained(shared: &Rc<Shared>) -> Option<Event> {
    let now = shared.now();
    let mut control = shared.control.borrow_mut();
    let state = shared.upstream.state.borrow();
    let drained: Vec<SliceId> =
        control.draining.iter().copied().filter(|slice| state.is_drained(now, *slice)).collect();
    if drained.is_empty() {
        return None;
    }
    let mut handovers = BTreeMap::new();
    for slice in &drained {
        control.draining.remove(slice);
        handovers.extend(control.handovers.remove(slice).map(|handover| (*slice, handover)));
    }
    Some(Event::Drained { slices: drained, hot: Vec::new(), handovers })
}

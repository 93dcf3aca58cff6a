//! Slices on their way out.

use std::collections::BTreeMap;
use std::rc::Rc;

use rattanarch_adapter::Heartbeat;
use rattanarch_ownership::Event;
use rattanarch_types::SliceId;

use crate::process::Shared;
use crate::upstream::slices_within;

/// Notes what the upstream has left for the next owners of released slices.
pub(crate) fn take_released(shared: &Shared, beat: &Heartbeat) {
    let slices = shared.upstream.state.borrow().slices();
    let mut control = shared.control.borrow_mut();
    for range in beat.released.iter().filter(|range| !range.handover.is_empty()) {
        let covered = slices_within(slices, range.first, range.last);
        control.handovers.extend(covered.map(|slice| (slice, range.handover.clone())));
    }
}

/// Slices that have become quiet: nothing runs for them, and the upstream holds them no more.
pub(crate) fn check(shared: &Rc<Shared>) -> Option<Event> {
    let now = shared.now();
    let mut control = shared.control.borrow_mut();
    let state = shared.upstream.state.borrow();
    let quiet: Vec<SliceId> =
        control.draining.iter().copied().filter(|slice| state.is_drained(now, *slice)).collect();
    if quiet.is_empty() {
        return None;
    }
    let mut handovers = BTreeMap::new();
    for slice in &quiet {
        control.draining.remove(slice);
        handovers.extend(control.handovers.remove(slice).map(|handover| (*slice, handover)));
    }
    Some(Event::Drained { slices: quiet, hot: Vec::new(), handovers })
}

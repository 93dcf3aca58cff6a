//! Waits until slices that are to be released are quiet.

use std::sync::Arc;

use rattanarch_ownership::Event;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::request::Running;

/// Follows one release at a time, as the node asks for it.
///
/// A slice is quiet when no request for it runs here, and every request whose end is unknown has
/// been settled: the upstream runs nothing under lower fences, or can't run it any more since its
/// last grant has ended.
#[derive(Debug)]
pub(crate) struct Quiescence {
    running: Arc<Running>,
    pending: Option<(Vec<SliceId>, Vec<KeyHash>)>,
    /// Fences asked of the granter since the start.
    raises: u64,
    /// Latest end of any grant offered to the upstream.
    offered: Moment,
}

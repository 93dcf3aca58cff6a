//! One conditional update on its way.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Record;

/// Time after which an update without an answer is sent again.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An update that may take effect. A node has at most one.
///
/// It ends once the platform refuses it, or once the node has applied a record of its version or a
/// higher one. Until then it is sent again word for word: whichever copy comes first takes effect,
/// and the others conflict with it.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The record to write, with its version and write id.
    pub(crate) record: Record,
    /// When it was first sent.
    pub(crate) sent: Moment,
    /// Whether a copy was sent whose end is not known, so that a later failure proves nothing.
    pub(crate) unsure: bool,
    /// When to send it again.
    pub(crate) again: Moment,
}

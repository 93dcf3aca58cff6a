//! What the control loop is told by the other threads of the process.

use rattanarch_ownership::WriteOutcome;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;
use rattanarch_types::WriteId;

use crate::process::UpstreamLoad;
use crate::version::Grant;

/// One thing that the control loop is told.
#[derive(Debug)]
pub(crate) enum Input {
    /// The platform answered with the record.
    RecordRead {
        /// The record; version 0 when none is stored.
        record: Record,
        /// When the read was sent; `None` for a watch, whose send tells nothing of its freshness.
        sent: Option<Moment>,
    },
    /// A write of the record ended.
    Written {
        /// Copied from the record.
        write_id: WriteId,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// A configuration came from the platform or, with `read` absent, from a peer.
    Configuration {
        /// The configuration.
        configuration: Configuration,
        /// When the read was sent.
        read: Option<Moment>,
    },
    /// The platform confirmed that a version is current.
    Confirmed {
        /// Whether it is the record's version, or the configuration's.
        record: bool,
        /// The current version.
        version: Version,
        /// When the answer came.
        at: Moment,
    },
    /// A peer answered a pull.
    Pulled {
        /// Its record, if newer.
        record: Option<Record>,
        /// Its configuration, if newer.
        configuration: Option<Configuration>,
    },
    /// A peer did not answer a pull.
    PullFailed(BootId),
    /// The upstream took a grant.
    Granted(Grant),
    /// The upstream has taken this fence, asked for by a raise, and runs nothing under lower ones.
    Fenced(Fence),
    /// The upstream reported its load; late or wrong, maybe.
    UpstreamLoad(UpstreamLoad),
    /// The upstream has taken a higher fence, of a later process in this slot.
    Superseded(Fence),
    /// The process is to stop.
    Stop,
}

//! Inputs of the control loop from the other threads of the process.

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

/// Input of the control loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// The platform has returned the record.
    RecordRead {
        /// The record; version 0 when none is stored.
        record: Record,
        /// When the read was sent; `None` for the response to a watch request, which may have been sent long before.
        sent: Option<Moment>,
    },
    /// A write of the record has ended.
    Written {
        /// Copied from the written record.
        write_id: WriteId,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// A configuration has arrived from the platform or from an operator's command.
    Configuration {
        /// The configuration.
        configuration: Configuration,
        /// When the read was sent; `None` if the configuration is not from the platform.
        read: Option<Moment>,
    },
    /// The platform has confirmed that a version is current.
    Confirmed {
        /// Whether `version` is that of the record; otherwise it is that of the configuration.
        record: bool,
        /// The current version.
        version: Version,
        /// When the answer arrived.
        at: Moment,
    },
    /// A peer has answered a pull.
    Pulled {
        /// The peer's record, if newer.
        record: Option<Record>,
        /// The peer's configuration, if newer.
        configuration: Option<Configuration>,
    },
    /// A pull from this peer has failed.
    PullFailed(BootId),
    /// The upstream has accepted a grant.
    Granted(Grant),
    /// The upstream has accepted this raised fence and runs no request under a lower one.
    Fenced(Fence),
    /// The upstream has reported its load; the report may be outdated or wrong.
    UpstreamLoad(UpstreamLoad),
    /// The upstream has accepted this higher fence of a later process in this slot.
    Superseded(Fence),
    /// The process is to stop.
    Stop,
}

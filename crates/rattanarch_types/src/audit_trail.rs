//! The newest entries of a firm's audit trail.

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigObject;
use crate::FirmName;
use crate::OperatorName;
use crate::Version;
use crate::WriteId;

/// Position of an entry in a firm's audit trail; counts from 0 without gaps.
pub type Serial = u64;

/// One accepted change of a firm's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Position in the firm's trail.
    pub serial: Serial,
    /// When the daemon wrote it, by its wall clock, in ms since the Unix epoch.
    pub time_ms: u64,
    /// Operator that gave the command.
    pub operator: OperatorName,
    /// Firm of the operator; `None` for the shared rota.
    pub firm: Option<FirmName>,
    /// The command, in the command language.
    pub command: String,
    /// Object that it changed.
    pub object: ConfigObject,
    /// Configuration version that it was applied to.
    pub before: Version,
    /// Configuration version that it produced; `before` + 1.
    pub after: Version,
    /// Write id of that version.
    pub write_id: WriteId,
}

/// Audit entries that have not been moved to audit pages alone.
///
/// They are part of the configuration object, so that one conditional update stores both the change and
/// its entry. Serials increase by one from `start`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    /// Serial of the first entry; all earlier entries are in audit pages.
    pub start: Serial,
    /// Entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

impl AuditTrail {
    /// Serial of the next entry.
    pub fn next_serial(&self) -> Serial {
        self.start + self.entries.len() as Serial
    }
}

//! JSON bodies exchanged between the command-line client and a daemon.

use rattanarch_types::AuditEntry;
use rattanarch_types::FirmName;
use rattanarch_types::Version;
use rattanarch_types::WriteId;
use serde::Deserialize;
use serde::Serialize;

use crate::Table;

/// A configuration version that an operator has seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenVersion {
    /// Firm of the configuration.
    pub firm: FirmName,
    /// The version.
    pub version: Version,
}

/// Body of `POST /operate`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorRequest {
    /// One statement of the operators' language.
    pub statement: String,
    /// Configuration version that a command requires; at any other it is refused.
    pub expected: Option<Version>,
    /// Version that the operator saw last; if it is of the same firm, the command is refused if the same object has
    /// changed since.
    pub seen: Option<SeenVersion>,
    /// Whether the risk of a command is accepted, as by the word `twice`.
    pub confirmed: bool,
    /// Unique to a command and the same when it is repeated, so that it takes effect only once; the daemon draws a
    /// random one if it is absent.
    pub write_id: Option<WriteId>,
}

/// Number of members of a firm's services that have a configuration version, or a later one, in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Members that have reported it to the responding daemon.
    pub reported: usize,
    /// Members that the responding daemon knows of.
    pub members: usize,
    /// Services of the firm whose members it does not know or has not asked.
    pub unseen: Vec<String>,
}

impl Coverage {
    /// Whether the version is in force at all members of the firm; false for a firm without members.
    pub fn is_full(&self) -> bool {
        self.members > 0 && self.reported == self.members && self.unseen.is_empty()
    }
}

/// Body of the response to `POST /operate`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OperatorResponse {
    /// Result of a query.
    Table {
        /// Firm that the query was about.
        firm: FirmName,
        /// The rows.
        table: Table,
        /// Configuration version that it shows.
        version: Version,
        /// Age of the oldest part of the table, in ms; 0 if it was just read from the platform.
        age_ms: u64,
        /// Why the table is stale or incomplete.
        notes: Vec<String>,
    },
    /// The command is stored. `coverage` tells where it is in force.
    Accepted {
        /// Firm whose configuration changed.
        firm: FirmName,
        /// Version that the command created.
        version: Version,
        /// Write id of that version.
        write_id: WriteId,
        /// Where it is known to be in force at the time of the response; members were not asked.
        coverage: Coverage,
        /// Warnings.
        notes: Vec<String>,
    },
    /// The configuration already was as the command requires.
    AlreadySo {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version that was found.
        version: Version,
        /// Where that version is known to be in force at the time of the response; members were not asked.
        coverage: Coverage,
    },
    /// Effects that a command would have.
    DryRun {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version that it was tried on.
        version: Version,
        /// What would change, and which slices would move.
        effects: Vec<String>,
    },
    /// The command is refused; it is not stored and will not be.
    NotAccepted {
        /// Why.
        reason: String,
        /// The conflicting change, if another command came first.
        winner: Option<Box<AuditEntry>>,
        /// Whether the word `twice` would get the command accepted.
        risk: bool,
    },
    /// The command may have been stored, or may still be; repeat it with the same write id.
    Unknown {
        /// Write id to repeat it with.
        write_id: WriteId,
        /// What went wrong.
        reason: String,
    },
    /// Result of checking a condition.
    Condition {
        /// Whether it holds.
        met: bool,
        /// State that it was checked against.
        detail: String,
    },
    /// The query or condition could not be evaluated.
    Failed {
        /// Why.
        reason: String,
    },
    /// The statement cannot be parsed.
    Malformed {
        /// What is wrong.
        reason: String,
        /// Column of the error in the statement, from 1.
        column: usize,
        /// Nearest word that would fit.
        nearest: Option<String>,
    },
}

//! What the operators' program and a daemon say to each other, as JSON.

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
    /// Configuration version that a command is for; any other is refused.
    pub expected: Option<Version>,
    /// What the operator saw last; if the command is about the same firm, a later change of the
    /// same object is refused.
    pub seen: Option<SeenVersion>,
    /// Whether the risk of a command is accepted, as by the word `twice`.
    pub confirmed: bool,
    /// Unique to a command and the same when it is repeated, so that it takes effect once; the
    /// daemon draws one when it is absent.
    pub write_id: Option<WriteId>,
}

/// How many members of a firm's services have a configuration version or a later one in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Members that told the answering daemon so.
    pub reported: usize,
    /// Members that it knows of.
    pub members: usize,
    /// Services of the firm whose members it does not know or has not asked.
    pub unseen: Vec<String>,
}

impl Coverage {
    /// Whether the version is in force at all members of the firm. A firm without members has
    /// nothing in force.
    pub fn is_full(&self) -> bool {
        self.members > 0 && self.reported == self.members && self.unseen.is_empty()
    }
}

/// Body of the answer to `POST /operate`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OperatorResponse {
    /// A query was answered.
    Table {
        /// Firm that it was about.
        firm: FirmName,
        /// The rows.
        table: Table,
        /// Configuration version that it shows.
        version: Version,
        /// Age of the oldest part of it, in ms; 0 when just read from the platform.
        age_ms: u64,
        /// Why the answer is not fresh, or is not whole.
        notes: Vec<String>,
    },
    /// A command is stored. It is in force where `coverage` says.
    Accepted {
        /// Firm whose configuration changed.
        firm: FirmName,
        /// Version that it made.
        version: Version,
        /// Write id of that version.
        write_id: WriteId,
        /// Where it is known to be in force, as of the answer; members were not asked.
        coverage: Coverage,
        /// Warnings.
        notes: Vec<String>,
    },
    /// The configuration already was as the command wants it.
    AlreadySo {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version at which it was so.
        version: Version,
        /// Where that version is known to be in force, as of the answer; members were not asked.
        coverage: Coverage,
    },
    /// What a command would do.
    DryRun {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version that it was tried on.
        version: Version,
        /// What would change and move.
        effects: Vec<String>,
    },
    /// A command is not accepted and will not be.
    NotAccepted {
        /// Why.
        reason: String,
        /// The change that came first, for a lost race.
        winner: Option<Box<AuditEntry>>,
        /// Whether saying it twice would get it accepted.
        risk: bool,
    },
    /// A command may have been stored, or may still be; repeat it with its write id.
    Unknown {
        /// Write id to repeat it with.
        write_id: WriteId,
        /// What went wrong.
        reason: String,
    },
    /// A condition was checked.
    Condition {
        /// Whether it holds.
        met: bool,
        /// What it was checked against.
        detail: String,
    },
    /// A query could not be answered.
    Failed {
        /// Why.
        reason: String,
    },
    /// The statement is not in the language.
    Malformed {
        /// What is wrong.
        reason: String,
        /// Column of the fault in the statement, from 1.
        column: usize,
        /// Nearest word that would fit.
        nearest: Option<String>,
    },
}

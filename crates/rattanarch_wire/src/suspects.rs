//! Suspects of ended upstreams on the wire.

use std::time::Duration;

use rattanarch_quarantine::EndState;
use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::MAX_ENDS;
use rattanarch_quarantine::SuspectReport;
use serde::Deserialize;
use serde::Serialize;

use crate::WireError;

/// Kind of the datagram; quota messages have lower ones.
const SUSPECTS: u8 = 3;

const IN_FLIGHT: u8 = 0;
const ALONE: u8 = 1;
const CLEARED: u8 = 2;

/// Most suspects of one datagram: with one end each they fill it.
pub const MAX_WIRE_SUSPECTS: usize = 32;

/// A suspect as the two halves of its fingerprint, its age in milliseconds, and its ends with their states, because CBOR
/// field names would double the size of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireSuspect(pub u64, pub u64, pub u32, pub Vec<(u64, u8)>);

/// The datagram: its kind, the summary of the sender's table if it tells it, whether it wants that of the receiver, and
/// suspects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireSuspects(pub u8, pub Option<u64>, pub bool, pub Vec<WireSuspect>);

/// A decoded datagram about suspects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectsMessage {
    /// Summary of the sender's table; `None` in one that tells of suspects only.
    pub summary: Option<u64>,
    /// Whether the sender wants the receiver's summary, if that differs.
    pub wants_summary: bool,
    /// Suspects, at most [`MAX_WIRE_SUSPECTS`].
    pub reports: Vec<SuspectReport>,
}

impl From<&SuspectsMessage> for WireSuspects {
    fn from(message: &SuspectsMessage) -> Self {
        let reports = message.reports.iter().map(WireSuspect::from).collect();
        Self(SUSPECTS, message.summary, message.wants_summary, reports)
    }
}

impl From<&SuspectReport> for WireSuspect {
    fn from(report: &SuspectReport) -> Self {
        let age = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        let state = |state: EndState| match state {
            EndState::InFlight => IN_FLIGHT,
            EndState::Alone => ALONE,
            EndState::Cleared => CLEARED,
        };
        let ends = report.ends.iter().map(|(end, of)| (*end, state(*of)));
        Self(report.fingerprint.head, report.fingerprint.body, age, ends.collect())
    }
}

impl TryFrom<WireSuspects> for SuspectsMessage {
    type Error = WireError;

    fn try_from(wire: WireSuspects) -> Result<Self, WireError> {
        let WireSuspects(kind, summary, wants_summary, suspects) = wire;
        if kind != SUSPECTS {
            return Err(WireError::UnknownKind(kind));
        }
        if suspects.len() > MAX_WIRE_SUSPECTS {
            return Err(WireError::Malformed(format!("{} suspects", suspects.len())));
        }
        let reports: Result<_, _> = suspects.into_iter().map(SuspectReport::try_from).collect();
        Ok(Self { summary, wants_summary, reports: reports? })
    }
}

impl TryFrom<WireSuspect> for SuspectReport {
    type Error = WireError;

    fn try_from(wire: WireSuspect) -> Result<Self, WireError> {
        let WireSuspect(head, body, age_ms, ends) = wire;
        if ends.is_empty() || ends.len() > MAX_ENDS {
            return Err(WireError::Malformed(format!("{} ends of a suspect", ends.len())));
        }
        let state = |state| match state {
            IN_FLIGHT => Ok(EndState::InFlight),
            ALONE => Ok(EndState::Alone),
            CLEARED => Ok(EndState::Cleared),
            other => Err(WireError::Malformed(format!("end state {other}"))),
        };
        let ends: Result<Vec<_>, _> =
            ends.into_iter().map(|(end, of)| state(of).map(|state| (end, state))).collect();
        let age = Duration::from_millis(u64::from(age_ms));
        Ok(Self { fingerprint: Fingerprint { head, body }, age, ends: ends? })
    }
}

//! Lease messages on the wire.

use std::time::Duration;

use rattanarch_ownership::Message;
use serde::Deserialize;
use serde::Serialize;

use crate::WireError;

const RENEW: u8 = 1;
const ACK: u8 = 2;
const REFUSED: u8 = 3;
const SEAL: u8 = 4;
const SEALED: u8 = 5;
const ALIVE: u8 = 6;
const FORCED_SEAL: u8 = 7;

/// A lease message as its kind and four numbers, because CBOR field names would double the size of a datagram.
///
/// Numbers that a kind does not use are 0. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireMessage(pub u8, pub u64, pub u64, pub u64, pub u32);

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        match *message {
            Message::Renew { term, sent, record, load } => {
                Self(RENEW, term, nanos(sent), record, load)
            }
            Message::Ack { term, sent, record, load } => Self(ACK, term, nanos(sent), record, load),
            Message::Refused { sealed, record } => Self(REFUSED, sealed, record, 0, 0),
            Message::Seal { owner, term, forced: false } => Self(SEAL, owner, term, 0, 0),
            Message::Seal { owner, term, forced: true } => Self(FORCED_SEAL, owner, term, 0, 0),
            Message::Sealed { owner, term, remaining } => {
                Self(SEALED, owner, term, nanos(remaining), 0)
            }
            Message::Alive { owner } => Self(ALIVE, owner, 0, 0, 0),
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = WireError;

    fn try_from(WireMessage(kind, a, b, c, d): WireMessage) -> Result<Self, WireError> {
        let message = match kind {
            RENEW => Self::Renew { term: a, sent: Duration::from_nanos(b), record: c, load: d },
            ACK => Self::Ack { term: a, sent: Duration::from_nanos(b), record: c, load: d },
            REFUSED => Self::Refused { sealed: a, record: b },
            SEAL => Self::Seal { owner: a, term: b, forced: false },
            FORCED_SEAL => Self::Seal { owner: a, term: b, forced: true },
            SEALED => Self::Sealed { owner: a, term: b, remaining: Duration::from_nanos(c) },
            ALIVE => Self::Alive { owner: a },
            other => return Err(WireError::UnknownKind(other)),
        };
        Ok(message)
    }
}

/// Converts to whole nanoseconds; saturates at 584 years.
fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

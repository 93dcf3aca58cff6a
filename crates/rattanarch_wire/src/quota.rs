//! Quota messages on the wire.

use rattanarch_accounts::QUOTA_GROUPS;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaShare;
use rattanarch_accounts::QuotaWant;
use serde::Deserialize;
use serde::Serialize;

use crate::WireError;

const REQUEST: u8 = 1;
const GRANT: u8 = 2;

/// Bits of the flags of a request. Earlier versions ignore unknown ones, and send no flags in a grant.
const SETTLED: u8 = 1;
const RELEASED: u8 = 2;

/// Bit of the flags of a request or a grant.
const LONG_VALID: u8 = 4;

/// A quota message as its kind, sequence, group, flags and accounts with two numbers each, because CBOR field names
/// would double the size of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireQuota(pub u8, pub u64, pub u8, pub u8, pub Vec<(u64, u32, u32)>);

/// A decoded quota message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaMessage {
    /// To a coordinator.
    Request(QuotaRequest),
    /// The reply.
    Grant(QuotaGrant),
}

impl From<&QuotaRequest> for WireQuota {
    fn from(request: &QuotaRequest) -> Self {
        let flags = flag(request.settled, SETTLED)
            | flag(request.released, RELEASED)
            | flag(request.long_valid, LONG_VALID);
        let wants = request.accounts.iter().map(|want| (want.flow, want.waiting, want.spare));
        Self(REQUEST, request.sequence, request.group, flags, wants.collect())
    }
}

impl From<&QuotaGrant> for WireQuota {
    fn from(grant: &QuotaGrant) -> Self {
        let shares = grant.accounts.iter().map(|share| (share.flow, share.granted, share.wait_ms));
        let flags = flag(grant.long_valid, LONG_VALID);
        Self(GRANT, grant.sequence, grant.group, flags, shares.collect())
    }
}

fn flag(is_set: bool, bit: u8) -> u8 {
    if is_set { bit } else { 0 }
}

impl TryFrom<WireQuota> for QuotaMessage {
    type Error = WireError;

    fn try_from(wire: WireQuota) -> Result<Self, WireError> {
        let WireQuota(kind, sequence, group, flags, accounts) = wire;
        if group >= QUOTA_GROUPS {
            return Err(WireError::Malformed(format!("quota group {group}")));
        }
        let accounts = accounts.into_iter();
        let long_valid = flags & LONG_VALID != 0;
        match kind {
            REQUEST => {
                let accounts = accounts
                    .map(|(flow, waiting, spare)| QuotaWant { flow, waiting, spare })
                    .collect();
                let (settled, released) = (flags & SETTLED != 0, flags & RELEASED != 0);
                let request =
                    QuotaRequest { sequence, group, settled, released, long_valid, accounts };
                Ok(Self::Request(request))
            }
            GRANT => {
                let accounts = accounts
                    .map(|(flow, granted, wait_ms)| QuotaShare { flow, granted, wait_ms })
                    .collect();
                Ok(Self::Grant(QuotaGrant { sequence, group, long_valid, accounts }))
            }
            other => Err(WireError::UnknownKind(other)),
        }
    }
}

//! Requests that a peer has turned away because another member owns their key.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;
use rattanarch_types::Verdict;

use crate::request::RequestHandler;
use crate::request::headers;
use crate::request::outcome::Outcome;
use crate::request::response;

/// Longest wait for a newer table: gossip takes some tens of milliseconds.
const VIEW_WAIT: Duration = Duration::from_millis(50);
/// How often the table is looked at meanwhile.
const VIEW_TICK: Duration = Duration::from_millis(5);

/// Whether a peer knows another owner of the key than this daemon does.
pub(super) fn is_misdirected(outcome: &Outcome) -> bool {
    let Ok(head) = outcome else { return false };
    head.status() == StatusCode::MISDIRECTED_REQUEST
        && response::verdict(head) == Some(Verdict::NotRun)
}

/// The address that the peer names as the owner's.
pub(super) fn hint(outcome: &Outcome) -> Option<SocketAddr> {
    let head = outcome.as_ref().ok()?;
    headers::text(head.headers(), &headers::OWNER)?.parse().ok()
}

impl RequestHandler {
    /// Where a request goes that `tried` has turned away, naming `hint` as the owner's address.
    ///
    /// The table comes first if it has moved, then the peer's hint: the member that it names checks
    /// its own ownership, so that a wrong hint costs an attempt and no more. A hint that names no
    /// other member of the record tells of a newer one, which is awaited shortly.
    pub(super) async fn next_owner(
        &self,
        deadline: Instant,
        hash: KeyHash,
        tried: Option<BootId>,
        hint: Option<SocketAddr>,
    ) -> Option<BootId> {
        let view = self.views.current();
        let record = &view.serving.record;
        let owner = record.owner_of(hash);
        if owner != tried {
            return owner;
        }
        let named = hint.and_then(|address| member_at(record, address));
        match named {
            Some(member) if Some(member) != tried && member != view.serving.me => named,
            _ => self.newer_owner(deadline, hash, tried).await,
        }
    }

    /// The owner by a newer table, if one comes soon.
    async fn newer_owner(
        &self,
        deadline: Instant,
        hash: KeyHash,
        tried: Option<BootId>,
    ) -> Option<BootId> {
        let end = deadline.min(Instant::now() + VIEW_WAIT);
        loop {
            let owner = self.views.current().serving.record.owner_of(hash);
            if owner != tried || Instant::now() >= end {
                return owner;
            }
            tokio::time::sleep(VIEW_TICK).await;
        }
    }
}

fn member_at(record: &Record, address: SocketAddr) -> Option<BootId> {
    let mut members = record.members.iter();
    members.find(|(_, member)| member.caller == address).map(|(boot, _)| *boot)
}

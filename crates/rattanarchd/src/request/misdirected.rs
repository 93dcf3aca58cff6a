//! Requests that a peer refused because another member owns their key.

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

/// Maximum wait for a newer record: gossip takes some tens of milliseconds.
const VIEW_WAIT: Duration = Duration::from_millis(50);
/// Interval at which the record is checked during the wait.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a peer refused the request because, by its record, another member owns the key.
pub(super) fn is_misdirected(outcome: &Outcome) -> bool {
    let Ok(head) = outcome else { return false };
    head.status() == StatusCode::MISDIRECTED_REQUEST
        && response::verdict(head) == Some(Verdict::NotRun)
}

/// The owner's address according to the peer that refused the request.
pub(super) fn owner_hint(outcome: &Outcome) -> Option<SocketAddr> {
    let head = outcome.as_ref().ok()?;
    headers::text(head.headers(), &headers::OWNER)?.parse().ok()
}

impl RequestHandler {
    /// The member to retry at after `tried` refused the request with `hint` as the owner's address.
    ///
    /// Uses the record if its owner has changed, else the hint. The hinted member checks its
    /// ownership itself, so a wrong hint costs only one attempt. If the hint names no other member
    /// of the record, the peer has a newer record, for which this function waits a short time.
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
        let hinted = hint.and_then(|address| member_at(record, address));
        match hinted {
            Some(member) if Some(member) != tried && member != view.serving.me => hinted,
            _ => self.wait_for_owner(deadline, hash, tried).await,
        }
    }

    /// Waits briefly for a record with another owner, and returns the owner known then.
    async fn wait_for_owner(
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
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
        }
    }
}

fn member_at(record: &Record, address: SocketAddr) -> Option<BootId> {
    let mut members = record.members.iter();
    members.find(|(_, member)| member.caller == address).map(|(boot, _)| *boot)
}

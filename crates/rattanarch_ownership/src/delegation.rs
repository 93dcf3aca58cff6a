//! Delegation of changes of the record to other daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Moment;

use crate::Action;
use crate::ChangeRequest;
use crate::batcher::REQUEST_LIFETIME;
use crate::core::Core;

/// How long to wait for a record that shows the effect before another request is sent. A batched
/// update takes about 0.4 s while the platform or the links are slow.
///
/// Together with [`MAX_ATTEMPTS`] and [`MAX_DELEGATES`] it limits the time that a node loses to
/// daemons that take requests and then fail. Daemons that do not answer, or do not reach the
/// platform, are noticed sooner, see [`Event::Declined`](crate::Event::Declined).
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often one daemon is asked that takes requests without effect. While updates are slow, a
/// second writing daemon makes them slower.
const MAX_ATTEMPTS: u32 = 4;

/// Number of daemons that are asked before the node's own one batches the changes itself.
const MAX_DELEGATES: usize = 4;

/// The daemon that is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delegate {
    /// The daemon of a member.
    Member(BootId),
    /// The node's own daemon.
    Own,
}

impl Delegate {
    /// The member; `None` for the node itself.
    fn member(self) -> Option<BootId> {
        match self {
            Self::Member(id) => Some(id),
            Self::Own => None,
        }
    }
}

impl Core {
    /// Asks `to` to write a change of the record for this node.
    pub(crate) fn delegate(&mut self, to: Delegate, request: impl Into<ChangeRequest>) {
        self.actions.push(Action::Delegate { to: to.member(), request: request.into() });
    }
}

/// Delegation of one change of the record to a daemon, and to others if that one does not write it.
#[derive(Debug, Default)]
pub(crate) struct Delegation {
    /// The daemon that was asked last, and when.
    asked: Option<(Delegate, Moment)>,
    /// How often it was asked in a row.
    attempts: u32,
    /// Members that declined or failed to write the change.
    excluded: BTreeSet<BootId>,
}

impl Delegation {
    /// The daemon to ask now; `None` while one was asked that may still write the change, and
    /// before a record is known. `own` is the member of this node's instance in the record: a
    /// previous boot or this one.
    ///
    /// All nodes that know the same record ask in the same order: members with the widest links
    /// first, since the record is transferred there and back with each update.
    pub(crate) fn next_delegate(
        &mut self,
        core: &Core,
        now: Moment,
        own: Option<BootId>,
    ) -> Option<Delegate> {
        let record = core.record.as_deref()?;
        if let Some((to, at)) = self.asked {
            if now < at + ASK_TIMEOUT {
                return None;
            }
            if self.attempts >= MAX_ATTEMPTS {
                self.excluded.extend(to.member());
            }
        }
        let members = record.members.iter().filter(|(_, member)| !member.leaving);
        let left = members.filter(|(id, _)| !self.excluded.contains(id));
        let first = left
            .max_by_key(|(id, member)| (member.link_megabits_per_s, rendezvous_weight(0, **id)));
        let exhausted = self.excluded.len() >= MAX_DELEGATES;
        let other = first.map(|(id, _)| *id).filter(|id| Some(*id) != own && !exhausted);
        let to = other.map_or(Delegate::Own, Delegate::Member);
        let again = self.asked.is_some_and(|(asked, _)| asked == to);
        self.attempts = if again { self.attempts + 1 } else { 1 };
        self.asked = Some((to, now));
        Some(to)
    }

    /// Notes that member `to` declined.
    pub(crate) fn declined(&mut self, to: BootId) {
        if self.asked.is_some_and(|(asked, _)| asked == Delegate::Member(to)) {
            self.asked = None;
            self.excluded.insert(to);
        }
    }

    /// Whether a daemon that was asked may still hold the request.
    pub(crate) fn is_pending(&self, now: Moment) -> bool {
        self.asked.is_some_and(|(_, at)| now < at + REQUEST_LIFETIME)
    }
}

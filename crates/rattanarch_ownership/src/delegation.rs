//! Whom a node asks to write something into the record for it.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Moment;

use crate::Action;
use crate::ChangeRequest;
use crate::batcher::REQUEST_LIFETIME;
use crate::core::Core;

/// How long the record that shows the effect is waited for; then another daemon is asked. A gatherer's update takes
/// some 0.4 s while the platform or the links are slow. With [`MAX_TRIES`] and [`MAX_ASKED`] the time that gatherers cost
/// a node at most that take petitions and then fail; of those that give no answer, or don't reach the platform, it
/// learns sooner, see [`Event::Declined`](crate::Event::Declined).
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often a daemon is asked that takes petitions without effect. While updates are slow they are slower with two
/// daemons that write.
const MAX_TRIES: u32 = 4;

/// Daemons that are asked before this one gathers itself.
const MAX_ASKED: usize = 4;

/// Whose daemon is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delegate {
    /// That of a member.
    Member(BootId),
    /// The node's own.
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
    /// Has `to` write what this node wishes for.
    pub(crate) fn delegate(&mut self, to: Delegate, request: impl Into<ChangeRequest>) {
        self.actions.push(Action::Delegate { to: to.member(), request: request.into() });
    }
}

/// Asks for one petition of a node.
#[derive(Debug, Default)]
pub(crate) struct Delegation {
    /// Who was asked last, and when.
    asked: Option<(Delegate, Moment)>,
    /// How often that one was asked in a row.
    tries: u32,
    /// Members that did not help.
    passed: BTreeSet<BootId>,
}

impl Delegation {
    /// Whom to ask now; `None` while one was asked and may still help, and before a record is known. `own` is the life
    /// of this node's instance in the record, an older one or its own.
    ///
    /// All nodes that know the same record ask in the same order: those with the widest links first, since the record
    /// goes there and back with each update.
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
            if self.tries >= MAX_TRIES {
                self.passed.extend(to.member());
            }
        }
        let members = record.members.iter().filter(|(_, member)| !member.leaving);
        let left = members.filter(|(id, _)| !self.passed.contains(id));
        let first = left.max_by_key(|(id, member)| (member.link, rendezvous_weight(0, **id)));
        let enough = self.passed.len() >= MAX_ASKED;
        let other = first.map(|(id, _)| *id).filter(|id| Some(*id) != own && !enough);
        let to = other.map_or(Delegate::Own, Delegate::Member);
        let again = self.asked.is_some_and(|(asked, _)| asked == to);
        self.tries = if again { self.tries + 1 } else { 1 };
        self.asked = Some((to, now));
        Some(to)
    }

    /// Takes word of the member `to` that it does not help.
    pub(crate) fn declined(&mut self, to: BootId) {
        if self.asked.is_some_and(|(asked, _)| asked == Delegate::Member(to)) {
            self.asked = None;
            self.passed.insert(to);
        }
    }

    /// Whether a daemon that was asked may still have the petition.
    pub(crate) fn is_pending(&self, now: Moment) -> bool {
        self.asked.is_some_and(|(_, at)| now < at + REQUEST_LIFETIME)
    }
}

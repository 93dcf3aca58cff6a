//! Choice among the members that take work.

use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::Selector;
use rattanarch_admission::UpstreamKey;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::version;
use crate::version::View;

/// Chooses the members that run unkeyed requests.
#[derive(Debug)]
pub(crate) struct Chooser {
    /// Origin of the moments given to the policy.
    origin: Instant,
    state: Mutex<ChooserState>,
}

#[derive(Debug, Default)]
struct ChooserState {
    selector: Selector,
    /// Members that take work.
    keys: BTreeMap<BootId, UpstreamKey>,
    /// View that `keys` is of.
    seen: Seen,
}

/// What decides which members take work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Seen {
    me: BootId,
    record: Version,
    configuration: Version,
    stopping: bool,
}

/// A request at a chosen member; one that is dropped without its end counts as failed.
#[derive(Debug)]
pub(crate) struct Turn<'a> {
    chooser: &'a Chooser,
    pub(crate) member: BootId,
    key: UpstreamKey,
    ended: bool,
}

impl Chooser {
    pub(crate) fn new() -> Self {
        Self { origin: Instant::now(), state: Mutex::default() }
    }

    /// A member that takes work, other than `tried`.
    pub(crate) fn choose(&self, view: &View, tried: Option<BootId>) -> Option<Turn<'_>> {
        let mut state = self.lock();
        state.follow(view);
        let tried = tried.and_then(|member| state.keys.get(&member).copied());
        let random = RandomState::new();
        let draws = [random.hash_one(0), random.hash_one(1)];
        let key = state.selector.choose(self.now(), draws, tried)?;
        let member = state.keys.iter().find(|(_, known)| **known == key).map(|(boot, _)| *boot)?;
        state.selector.start(key);
        Some(Turn { chooser: self, member, key, ended: false })
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, ChooserState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChooserState {
    /// Takes members in and out as `view` says.
    fn follow(&mut self, view: &View) {
        let seen = Seen {
            me: view.serving.me,
            record: view.serving.record.version,
            configuration: view.configuration.version,
            stopping: view.stopping,
        };
        if seen == self.seen {
            return;
        }
        self.seen = seen;
        let members = &view.serving.record.members;
        let selector = &mut self.selector;
        self.keys.retain(|boot, key| {
            let stays = members.get(boot).is_some_and(|member| takes_work(view, *boot, member));
            if !stays {
                selector.remove(*key);
            }
            stays
        });
        for (boot, member) in members {
            if takes_work(view, *boot, member) {
                self.keys.entry(*boot).or_insert_with(|| selector.insert());
            }
        }
    }
}

impl Turn<'_> {
    /// Notes the end of the request.
    pub(crate) fn end(mut self, ending: AttemptOutcome) {
        self.ended = true;
        self.chooser.lock().selector.end(self.chooser.now(), self.key, ending);
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if !self.ended {
            // Its caller has gone away: that tells nothing of the member.
            self.chooser.lock().selector.end(self.chooser.now(), self.key, AttemptOutcome::Refused);
        }
    }
}

/// Whether neither operators nor the member itself have taken it out of service.
pub(crate) fn takes_work(view: &View, boot: BootId, member: &Member) -> bool {
    let service = &view.serving.record.service;
    let stops = view.stopping && boot == view.serving.me;
    !stops && !member.leaving && !version::is_barred(&view.configuration, service, member)
}

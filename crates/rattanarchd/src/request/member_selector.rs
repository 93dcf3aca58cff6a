//! Selection of a member for an unkeyed request.

use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
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

/// Selects members for unkeyed requests.
#[derive(Debug)]
pub(crate) struct MemberSelector {
    /// Time zero of the [`Moment`]s passed to the policy.
    origin: Instant,
    state: Mutex<MemberSelectorState>,
}

#[derive(Clone, Debug, Default)]
struct MemberSelectorState {
    policy: Selector,
    /// Handle of each eligible member.
    handles: BTreeMap<BootId, UpstreamKey>,
    /// Inputs from which `handles` was derived.
    inputs: SelectorInputs,
}

/// Parts of a view that determine which members are eligible.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SelectorInputs {
    own_boot: BootId,
    record_version: Version,
    configuration_version: Version,
    stopping: bool,
}

/// An attempt at a selected member. If it is dropped before [`Attempt::finish`], it counts as
/// refused.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    selector: &'a MemberSelector,
    pub(crate) member_id: BootId,
    handle: UpstreamKey,
    finished: bool,
}

/// A member that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MemberPreview {
    pub(crate) member_id: BootId,
    /// How many times it is chosen.
    pub(crate) count: usize,
    /// Requests of this daemon that run there.
    pub(crate) running: u32,
    /// Mean service time that this daemon has seen; zero if none.
    pub(crate) mean: Duration,
}

impl MemberSelector {
    pub(crate) fn new() -> Self {
        Self { origin: Instant::now(), state: Mutex::default() }
    }

    /// Starts an attempt at an eligible member other than `tried`; `None` if there is none.
    pub(crate) fn choose(&self, view: &View, tried: Option<BootId>) -> Option<Attempt<'_>> {
        let mut state = self.lock();
        state.update(view);
        // `RandomState` is seeded randomly, so its hashes are random numbers.
        let random = RandomState::new();
        let draws = [random.hash_one(0), random.hash_one(1)];
        let (member_id, handle) = state.choose(self.now(), draws, tried)?;
        state.policy.start(handle);
        Some(Attempt { selector: self, member_id, handle, finished: false })
    }

    /// The eligible members of `view`, each with how many of `draws` it would be chosen for, its running requests and
    /// its mean service time. Chooses as [`MemberSelector::choose`], from a copy of the state.
    pub(crate) fn preview(&self, view: &View, draws: &[[u64; 2]]) -> Vec<MemberPreview> {
        let mut copy = self.lock().clone();
        copy.update(view);
        let now = self.now();
        let chosen = draws.iter().filter_map(|draws| copy.choose(now, *draws, None));
        let chosen: Vec<BootId> = chosen.map(|(member, _)| member).collect();
        let preview = |(member_id, handle): (&BootId, &UpstreamKey)| {
            let (running, mean) = copy.policy.load(*handle).unwrap_or_default();
            let count = chosen.iter().filter(|chosen| *chosen == member_id).count();
            MemberPreview { member_id: *member_id, count, running, mean }
        };
        copy.handles.iter().map(preview).collect()
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, MemberSelectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemberSelectorState {
    /// Chooses an eligible member other than `tried`; `draws` are random numbers.
    fn choose(
        &self,
        now: Moment,
        draws: [u64; 2],
        tried: Option<BootId>,
    ) -> Option<(BootId, UpstreamKey)> {
        let tried = tried.and_then(|member| self.handles.get(&member).copied());
        let handle = self.policy.choose(now, draws, tried)?;
        let (member_id, _) = self.handles.iter().find(|(_, known)| **known == handle)?;
        Some((*member_id, handle))
    }

    /// Adds and removes members so that `handles` holds the eligible members of `view`.
    fn update(&mut self, view: &View) {
        let inputs = SelectorInputs {
            own_boot: view.serving.me,
            record_version: view.serving.record.version,
            configuration_version: view.configuration.version,
            stopping: view.stopping,
        };
        if inputs == self.inputs {
            return;
        }
        self.inputs = inputs;
        let members = &view.serving.record.members;
        let policy = &mut self.policy;
        self.handles.retain(|boot, handle| {
            let eligible = members.get(boot).is_some_and(|member| is_eligible(view, *boot, member));
            if !eligible {
                policy.remove(*handle);
            }
            eligible
        });
        for (boot, member) in members {
            if is_eligible(view, *boot, member) {
                self.handles.entry(*boot).or_insert_with(|| policy.insert());
            }
        }
    }
}

impl Attempt<'_> {
    /// Records the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.finished = true;
        self.selector.lock().policy.end(self.selector.now(), self.handle, outcome);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.finished {
            // The attempt was dropped before its end, which is no failure of the member.
            self.selector.lock().policy.end(
                self.selector.now(),
                self.handle,
                AttemptOutcome::Refused,
            );
        }
    }
}

/// Whether the member may run requests: it is not stopping, leaving or excluded by operators.
pub(crate) fn is_eligible(view: &View, boot: BootId, member: &Member) -> bool {
    exclusion(view, boot, member).is_none()
}

/// Why the member may run no requests; `None` if it may.
pub(crate) fn exclusion(view: &View, boot: BootId, member: &Member) -> Option<&'static str> {
    let service = &view.serving.record.service;
    if view.stopping && boot == view.serving.me {
        return Some("stopping");
    }
    if member.leaving {
        return Some("leaving");
    }
    version::is_excluded(&view.configuration, service, member).then_some("taken out")
}

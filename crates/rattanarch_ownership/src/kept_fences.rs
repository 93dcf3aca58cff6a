//! Fences that a newer process of a daemon keeps for its upstream.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::Rules;

/// Fences under which an upstream holds slices since an earlier process of its daemon, so that the newer process
/// doesn't have to grant them anew.
#[derive(Clone, Debug, Default)]
pub struct KeptFences {
    /// Fences in the first heartbeat that this process got.
    reported: BTreeMap<SliceId, Fence>,
    /// Newest record without this member; tells which slices the earlier process owned before this member replaced it.
    previous: Option<Arc<Record>>,
    rules: Rules,
}

impl KeptFences {
    /// Replaces the rules; only tests switch one off.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Adds what the first heartbeat of the upstream reports as held.
    pub fn report(&mut self, held: impl IntoIterator<Item = (SliceId, Fence)>) {
        self.reported.extend(held);
    }

    /// Applies `record` for the member `me`. Returns the fences to keep: those of the slices that `me` has just taken
    /// over from the earlier process of its instance.
    pub fn apply_record(&mut self, record: &Arc<Record>, me: BootId) -> BTreeMap<SliceId, Fence> {
        let Some(member) = record.members.get(&me) else {
            self.previous = Some(Arc::clone(record));
            return BTreeMap::new();
        };
        let Some(previous) = self.previous.take() else { return BTreeMap::new() };
        // A restored record may show another owner than the one that the slices had last.
        let is_direct = !self.rules.match_predecessor
            || previous.version + 1 == record.version
                && previous.restored == 0
                && record.restored == 0;
        let was_own = |slice: SliceId| {
            let owner = previous.owners.get(usize::from(slice)).copied().flatten();
            let owner = owner.and_then(|owner| previous.members.get(&owner));
            owner.is_some_and(|owner| owner.instance == member.instance)
        };
        // A heartbeat may arrive late. Other members may have owned the slice since, under higher fences than it reports.
        let is_current = |slice: SliceId, fence: Fence| {
            let recorded = previous.fence_of(slice);
            let is_newest = recorded.is_some_and(|recorded| recorded <= fence);
            fence < record.version && (is_newest || !self.rules.match_fences)
        };
        let kept = self
            .reported
            .iter()
            .filter(|(slice, fence)| is_direct && was_own(**slice) && is_current(**slice, **fence));
        kept.map(|(slice, fence)| (*slice, *fence)).collect()
    }
}

//! When this member gives hot keys away, and when it gives them back.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_placement::MAX_KEY_MOVES;
use rattanarch_placement::plan_key_moves;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::core::Core;

/// Time between two moves of hot keys, in which loads settle.
const MOVE_PAUSE: Duration = Duration::from_secs(5);
/// How long a key must have been cold before it goes back to its slice.
const COOL_TIME: Duration = Duration::from_secs(60);
/// Part of the member's load below which a key is cold.
const COLD_PART: u32 = 100;

/// Pace of a member's moves of hot keys.
#[derive(Debug, Default)]
pub(crate) struct HotKeyMoves {
    next: Moment,
    /// Since when keys that were split out have been cold.
    cold: BTreeMap<KeyHash, Moment>,
}

impl HotKeyMoves {
    /// Hot keys that are to move now, and cold ones that are to go back.
    ///
    /// Looks once at each measurement of the load, again while the platform does not answer.
    pub(crate) fn due(
        &mut self,
        core: &mut Core,
        now: Moment,
    ) -> BTreeMap<KeyHash, Option<BootId>> {
        let measured = std::mem::take(&mut core.rates_changed);
        let Some(record) = core.record.clone().filter(|_| measured) else { return BTreeMap::new() };
        self.cool(core, &record, now);
        if now < self.next {
            return BTreeMap::new();
        }
        let relief = plan_key_moves(&record, core.me, &core.barred, &core.key_rates, &core.loads);
        let hot = relief.into_iter().map(|(key, to)| (key, Some(to)));
        let cooled = self.cold.iter().filter(|(_, since)| now >= **since + COOL_TIME);
        let back = cooled.map(|(key, _)| (*key, None)).take(MAX_KEY_MOVES);
        let keys: BTreeMap<_, _> = hot.chain(back).collect();
        if keys.is_empty() {
            return keys;
        }
        if !core.is_platform_reachable(now) {
            core.rates_changed = true;
            return BTreeMap::new();
        }
        self.next = now + MOVE_PAUSE;
        keys
    }

    fn cool(&mut self, core: &Core, record: &Record, now: Moment) {
        let load = core.loads.get(&core.me).copied().unwrap_or_default();
        let is_cold = |key: &KeyHash| {
            let rate = core.key_rates.get(key).copied().unwrap_or_default();
            rate.saturating_mul(COLD_PART) < load.max(COLD_PART)
        };
        let mine = record.hot.iter().filter(|(_, owner)| **owner == core.me);
        let cold = mine.map(|(key, _)| *key).filter(is_cold);
        let since = |key| (key, self.cold.get(&key).copied().unwrap_or(now));
        self.cold = cold.map(since).collect();
    }
}

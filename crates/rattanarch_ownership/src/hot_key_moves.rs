//! Moves of this member's hot keys to other members and back.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_placement::MAX_KEY_MOVES;
use rattanarch_placement::plan_key_moves;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::core::Core;

/// Time between two moves of hot keys, so that loads settle.
const MOVE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a key must have been cold before it returns to its slice.
const COLD_TIME: Duration = Duration::from_secs(60);
/// A key is cold if its rate is below the member's load divided by this.
const COLD_DIVISOR: u32 = 100;

/// Schedule of a member's moves of hot keys.
#[derive(Debug, Default)]
pub(crate) struct HotKeyMoves {
    next_move: Moment,
    /// Cold keys that were split out of their slices, and since when each has been cold.
    cold: BTreeMap<KeyHash, Moment>,
}

impl HotKeyMoves {
    /// Hot keys to move now, each with its next owner, and cold keys that return to their slices,
    /// with `None`.
    ///
    /// Each load measurement is evaluated once, and again as long as the platform does not answer.
    pub(crate) fn due(
        &mut self,
        core: &mut Core,
        now: Moment,
    ) -> BTreeMap<KeyHash, Option<BootId>> {
        let changed = std::mem::take(&mut core.rates_changed);
        let Some(record) = core.record.clone().filter(|_| changed) else { return BTreeMap::new() };
        self.update_cold(core, &record, now);
        if now < self.next_move {
            return BTreeMap::new();
        }
        let moves = plan_key_moves(&record, core.me, &core.excluded, &core.key_rates, &core.loads);
        let hot = moves.into_iter().map(|(key, to)| (key, Some(to)));
        let returning = self.cold.iter().filter(|(_, since)| now >= **since + COLD_TIME);
        let returned = returning.map(|(key, _)| (*key, None)).take(MAX_KEY_MOVES);
        let keys: BTreeMap<_, _> = hot.chain(returned).collect();
        if keys.is_empty() {
            return keys;
        }
        if !core.is_platform_reachable(now) {
            core.rates_changed = true;
            return BTreeMap::new();
        }
        self.next_move = now + MOVE_INTERVAL;
        keys
    }

    fn update_cold(&mut self, core: &Core, record: &Record, now: Moment) {
        let load = core.loads.get(&core.me).copied().unwrap_or_default();
        let is_cold = |key: &KeyHash| {
            let rate = core.key_rates.get(key).copied().unwrap_or_default();
            rate.saturating_mul(COLD_DIVISOR) < load.max(COLD_DIVISOR)
        };
        let mine = record.hot.iter().filter(|(_, owner)| **owner == core.me);
        let cold = mine.map(|(key, _)| *key).filter(is_cold);
        let since = |key| (key, self.cold.get(&key).copied().unwrap_or(now));
        self.cold = cold.map(since).collect();
    }
}

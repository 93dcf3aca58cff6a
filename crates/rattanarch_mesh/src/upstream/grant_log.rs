//! Log lines that tell which keys the upstream was granted, under which fences, and when it could hold them no longer.

use std::fmt;
use std::time::Duration;

use rattanarch_ownership::GrantChanges;
use rattanarch_types::Fence;
use rattanarch_types::SliceId;
use rattanarch_types::era_of;

use crate::process::Shared;
use crate::upstream::UpstreamState;
use crate::upstream::heartbeat::keys_in;

/// Logs what the upstream may hold now and could not when this was last called, and the reverse.
pub(crate) fn log_grant_changes(shared: &Shared, state: &mut UpstreamState) {
    let now = shared.now();
    let changes = state.grants.take_changes(now);
    if changes == GrantChanges::default() {
        return;
    }
    let Some(life) = &state.life else { return };
    let slices = state.running.len() as SliceId;
    let version = state.serving.record.version;
    let boot = format!("{:x}", state.serving.me);
    let (id, born) = (&life.id, life.started_at_ms);
    let ends = [(&changes.released, Duration::ZERO), (&changes.expired, now - changes.expired_at)];
    for (fences, age) in ends.into_iter().filter(|(fences, _)| !fences.is_empty()) {
        log::info!(life:% = id, born = born, boot:% = boot, record = version,
            expired_ms_ago = age.as_millis() as u64, keys:% = KeyRanges { slices, fences };
            "keys no longer held");
    }
    if !changes.granted.is_empty() {
        let fences = &changes.granted;
        log::info!(life:% = id, born = born, boot:% = boot, record = version, era = era_of(version),
            sequence = life.sequence, keys:% = KeyRanges { slices, fences }; "keys granted");
    }
}

/// Displays slices as ranges of keys with their fences: `0-4095:7 8192-8207:12`.
struct KeyRanges<'a> {
    /// Number of slices of the service.
    slices: SliceId,
    /// Slices in ascending order.
    fences: &'a [(SliceId, Fence)],
}

impl fmt::Display for KeyRanges<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let runs = self.fences.chunk_by(|a, b| a.0 + 1 == b.0 && a.1 == b.1);
        for (index, run) in runs.enumerate() {
            let ((start, fence), (end, _)) = (run[0], run[run.len() - 1]);
            let (first, _) = keys_in(self.slices, start);
            let (_, last) = keys_in(self.slices, end);
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{first}-{last}:{fence}")?;
        }
        Ok(())
    }
}

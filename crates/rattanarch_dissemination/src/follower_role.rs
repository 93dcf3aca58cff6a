//! Decides when a daemon follows (polls) the store itself.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::group::FOLLOWERS_PER_GROUP;

/// Age of the last confirmation by a follower beyond which a daemon no longer relies on the followers. Followers poll
/// the store twice a second and send a confirmation three times a second; a configuration has to be in force within 2
/// s.
pub const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay between the times at which two successive daemons of a group start to follow, once the followers are silent:
/// long enough for the confirmation of the first to reach the next.
const STAGGER: Duration = Duration::from_millis(40);

/// Upper limit of the summed stagger, so that a whole group that hears nothing is current again within the 2 s.
pub const MAX_STAGGER: Duration = Duration::from_millis(480);

/// Timeout of a daemon that is in no record yet: it hears from followers only once it has joined, and daemons that
/// start together spread their joins over 2 s.
const NEWCOMER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Minimum time for which a standby daemon keeps following the store, so that it does not rely on a flapping follower
/// at once.
const MIN_FOLLOW_TIME: Duration = Duration::from_secs(3);

/// Interval between the attempts of successive standby daemons of a group while none of them reaches the store. They
/// take turns, so that a group's call rate does not grow with its size. If the store becomes reachable again for two
/// in three of them, one of the next six attempts finds it, within the time limit of a configuration (2 s).
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);

/// Backoff of a daemon without a group that could not reach the store, doubled after each failure.
const MIN_BACKOFF: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Gap between two updates beyond which the process is taken to have been suspended: silence of the followers during
/// such a gap proves nothing.
const SUSPENSION_GAP: Duration = Duration::from_millis(500);

/// Whether a daemon follows the store, or relies on the confirmations of others.
///
/// The first [`FOLLOWERS_PER_GROUP`] daemons of a group always follow. The others are on standby: they start to
/// follow, one after the other, when the followers' confirmations are no longer current.
#[derive(Debug, Default)]
pub struct FollowerRole {
    /// When the known state was last confirmed to be current, by this daemon or another.
    confirmed: Option<Moment>,
    /// When a follower with a lower rank was last heard.
    better_heard: Option<Moment>,
    /// Since when this daemon follows; `None` if it does not.
    following_since: Option<Moment>,
    /// When the process started, or last resumed after a suspension.
    running_since: Option<Moment>,
    last_update: Moment,
    /// Since when this daemon is in a group: it receives confirmations from then on.
    grouped_since: Option<Moment>,
    /// Until when a standby daemon that did not reach the store makes no further attempt.
    backoff_end: Moment,
    /// Current backoff; zero if the store has answered since.
    backoff: Duration,
}

impl FollowerRole {
    /// Whether this daemon follows the store at present.
    pub fn follows(&self) -> bool {
        self.following_since.is_some()
    }

    /// When the known state was last confirmed to be current; `None` if never.
    pub fn last_confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Records a confirmation that the known state was current at `at`.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that the store answered this daemon itself: the state is current as of `at`, and the backoff ends.
    pub fn store_confirmed(&mut self, at: Moment) {
        self.confirm(at);
        self.reset_backoff();
    }

    /// Ends the backoff, after the store has answered any call of this daemon.
    pub fn reset_backoff(&mut self) {
        self.backoff = Duration::ZERO;
        self.backoff_end = Moment::ZERO;
    }

    /// Records a confirmation from the follower with `rank` in the group; `own` is the rank of this daemon.
    pub fn observe_follower(&mut self, now: Moment, rank: Option<usize>, own: Option<usize>) {
        let better = match (rank, own) {
            (Some(rank), Some(own)) => rank < own,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if better {
            self.better_heard = Some(now);
        }
    }

    /// Records that this daemon, with `rank` in a group of `members`, did not reach the store. A standby daemon
    /// then stops following and backs off.
    pub fn store_failed(&mut self, now: Moment, rank: Option<usize>, members: usize) {
        if is_designated(rank) || self.following_since.is_none() {
            return;
        }
        self.backoff = match rank {
            // All standby daemons made their first attempt together; the next ones are staggered by rank.
            Some(rank) if self.backoff.is_zero() => attempt_time(rank + 1),
            Some(_) => attempt_time(members),
            None => (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF),
        };
        self.backoff_end = now + self.backoff;
        self.following_since = None;
    }

    /// Updates the role for the daemon's current `rank` in its group, and returns whether it follows the store.
    /// `spread` is a random delay below [`MAX_STAGGER`], drawn once, that keeps daemons without a group apart. To be
    /// called several times a second.
    pub fn update(&mut self, now: Moment, rank: Option<usize>, spread: Duration) -> bool {
        if self.running_since.is_none() || now.saturating_sub(self.last_update) > SUSPENSION_GAP {
            self.running_since = Some(now);
        }
        self.last_update = now;
        if rank.is_none() {
            self.grouped_since = None;
        } else if self.grouped_since.is_none() {
            self.grouped_since = Some(now);
        }
        let is_due = is_designated(rank) || self.is_follow_due(now, rank, spread);
        match self.following_since {
            None if is_due => self.following_since = Some(now),
            Some(since) if !is_designated(rank) && self.is_relieved(now, since) => {
                self.following_since = None;
            }
            _ => {}
        }
        self.follows()
    }

    /// Whether the last confirmation is so old that it is this daemon's turn to follow.
    fn is_follow_due(&self, now: Moment, rank: Option<usize>, spread: Duration) -> bool {
        let heard =
            self.confirmed.max(self.running_since).max(self.grouped_since).unwrap_or_default();
        let timeout = match rank {
            Some(rank) => {
                let before = rank.saturating_sub(FOLLOWERS_PER_GROUP) as u32;
                FOLLOWER_TIMEOUT + (STAGGER * before).min(MAX_STAGGER)
            }
            None => NEWCOMER_TIMEOUT + spread * 4,
        };
        now >= heard + timeout && now >= self.backoff_end
    }

    /// Whether a follower with a lower rank has been heard lately, and this daemon has followed for the minimum time.
    fn is_relieved(&self, now: Moment, since: Moment) -> bool {
        let heard = self.better_heard.is_some_and(|heard| now < heard + FOLLOWER_TIMEOUT);
        heard && now >= since + MIN_FOLLOW_TIME
    }
}

/// Total time that the attempts of the standby daemons ranked below `rank` take.
fn attempt_time(rank: usize) -> Duration {
    ATTEMPT_INTERVAL * rank.saturating_sub(FOLLOWERS_PER_GROUP) as u32
}

fn is_designated(rank: Option<usize>) -> bool {
    rank.is_some_and(|rank| rank < FOLLOWERS_PER_GROUP)
}

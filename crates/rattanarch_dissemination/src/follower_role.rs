//! When a daemon follows the store itself.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::group::FOLLOWERS_PER_GROUP;

/// Age of the newest word of a current follower at which a daemon stops to rely on it. Followers confirm twice a
/// second that they reach the store and say so three times a second; a configuration has to be in force within 2 s.
pub const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between the turns of two daemons of a group whose followers have fallen silent: the first one's word
/// reaches the next within it.
const STAGGER: Duration = Duration::from_millis(40);

/// Longest sum of such turns, so that a whole group that hears nothing is current within the bound.
pub const MAX_STAGGER: Duration = Duration::from_millis(480);

/// Patience of a daemon that is not in any record yet: it learns of followers once it has joined, and daemons
/// that start together spread their joins over 2 s.
const NEWCOMER_PATIENCE: Duration = Duration::from_millis(3_000);

/// Least time that a stand-in follows the store, so that a follower that comes and goes is not relied on at once.
const TERM: Duration = Duration::from_secs(3);

/// Time between the tries of two stand-ins of a group while none of them reaches the store: they take turns, so that
/// the calls of a group do not rise with its size, and one of the next six finds a store that has come back for two
/// in three of them, within the bound of a configuration (2 s).
const TRY_INTERVAL: Duration = Duration::from_millis(300);

/// Pause of a daemon without a place that could not reach the store, doubled each time.
const FIRST_REST: Duration = Duration::from_secs(3);
const LONGEST_REST: Duration = Duration::from_secs(12);

/// Gap between two looks beyond which the process did not run: silence in it is no evidence.
const PAUSE: Duration = Duration::from_millis(500);

/// Whether a daemon follows the store, or relies on what others tell it.
///
/// The first daemons of a group always follow. The others stand in, one after the other, when nothing that they hear
/// is current any more.
#[derive(Debug, Default)]
pub struct FollowerRole {
    /// When what is known was last confirmed to be current, by this daemon or another.
    confirmed: Option<Moment>,
    /// When a follower with a better place was last heard of.
    relieved: Option<Moment>,
    /// Since when this daemon follows; `None` if it does not.
    follows: Option<Moment>,
    /// When the process began to look, or last came back from a pause.
    awake: Option<Moment>,
    looked: Moment,
    /// Since when this daemon has a place in a group: others tell it of the store from then on.
    placed: Option<Moment>,
    /// Until when a stand-in that did not reach the store leaves it to others.
    rests: Moment,
    /// Its last such pause; zero if the store has answered since.
    rest: Duration,
}

impl FollowerRole {
    /// Whether this daemon follows the store at present.
    pub fn follows(&self) -> bool {
        self.follows.is_some()
    }

    /// When what is known was last confirmed to be current; `None` if never.
    pub fn last_confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Takes word that what this daemon knows was current at `at`.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Notes that the store has answered this daemon itself.
    pub fn store_confirmed(&mut self, at: Moment) {
        self.confirm(at);
        self.reset_backoff();
    }

    /// Notes that the store has answered some call of this daemon: it need not leave it to others any more.
    pub fn reset_backoff(&mut self) {
        self.rest = Duration::ZERO;
        self.rests = Moment::ZERO;
    }

    /// Notes word at `now` of a follower at `place` of the group, as this daemon at `own` sees it.
    pub fn observe_follower(&mut self, now: Moment, place: Option<usize>, own: Option<usize>) {
        let better = match (place, own) {
            (Some(place), Some(own)) => place < own,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if better {
            self.relieved = Some(now);
        }
    }

    /// Notes that a stand-in at `place` of a group of `members` did not reach the store.
    pub fn store_failed(&mut self, now: Moment, place: Option<usize>, members: usize) {
        if is_designated(place) || self.follows.is_none() {
            return;
        }
        self.rest = match place {
            // All have tried at the same time: from here on they take turns.
            Some(place) if self.rest.is_zero() => turns(place + 1),
            Some(_) => turns(members),
            None => (self.rest * 2).clamp(FIRST_REST, LONGEST_REST),
        };
        self.rests = now + self.rest;
        self.follows = None;
    }

    /// Looks at `now` whether to follow, at `place` of the group; `spread`, below [`MAX_STAGGER`], is drawn once and
    /// keeps daemons apart that have no place. To be called several times a second.
    pub fn update(&mut self, now: Moment, place: Option<usize>, spread: Duration) -> bool {
        if self.awake.is_none() || now.saturating_sub(self.looked) > PAUSE {
            self.awake = Some(now);
        }
        self.looked = now;
        if place.is_none() {
            self.placed = None;
        } else if self.placed.is_none() {
            self.placed = Some(now);
        }
        let is_due = is_designated(place) || self.is_alone(now, place, spread);
        match self.follows {
            None if is_due => self.follows = Some(now),
            Some(since) if !is_designated(place) && self.is_relieved(now, since) => {
                self.follows = None;
            }
            _ => {}
        }
        self.follows()
    }

    /// Whether nothing current has been heard for so long that it is this daemon's turn.
    fn is_alone(&self, now: Moment, place: Option<usize>, spread: Duration) -> bool {
        let heard = self.confirmed.max(self.awake).max(self.placed).unwrap_or_default();
        let turn = match place {
            Some(place) => {
                let before = place.saturating_sub(FOLLOWERS_PER_GROUP) as u32;
                FOLLOWER_TIMEOUT + (STAGGER * before).min(MAX_STAGGER)
            }
            None => NEWCOMER_PATIENCE + spread * 4,
        };
        now >= heard + turn && now >= self.rests
    }

    /// Whether others follow, and have done so for a while.
    fn is_relieved(&self, now: Moment, since: Moment) -> bool {
        let heard = self.relieved.is_some_and(|relieved| now < relieved + FOLLOWER_TIMEOUT);
        heard && now >= since + TERM
    }
}

/// Time of the tries of those stand-ins that have a place below `places`.
fn turns(places: usize) -> Duration {
    TRY_INTERVAL * places.saturating_sub(FOLLOWERS_PER_GROUP) as u32
}

fn is_designated(place: Option<usize>) -> bool {
    place.is_some_and(|place| place < FOLLOWERS_PER_GROUP)
}

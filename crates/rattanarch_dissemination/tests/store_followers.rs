//! Who follows the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_dissemination::DaemonLocation;
use rattanarch_dissemination::FOLLOWER_TIMEOUT;
use rattanarch_dissemination::FOLLOWERS_PER_GROUP;
use rattanarch_dissemination::FollowerRole;
use rattanarch_dissemination::Group;
use rattanarch_dissemination::MAX_GROUP_SIZE;
use rattanarch_dissemination::MAX_STAGGER;
use rattanarch_dissemination::group;

/// Longest time until a configuration is in force on the users' smallest deployments.
const BOUND: Duration = Duration::from_secs(2);

/// Time between two looks and between two words of a follower.
const STEP: Duration = Duration::from_millis(100);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 200) as u8, (index % 200) as u8], 7_380))
}

/// `count` daemons in data centres of equal size.
fn fleet(count: usize, centres: usize) -> Vec<DaemonLocation> {
    let daemon = |index: usize| DaemonLocation {
        data_centre: format!("centre-{}", index % centres),
        address: address(index),
    };
    (0..count).map(daemon).collect()
}

/// Every daemon is of one group, which all its members see alike, and groups have a bounded size.
#[test]
fn groups_agree() {
    for count in [1, 2, 13, 29, 32, 33, 195, 1_000] {
        let fleet = fleet(count, 6);
        let groups: Vec<Group> =
            fleet.iter().map(|daemon| group(fleet.clone(), daemon.address)).collect();
        let distinct: BTreeSet<&[SocketAddr]> = groups.iter().map(|g| &*g.order).collect();
        let members: usize = distinct.iter().map(|order| order.len()).sum();
        assert_eq!(members, count, "each daemon is in one group");
        assert!(distinct.iter().all(|order| order.len() <= MAX_GROUP_SIZE));
        assert_eq!(distinct.len(), count.div_ceil(MAX_GROUP_SIZE));
    }
}

/// The followers of a group are in two data centres if it has two.
#[test]
fn followers_apart() {
    for count in [2, 13, 29] {
        let fleet = fleet(count, 2);
        let order = group(fleet.clone(), address(0)).order;
        let centre = |at: SocketAddr| {
            fleet.iter().find(|daemon| daemon.address == at).map(|daemon| &daemon.data_centre)
        };
        assert_ne!(centre(order[0]), centre(order[1]));
    }
}

/// A daemon that no record shows has no group.
#[test]
fn stranger_alone() {
    assert_eq!(group(fleet(5, 2), address(77)), Group::default());
}

/// A group of daemons in steps of a tenth of a second. Daemons that are up and reach the store say so to all others.
struct Play {
    duties: Vec<FollowerRole>,
    up: Vec<bool>,
    reaches: Vec<bool>,
    now: Duration,
    calls: usize,
}

impl Play {
    fn new(count: usize) -> Self {
        let duties = (0..count).map(|_| FollowerRole::default()).collect();
        let (up, reaches) = (vec![true; count], vec![true; count]);
        Self { duties, up, reaches, now: Duration::from_secs(100), calls: 0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for place in 0..self.duties.len() {
                if self.up[place] {
                    self.turn(place);
                }
            }
        }
    }

    fn turn(&mut self, place: usize) {
        let before = self.duties[place].follows();
        if !self.duties[place].update(self.now, Some(place), Duration::ZERO) {
            return;
        }
        self.calls += usize::from(!before);
        if !self.reaches[place] {
            let members = self.duties.len();
            return self.duties[place].store_failed(self.now, Some(place), members);
        }
        self.duties[place].store_confirmed(self.now);
        for other in (0..self.duties.len()).filter(|other| *other != place) {
            if self.up[other] {
                self.duties[other].confirm(self.now);
                self.duties[other].observe_follower(self.now, Some(place), Some(other));
            }
        }
    }

    fn followers(&self) -> usize {
        self.duties.iter().zip(&self.up).filter(|(duty, up)| **up && duty.follows()).count()
    }

    /// Age of what the daemon that lags most has last heard confirmed.
    fn oldest(&self) -> Duration {
        let up = self.duties.iter().zip(&self.up).filter(|(_, up)| **up);
        let ages = up.map(|(duty, _)| self.now - duty.last_confirmed().unwrap_or_default());
        ages.max().unwrap_or_default()
    }
}

/// In calm times the first two follow, and nobody else calls the store.
#[test]
fn two_follow() {
    let mut play = Play::new(MAX_GROUP_SIZE);
    play.run(Duration::from_secs(60));
    assert_eq!(play.followers(), FOLLOWERS_PER_GROUP);
    assert_eq!(play.calls, FOLLOWERS_PER_GROUP);
}

/// Both followers are lost at once, and those after them too: the others are current again within the bound.
#[test]
fn followers_lost() {
    for lost in [2, 3, 8, 16] {
        let mut play = Play::new(MAX_GROUP_SIZE);
        play.run(Duration::from_secs(10));
        play.up[..lost].fill(false);
        let mut oldest = Duration::ZERO;
        for _ in 0..40 {
            play.run(STEP);
            oldest = oldest.max(play.oldest());
        }
        assert!(oldest < BOUND, "{lost} lost: {oldest:?}");
        assert!(play.followers() <= FOLLOWERS_PER_GROUP + 2, "few stand in: {}", play.followers());
    }
}

/// The store turns a third of the daemons away, the followers among them.
#[test]
fn followers_refused() {
    let mut play = Play::new(MAX_GROUP_SIZE);
    play.run(Duration::from_secs(10));
    play.reaches[..MAX_GROUP_SIZE / 3].fill(false);
    let mut oldest = Duration::ZERO;
    for _ in 0..40 {
        play.run(STEP);
        oldest = oldest.max(play.oldest());
    }
    assert!(oldest < BOUND, "{oldest:?}");
}

/// Stand-ins leave it to the followers once these are back.
#[test]
fn followers_return() {
    let mut play = Play::new(MAX_GROUP_SIZE);
    play.run(Duration::from_secs(10));
    play.up[..2].fill(false);
    play.run(Duration::from_secs(5));
    play.up[..2].fill(true);
    play.run(Duration::from_secs(6));
    assert_eq!(play.followers(), FOLLOWERS_PER_GROUP);
}

/// While the store is down for all, stand-ins try it seldom.
#[test]
fn store_down() {
    let mut play = Play::new(MAX_GROUP_SIZE);
    play.run(Duration::from_secs(10));
    play.reaches.fill(false);
    play.calls = 0;
    play.run(Duration::from_secs(9));
    assert!(play.calls <= 3 * MAX_GROUP_SIZE, "{} calls", play.calls);
    play.reaches.fill(true);
    play.run(Duration::from_secs(1));
    assert!(play.oldest() < BOUND);
}

/// The store comes back for two daemons in three, and for no follower: someone finds it within the bound, however long it
/// was away.
#[test]
fn back_for_others() {
    for (count, away) in
        [(13, 2), (13, 5), (13, 9), (13, 30), (MAX_GROUP_SIZE, 5), (MAX_GROUP_SIZE, 30)]
    {
        let mut play = Play::new(count);
        play.run(Duration::from_secs(10));
        play.reaches.fill(false);
        play.run(Duration::from_secs(away));
        let back = |place: usize| place >= FOLLOWERS_PER_GROUP && !place.is_multiple_of(3);
        play.reaches = (0..count).map(back).collect();
        play.run(BOUND);
        assert!(play.oldest() < BOUND, "{count} daemons, {away} s: {:?}", play.oldest());
    }
}

/// A process that was frozen does not take its own pause for the silence of others.
#[test]
fn frozen_daemon() {
    let mut play = Play::new(MAX_GROUP_SIZE);
    play.run(Duration::from_secs(10));
    play.up[9] = false;
    play.run(Duration::from_secs(5));
    play.up[9] = true;
    play.run(Duration::from_secs(5));
    assert_eq!(play.calls, FOLLOWERS_PER_GROUP);
}

quickcheck! {
    /// Whoever is lost, some daemon follows a second after its patience has ended.
    fn someone_follows(lost: Vec<bool>) -> bool {
        let mut play = Play::new(MAX_GROUP_SIZE);
        play.run(Duration::from_secs(5));
        for (up, lost) in play.up.iter_mut().zip(&lost).take(MAX_GROUP_SIZE - 1) {
            *up = !lost;
        }
        play.run(FOLLOWER_TIMEOUT + MAX_STAGGER + STEP * 2);
        play.followers() > 0
    }
}

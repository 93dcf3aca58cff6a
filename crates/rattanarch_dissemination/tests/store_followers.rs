//! Which daemons of a group follow the store.

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

/// Time within which a changed configuration has to be in force on every daemon, as the smallest deployments require.
/// The age of a daemon's last confirmation has to stay below it.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Simulated time between two updates of a daemon's role. A follower sends a confirmation in every step, more often than
/// in the daemon (three times a second).
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

/// Every daemon is in exactly one group, all members compute the same group, no group is larger than the maximum, and
/// there are no more groups than needed.
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

/// The followers of a group are in different data centres if the group spans two.
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

/// A daemon that is not in the list of daemons has an empty group.
#[test]
fn unknown_daemon() {
    assert_eq!(group(fleet(5, 2), address(77)), Group::default());
}

/// Simulates a group in steps of 100 ms. A follower that is up and reaches the store sends a confirmation to all
/// others.
struct Simulation {
    roles: Vec<FollowerRole>,
    up: Vec<bool>,
    reaches_store: Vec<bool>,
    now: Duration,
    /// Number of times that any daemon has begun to follow the store, in total.
    starts: usize,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let roles = (0..count).map(|_| FollowerRole::default()).collect();
        let (up, reaches_store) = (vec![true; count], vec![true; count]);
        Self { roles, up, reaches_store, now: Duration::from_secs(100), starts: 0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for rank in 0..self.roles.len() {
                if self.up[rank] {
                    self.step(rank);
                }
            }
        }
    }

    fn step(&mut self, rank: usize) {
        let followed = self.roles[rank].follows();
        if !self.roles[rank].update(self.now, Some(rank), Duration::ZERO) {
            return;
        }
        self.starts += usize::from(!followed);
        if !self.reaches_store[rank] {
            let members = self.roles.len();
            return self.roles[rank].store_failed(self.now, Some(rank), members);
        }
        self.roles[rank].store_confirmed(self.now);
        for other in (0..self.roles.len()).filter(|other| *other != rank) {
            if self.up[other] {
                self.roles[other].confirm(self.now);
                self.roles[other].observe_follower(self.now, Some(rank), Some(other));
            }
        }
    }

    fn followers(&self) -> usize {
        self.roles.iter().zip(&self.up).filter(|(role, up)| **up && role.follows()).count()
    }

    /// Longest time since the last confirmation, over all daemons that are up.
    fn max_age(&self) -> Duration {
        let up = self.roles.iter().zip(&self.up).filter(|(_, up)| **up);
        let ages = up.map(|(role, _)| self.now - role.last_confirmed().unwrap_or_default());
        ages.max().unwrap_or_default()
    }
}

/// Without failures the first two follow, and no other daemon calls the store.
#[test]
fn two_follow() {
    let mut simulation = Simulation::new(MAX_GROUP_SIZE);
    simulation.run(Duration::from_secs(60));
    assert_eq!(simulation.followers(), FOLLOWERS_PER_GROUP);
    assert_eq!(simulation.starts, FOLLOWERS_PER_GROUP);
}

/// Both followers, and some of the next daemons in order, are lost at once: the others are current again within the
/// time limit, and few of them follow.
#[test]
fn followers_lost() {
    for lost in [2, 3, 8, 16] {
        let mut simulation = Simulation::new(MAX_GROUP_SIZE);
        simulation.run(Duration::from_secs(10));
        simulation.up[..lost].fill(false);
        let mut max_age = Duration::ZERO;
        for _ in 0..40 {
            simulation.run(STEP);
            max_age = max_age.max(simulation.max_age());
        }
        assert!(max_age < TIME_LIMIT, "{lost} lost: {max_age:?}");
        assert!(
            simulation.followers() <= FOLLOWERS_PER_GROUP + 2,
            "too many follow: {}",
            simulation.followers()
        );
    }
}

/// A third of the daemons, both followers included, can't reach the store: all daemons are current again within the time
/// limit.
#[test]
fn followers_cut_off() {
    let mut simulation = Simulation::new(MAX_GROUP_SIZE);
    simulation.run(Duration::from_secs(10));
    simulation.reaches_store[..MAX_GROUP_SIZE / 3].fill(false);
    let mut max_age = Duration::ZERO;
    for _ in 0..40 {
        simulation.run(STEP);
        max_age = max_age.max(simulation.max_age());
    }
    assert!(max_age < TIME_LIMIT, "{max_age:?}");
}

/// Standby daemons stop following the store once the followers are back.
#[test]
fn followers_return() {
    let mut simulation = Simulation::new(MAX_GROUP_SIZE);
    simulation.run(Duration::from_secs(10));
    simulation.up[..2].fill(false);
    simulation.run(Duration::from_secs(5));
    simulation.up[..2].fill(true);
    simulation.run(Duration::from_secs(6));
    assert_eq!(simulation.followers(), FOLLOWERS_PER_GROUP);
}

/// While the store is down for all, standby daemons call it rarely; all are current soon after it is back.
#[test]
fn store_down() {
    let mut simulation = Simulation::new(MAX_GROUP_SIZE);
    simulation.run(Duration::from_secs(10));
    simulation.reaches_store.fill(false);
    simulation.starts = 0;
    simulation.run(Duration::from_secs(9));
    assert!(simulation.starts <= 3 * MAX_GROUP_SIZE, "{} calls", simulation.starts);
    simulation.reaches_store.fill(true);
    simulation.run(Duration::from_secs(1));
    assert!(simulation.max_age() < TIME_LIMIT);
}

/// After an outage the store is reachable for two daemons in three, but for neither follower: some standby daemon
/// finds it within the time limit, however long the outage was.
#[test]
fn back_for_some() {
    for (count, outage) in
        [(13, 2), (13, 5), (13, 9), (13, 30), (MAX_GROUP_SIZE, 5), (MAX_GROUP_SIZE, 30)]
    {
        let mut simulation = Simulation::new(count);
        simulation.run(Duration::from_secs(10));
        simulation.reaches_store.fill(false);
        simulation.run(Duration::from_secs(outage));
        let reachable = |rank: usize| rank >= FOLLOWERS_PER_GROUP && !rank.is_multiple_of(3);
        simulation.reaches_store = (0..count).map(reachable).collect();
        simulation.run(TIME_LIMIT);
        assert!(
            simulation.max_age() < TIME_LIMIT,
            "{count} daemons, {outage} s: {:?}",
            simulation.max_age()
        );
    }
}

/// A daemon that resumes after a suspension does not start to follow the store, although it received no confirmations
/// meanwhile.
#[test]
fn suspended_daemon() {
    let mut simulation = Simulation::new(MAX_GROUP_SIZE);
    simulation.run(Duration::from_secs(10));
    simulation.up[9] = false;
    simulation.run(Duration::from_secs(5));
    simulation.up[9] = true;
    simulation.run(Duration::from_secs(5));
    assert_eq!(simulation.starts, FOLLOWERS_PER_GROUP);
}

quickcheck! {
    /// Whichever daemons are lost, if one at least is up, a daemon that is up follows the store once the follower
    /// timeout and the maximum stagger have passed.
    fn someone_follows(lost: Vec<bool>) -> bool {
        let mut simulation = Simulation::new(MAX_GROUP_SIZE);
        simulation.run(Duration::from_secs(5));
        for (up, lost) in simulation.up.iter_mut().zip(&lost).take(MAX_GROUP_SIZE - 1) {
            *up = !lost;
        }
        simulation.run(FOLLOWER_TIMEOUT + MAX_STAGGER + STEP * 2);
        simulation.followers() > 0
    }
}

//! Groups of daemons, and which of them follow the store.

use std::net::SocketAddr;

use rattanarch_types::DataCentreName;
use xxhash_rust::xxh3::xxh3_64;

/// Daemons in a group at most. A follower tells each of them several times a second that it is current: with
/// 32, some 100 datagrams a second, half a hundredth of a core.
pub const MAX_GROUP_SIZE: usize = 32;

/// Daemons of a group that follow the store: two, in two data centres if there are, so that the loss of one
/// goes unnoticed.
pub const FOLLOWERS_PER_GROUP: usize = 2;

/// A daemon as others know it. Its address outlives the process, so that ranks are the same after a loss of
/// everything.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DaemonLocation {
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// The group of one daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Group {
    /// Addresses of the daemons of the group, in the order in which they are to follow the store.
    pub order: Vec<SocketAddr>,
}

impl Group {
    /// Place of the daemon at `address` in the order; `None` if it is not of the group.
    pub fn follow_rank(&self, address: SocketAddr) -> Option<usize> {
        self.order.iter().position(|other| *other == address)
    }
}

/// The group of the daemon at `me` among `daemons`; empty if it is not one of them.
///
/// Groups are runs of daemons by data centre, so that most of a group's datagrams stay in one.
pub fn group(daemons: impl IntoIterator<Item = DaemonLocation>, me: SocketAddr) -> Group {
    let weighed = |daemon: DaemonLocation| (weigh(daemon.address), daemon);
    let mut daemons: Vec<(u64, DaemonLocation)> = daemons.into_iter().map(weighed).collect();
    daemons.sort_unstable_by(|(x, a), (y, b)| {
        (&a.data_centre, x, a.address).cmp(&(&b.data_centre, y, b.address))
    });
    daemons.dedup();
    let Some(index) = daemons.iter().position(|(_, daemon)| daemon.address == me) else {
        return Group::default();
    };
    let groups = daemons.len().div_ceil(MAX_GROUP_SIZE);
    let number = |index: usize| index * groups / daemons.len();
    let mine = daemons.iter().enumerate().filter(|(i, _)| number(*i) == number(index));
    let mut members: Vec<(u64, DaemonLocation)> = mine.map(|(_, daemon)| daemon.clone()).collect();
    members.sort_unstable_by_key(|(weight, _)| *weight);
    spread_followers(&mut members);
    Group { order: members.into_iter().map(|(_, daemon)| daemon.address).collect() }
}

/// Brings one of another data centre than the first into the second place.
fn spread_followers(members: &mut [(u64, DaemonLocation)]) {
    let Some((_, first)) = members.first() else { return };
    let elsewhere = members.iter().position(|(_, other)| other.data_centre != first.data_centre);
    if let Some(index) = elsewhere {
        members[1..=index].rotate_right(1);
    }
}

fn weigh(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

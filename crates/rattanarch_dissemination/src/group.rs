//! Groups of daemons, and the order in which their members follow the store.

use std::net::SocketAddr;

use rattanarch_types::DataCentreName;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of daemons in a group. A follower sends each of them a confirmation several times a second: with 32,
/// some 100 datagrams a second, which takes 0.5 % of a core.
pub const MAX_GROUP_SIZE: usize = 32;

/// Number of daemons of a group that follow the store: two, in different data centres if possible, so that the loss of
/// one delays no updates.
pub const FOLLOWERS_PER_GROUP: usize = 2;

/// Data centre and address of a daemon. The address outlives the process, so that the order within a group is the same
/// after all daemons have restarted without any state.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DaemonLocation {
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
}

/// The group of one daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Group {
    /// Addresses of the daemons of the group, in the order in which they are to follow the store.
    pub order: Vec<SocketAddr>,
}

impl Group {
    /// Index of the daemon at `address` in the order; `None` if it is not in the group.
    pub fn follow_rank(&self, address: SocketAddr) -> Option<usize> {
        self.order.iter().position(|other| *other == address)
    }
}

/// The group of the daemon at `me` among `daemons`; empty if it is not one of them.
///
/// Groups are contiguous in the list of daemons sorted by data centre, so that most of a group's datagrams stay within
/// one data centre. Within a data centre, and within a group, daemons are ordered by the hash of their address.
pub fn group(daemons: impl IntoIterator<Item = DaemonLocation>, me: SocketAddr) -> Group {
    let hashed = |daemon: DaemonLocation| (address_hash(daemon.address), daemon);
    let mut daemons: Vec<(u64, DaemonLocation)> = daemons.into_iter().map(hashed).collect();
    daemons.sort_unstable_by(|(x, a), (y, b)| {
        (&a.data_centre, x, a.address).cmp(&(&b.data_centre, y, b.address))
    });
    daemons.dedup();
    let Some(index) = daemons.iter().position(|(_, daemon)| daemon.address == me) else {
        return Group::default();
    };
    let groups = daemons.len().div_ceil(MAX_GROUP_SIZE);
    let group_number = |index: usize| index * groups / daemons.len();
    let mine = daemons.iter().enumerate().filter(|(i, _)| group_number(*i) == group_number(index));
    let mut members: Vec<(u64, DaemonLocation)> = mine.map(|(_, daemon)| daemon.clone()).collect();
    members.sort_unstable_by_key(|(hash, _)| *hash);
    spread_followers(&mut members);
    Group { order: members.into_iter().map(|(_, daemon)| daemon.address).collect() }
}

/// Moves the first daemon of another data centre than the first follower's to the second position.
fn spread_followers(members: &mut [(u64, DaemonLocation)]) {
    let Some((_, first)) = members.first() else { return };
    let elsewhere = members.iter().position(|(_, other)| other.data_centre != first.data_centre);
    if let Some(index) = elsewhere {
        members[1..=index].rotate_right(1);
    }
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

//! Members for tests that drive single nodes directly.

use std::net::SocketAddr;

use rattanarch_types::Member;

/// A member without witnesses in a data centre of its own, which has the same name.
pub(crate) fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        instance: name.to_owned(),
        data_centre: name.to_owned(),
        peer: address,
        caller: address,
        slots: 20,
        fence: 0,
        term: 0,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    }
}

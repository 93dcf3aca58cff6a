//! A daemon adopts what concerns its own service, and its version never decreases.

use quickcheck::quickcheck;
use rattanarch_config::PeerVersion;
use rattanarch_config::ServiceConfiguration;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Service;
use rattanarch_types::Standing;

fn configuration(version: u64, own_out: bool, other_out: bool, centre_out: bool) -> Configuration {
    let service = |out: bool| {
        let mut service = Service::default();
        service.out.extend(out.then(|| "slot-1".to_owned()));
        service
    };
    let standing = if centre_out { Standing::Out } else { Standing::In };
    let centre = DataCentre { region: "upper-at".to_owned(), standing };
    Configuration {
        firm: "co-op".to_owned(),
        version,
        write_id: version * 7,
        services: [("own".to_owned(), service(own_out)), ("other".to_owned(), service(other_out))]
            .into(),
        data_centres: [("nordkuehl".to_owned(), centre)].into(),
        ..Configuration::default()
    }
}

fn reduced(configuration: &Configuration) -> ServiceConfiguration {
    let mut own = ServiceConfiguration::new("own");
    own.update(configuration);
    own
}

quickcheck! {
    fn never_decreases(versions: Vec<u8>) -> bool {
        let mut own = ServiceConfiguration::new("own");
        let mut highest = 0;
        versions.into_iter().map(u64::from).all(|version| {
            let newer = own.update(&configuration(version, version % 2 == 0, false, false));
            let expected = version > highest;
            highest = highest.max(version);
            newer == expected && own.version() == highest
        })
    }

    /// Equal digests mean equal content: a daemon that adopts a version by its digest has exactly the content that the
    /// platform holds.
    fn adoption_is_exact(before: (bool, bool, bool), after: (bool, bool, bool)) -> bool {
        let old = configuration(3, before.0, before.1, before.2);
        let new = configuration(4, after.0, after.1, after.2);
        let peer = reduced(&new);
        let mut own = reduced(&old);
        match own.observe_peer(4, peer.digest()) {
            PeerVersion::Adopted => own.content().services == peer.content().services
                && own.content().data_centres == peer.content().data_centres
                && own.version() == 4,
            PeerVersion::Newer => (before.0, before.2) != (after.0, after.2) && own.version() == 3,
            PeerVersion::NotNewer => false,
        }
    }
}

/// A change of another service is adopted by digest alone.
#[test]
fn other_service() {
    let mut own = reduced(&configuration(3, false, false, false));
    let peer = reduced(&configuration(4, false, true, false));
    assert_eq!(own.observe_peer(4, peer.digest()), PeerVersion::Adopted);
    assert_eq!(own.version(), 4);
}

/// A change of a data centre has to be fetched.
#[test]
fn data_centre_out() {
    let mut own = reduced(&configuration(3, false, false, false));
    let peer = reduced(&configuration(4, false, false, true));
    assert_eq!(own.observe_peer(4, peer.digest()), PeerVersion::Newer);
    assert_eq!(own.version(), 3);
}

#[test]
fn older_versions() {
    let mut own = reduced(&configuration(3, false, false, false));
    assert_eq!(own.observe_peer(3, 0), PeerVersion::NotNewer);
    assert_eq!(own.observe_peer(2, 0), PeerVersion::NotNewer);
    assert_eq!(own.version(), 3);
}

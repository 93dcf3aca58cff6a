//! A daemon takes what concerns its service, and versions never fall.

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

fn guided(configuration: &Configuration) -> ServiceConfiguration {
    let mut guidance = ServiceConfiguration::new("own");
    guidance.update(configuration);
    guidance
}

quickcheck! {
    fn never_falls(versions: Vec<u8>) -> bool {
        let mut guidance = ServiceConfiguration::new("own");
        let mut highest = 0;
        versions.into_iter().map(u64::from).all(|version| {
            let newer = guidance.update(&configuration(version, version % 2 == 0, false, false));
            let expected = version > highest;
            highest = highest.max(version);
            newer == expected && guidance.version() == highest
        })
    }

    /// Two daemons that hold a version in different ways agree on its digest: adopting a version
    /// by digest leaves a daemon with the very content that the platform holds.
    fn adoption_is_exact(before: (bool, bool, bool), after: (bool, bool, bool)) -> bool {
        let old = configuration(3, before.0, before.1, before.2);
        let new = configuration(4, after.0, after.1, after.2);
        let peer = guided(&new);
        let mut guidance = guided(&old);
        match guidance.observe_peer(4, peer.digest()) {
            PeerVersion::Adopted => guidance.content().services == peer.content().services
                && guidance.content().data_centres == peer.content().data_centres
                && guidance.version() == 4,
            PeerVersion::Newer => (before.0, before.2) != (after.0, after.2) && guidance.version() == 3,
            PeerVersion::NotNewer => false,
        }
    }
}

#[test]
fn other_service() {
    let mut guidance = guided(&configuration(3, false, false, false));
    let peer = guided(&configuration(4, false, true, false));
    assert_eq!(guidance.observe_peer(4, peer.digest()), PeerVersion::Adopted);
    assert_eq!(guidance.version(), 4);
}

#[test]
fn data_centre_out() {
    let mut guidance = guided(&configuration(3, false, false, false));
    let peer = guided(&configuration(4, false, false, true));
    assert_eq!(guidance.observe_peer(4, peer.digest()), PeerVersion::Newer);
    assert_eq!(guidance.version(), 3);
}

#[test]
fn old_news() {
    let mut guidance = guided(&configuration(3, false, false, false));
    assert_eq!(guidance.observe_peer(3, 0), PeerVersion::NotNewer);
    assert_eq!(guidance.observe_peer(2, 0), PeerVersion::NotNewer);
    assert_eq!(guidance.version(), 3);
}

//! Where a configuration version is in force.

use rattanarch_config::Coverage;
use rattanarch_types::Configuration;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::version::View;

/// Members of this daemon's service that report `version` or a later one.
///
/// Daemons hear only from the members of their own service: the firm's other services are named
/// as unseen.
pub(crate) fn coverage(
    view: &View,
    fleet: &dyn Fleet,
    configuration: &Configuration,
    version: Version,
) -> Coverage {
    let record = &view.serving.record;
    let is_own = |service: &&String| **service == record.service;
    let own = configuration.services.keys().any(|service| is_own(&service));
    let unseen = configuration.services.keys().filter(|service| !is_own(service)).cloned();
    let unseen = unseen.collect();
    if !own {
        return Coverage { reported: 0, members: 0, unseen };
    }
    let versions = fleet.versions();
    let has_it = |boot| versions.get(boot).is_some_and(|reported| *reported >= version);
    let reported = record.members.keys().filter(|boot| has_it(boot)).count();
    Coverage { reported, members: record.members.len(), unseen }
}

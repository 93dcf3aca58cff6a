//! Where a configuration version is in force.

use rattanarch_config::Coverage;
use rattanarch_types::Configuration;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::version::View;

/// Members of the firm's services that have `version` or a later one in force.
pub(crate) fn coverage(
    view: &View,
    fleet: &dyn Fleet,
    configuration: &Configuration,
    version: Version,
) -> Coverage {
    let survey = fleet.survey(view, configuration);
    let reported = survey.versions.values().filter(|reported| **reported >= version).count();
    Coverage { reported, members: survey.members, unseen: survey.unseen }
}

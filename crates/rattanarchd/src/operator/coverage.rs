//! Where a configuration version is in force.

use rattanarch_config::Coverage;
use rattanarch_types::Configuration;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::Survey;
use crate::version::View;

/// Asks the members of the firm's services whether they have `version` or a later one in force.
pub(crate) fn ask_coverage(
    view: &View,
    fleet: &dyn Fleet,
    configuration: &Configuration,
    version: Version,
) -> Coverage {
    count(fleet.survey(view, configuration), version)
}

/// Members that reported `version` or a later one without being asked.
///
/// The answer to a command takes this: to ask takes seconds while members are cut off, and the
/// operator would not learn in time that the command is accepted.
pub(crate) fn known_coverage(
    view: &View,
    fleet: &dyn Fleet,
    configuration: &Configuration,
    version: Version,
) -> Coverage {
    count(Survey::from_reports(view, fleet.versions(), configuration), version)
}

fn count(survey: Survey, version: Version) -> Coverage {
    let reported = survey.versions.values().filter(|reported| **reported >= version).count();
    Coverage { reported, members: survey.members, unseen: survey.unseen }
}

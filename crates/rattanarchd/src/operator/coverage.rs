//! Counts the members at which a configuration version is in force.

use rattanarch_config::Coverage;
use rattanarch_types::Configuration;
use rattanarch_types::Version;

use crate::operator::Fleet;
use crate::operator::Survey;
use crate::version::View;

/// Queries the members of the firm's services, and counts those with `version` or a later one in force. Blocks for
/// seconds if members are unreachable.
pub(crate) fn query_coverage(
    view: &View,
    fleet: &dyn Fleet,
    configuration: &Configuration,
    version: Version,
) -> Coverage {
    count(fleet.survey(view, configuration), version)
}

/// Counts the members that have reported `version` or a later one, without querying them.
///
/// Used in responses to commands: querying takes seconds while members are unreachable, and the operator would not be
/// told in time that the command is accepted.
pub(crate) fn reported_coverage(
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

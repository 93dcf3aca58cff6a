//! Claims that keep names of services and data centres unique among all firms.

use std::time::Instant;

use rattanarch_config::Command;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_types::ConfigObject;
use rattanarch_types::FirmName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::operator::conditional_update::ConditionalUpdate;

/// Stored value that assigns a name to a firm: one small object for each name, created once and never changed.
///
/// Each firm has its own configuration, so a conditional update of one cannot prevent the same name in another. A claim
/// remains after the removal of the service or data centre, since the record of its keys may still exist.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct NameClaim {
    /// Firm that the name belongs to.
    firm: FirmName,
}

/// Firm that the service or data centre of `object` belongs to; `None` if the name is not claimed.
pub(crate) fn claiming_firm(
    platform: &Platform,
    object: &ConfigObject,
) -> Result<Option<FirmName>, PlatformError> {
    let stored = platform.get(&claim_path(object))?;
    let claim: Option<NameClaim> = serde_json::from_value(stored.value).ok();
    Ok(claim.map(|claim| claim.firm))
}

/// Claims the name that `command` creates for `firm`. Returns the firm that the name belongs to, which is another one
/// if the name was already claimed.
pub(crate) fn claim_name(
    platform: &Platform,
    command: &Command,
    firm: &str,
    deadline: Instant,
) -> Result<FirmName, PlatformError> {
    let creates =
        matches!(command, Command::CreateService { .. } | Command::CreateDataCentre { .. });
    if !creates {
        return Ok(firm.to_owned());
    }
    let path = claim_path(&command.object());
    let value = json!(NameClaim { firm: firm.to_owned() });
    let mut update = ConditionalUpdate::new(platform, deadline);
    match update.put(&path, 0, &value)? {
        PutOutcome::Accepted(_) => Ok(firm.to_owned()),
        PutOutcome::Conflict(object) => {
            let claim: Option<NameClaim> = serde_json::from_value(object.value).ok();
            Ok(claim.map_or_else(|| firm.to_owned(), |claim| claim.firm))
        }
    }
}

fn claim_path(object: &ConfigObject) -> String {
    match object {
        ConfigObject::DataCentre(name) => format!("names/data-centre/{name}"),
        ConfigObject::Service(service)
        | ConfigObject::Route { service, .. }
        | ConfigObject::Instance { service, .. }
        | ConfigObject::Boot { service, .. } => format!("names/service/{service}"),
    }
}

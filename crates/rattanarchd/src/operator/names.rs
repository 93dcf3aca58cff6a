//! Names that are unique over all firms.

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

use crate::operator::update::Update;

/// Says which firm a name belongs to; one small object a name, created once and never changed.
///
/// Two firms have two configurations, so no one conditional update could keep their names apart.
/// A name stays its firm's after a removal: its keys' records may outlast it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Claim {
    /// Firm that the name belongs to.
    firm: FirmName,
}

/// Firm that the service or data centre of `object` belongs to; `None` when nobody claimed it.
pub(crate) fn owner_of(
    platform: &Platform,
    object: &ConfigObject,
) -> Result<Option<FirmName>, PlatformError> {
    let found = platform.get(&claim_path(object))?;
    let claim: Option<Claim> = serde_json::from_value(found.value).ok();
    Ok(claim.map(|claim| claim.firm))
}

/// Claims the name that `command` creates for `firm`; the firm that has it.
pub(crate) fn claim(
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
    let value = json!(Claim { firm: firm.to_owned() });
    let mut update = Update::new(platform, deadline);
    match update.put(&path, 0, &value)? {
        PutOutcome::Accepted(_) => Ok(firm.to_owned()),
        PutOutcome::Conflict(object) => {
            let claim: Option<Claim> = serde_json::from_value(object.value).ok();
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

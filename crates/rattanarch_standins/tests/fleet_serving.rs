//! A fleet of real processes serves a keyed and an unkeyed service without an error.

use std::time::Duration;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::check_acknowledged;
use rattanarch_standins::check_at_most_once;
use rattanarch_standins::check_exclusive;

/// Maximum start time of a fleet; allows for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn keyed_and_unkeyed() {
    let plans = [ServicePlan::trade_desk(3), ServicePlan::pound_files(2)];
    let fleet = Fleet::start(&plans).unwrap();
    fleet.wait_serving(START_TIMEOUT).unwrap();
    let settings = LoadSettings::default().with_targets(fleet.targets()).with_rate(100.0);
    let settings = settings.with_duration(Duration::from_secs(3));
    let report = BackgroundLoad::start(settings).finish().unwrap();
    eprintln!("{report}");
    assert_eq!(report.wrong, 0, "{report}");
    assert_eq!(report.succeeded(), report.sent(), "{report}");
    let journals = fleet.journals().unwrap();
    check_exclusive(&journals).unwrap();
    check_at_most_once(&journals).unwrap();
    check_acknowledged(&journals, &report.acknowledged).unwrap();
}

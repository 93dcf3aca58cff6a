//! Moved slices, unavailable time and served requests while members and data centres leave and join.

use std::thread;
use std::time::Duration;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::check_acknowledged;
use rattanarch_standins::check_at_most_once;
use rattanarch_standins::check_exclusive;
use rattanarch_standins::moved_slices;
use rattanarch_types::Record;

use crate::BenchError;
use crate::measures::MeasuresOptions;
use crate::measures::deployment::Deployment;
use crate::measures::deployment::STATE_TIMEOUT;
use crate::measures::probe::Probe;
use crate::measures::table::Bound;
use crate::measures::table::Table;

/// Duration of the load before a change.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Duration of the load around one change.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Duration of the load while a data centre is taken out and brought back.
const DATA_CENTRE_LOAD_TIME: Duration = Duration::from_secs(24);
/// Slot whose daemon is killed.
const KILLED_SLOT: usize = 0;

/// Slot whose daemon gets the probes; it is neither killed nor in the data centre that is taken out.
const PROBED_SLOT: usize = 2;

/// Load and probes around one change.
struct Observation {
    load: BackgroundLoad,
    probe: Probe,
}

/// Deployment under load while its members change.
struct MembershipChanges<'a> {
    deployment: &'a Deployment,
    options: &'a MeasuresOptions,
    fleet: Fleet,
    /// Idempotency keys of the acknowledged writes.
    acknowledged: Vec<String>,
}

/// Prints the rows of one deployment.
pub(crate) fn measure(
    deployment: &Deployment,
    options: &MeasuresOptions,
    table: &mut Table,
) -> Result<(), BenchError> {
    let fleet = deployment.start()?;
    let mut changes = MembershipChanges { deployment, options, fleet, acknowledged: Vec::new() };
    changes.measure_calm(table)?;
    changes.measure_kill(table)?;
    changes.measure_join(table)?;
    changes.measure_data_centre(table)?;
    let journals = changes.fleet.journals()?;
    check_exclusive(&journals)?;
    check_at_most_once(&journals)?;
    check_acknowledged(&journals, &changes.acknowledged)?;
    let violations = format!("none in {} acknowledged writes", changes.acknowledged.len());
    table.add_text("two owners, run twice, lost", "rattanarch, all moves", &violations);
    Ok(())
}

impl MembershipChanges<'_> {
    fn observe(&self, duration: Duration) -> Observation {
        let settings = LoadSettings::default()
            .with_targets(self.fleet.targets())
            .with_firm(self.deployment.firm)
            .with_rate(self.options.rate)
            .with_duration(duration)
            .with_seed(self.options.seed + self.acknowledged.len() as u64);
        let load = BackgroundLoad::start(settings);
        let address = self.fleet.slots[PROBED_SLOT].caller_address();
        let probe = Probe::start(address, self.deployment.read.0);
        thread::sleep(LEAD_TIME);
        Observation { load, probe }
    }

    fn wait_stable(&self) -> Result<Record, BenchError> {
        self.deployment.wait_stable(&self.fleet)
    }

    fn measure_calm(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let observation = self.observe(LOAD_TIME);
        let report = self.report(table, "nothing changes", observation)?;
        for (service, figures) in &report.services {
            let variant = format!("rattanarch, {service}");
            table.add_figure("imbalance of answers", &variant, figures.imbalance, Bound::None);
        }
        Ok(())
    }

    fn measure_kill(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let before = self.wait_stable()?;
        let observation = self.observe(LOAD_TIME);
        let slot = &mut self.fleet.slots[KILLED_SLOT];
        slot.daemon().ok_or("a daemon is missing")?.kill()?;
        let instance = slot.instance().to_owned();
        self.fleet.wait_reassigned(self.deployment.keyed, &instance, STATE_TIMEOUT)?;
        let after = self.wait_stable()?;
        report_churn(table, "kill", &before, &after);
        self.report(table, "kill", observation)?;
        Ok(())
    }

    fn measure_join(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let before = self.wait_stable()?;
        let observation = self.observe(LOAD_TIME);
        self.fleet.restart_daemon(KILLED_SLOT)?;
        self.fleet.wait_balanced(self.deployment.keyed, STATE_TIMEOUT)?;
        let after = self.wait_stable()?;
        report_churn(table, "join", &before, &after);
        self.report(table, "join", observation)?;
        Ok(())
    }

    fn measure_data_centre(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let data_centre = self.deployment.data_centre;
        let before = self.wait_stable()?;
        let observation = self.observe(DATA_CENTRE_LOAD_TIME);
        self.set_standing("out")?;
        let what = format!("slices owned outside {data_centre}");
        self.fleet.wait_record(self.deployment.keyed, &what, STATE_TIMEOUT, |record| {
            let outside = |boot| record.members[boot].data_centre != data_centre;
            record.owners.iter().all(|owner| owner.as_ref().is_some_and(outside))
        })?;
        let out = self.wait_stable()?;
        report_churn(table, "data centre out", &before, &out);
        self.set_standing("in")?;
        self.fleet.wait_balanced(self.deployment.keyed, STATE_TIMEOUT)?;
        let back = self.wait_stable()?;
        report_churn(table, "data centre back", &out, &back);
        self.report(table, "data centre out and back", observation)?;
        Ok(())
    }

    /// Sets the standing of the data centre, as an operator's command does.
    fn set_standing(&self, standing: &str) -> Result<(), BenchError> {
        let platform = self.fleet.platform();
        let path = format!("configuration/{}", self.deployment.name);
        let object = platform.get(&path)?;
        let mut value = object.value;
        value["version"] = (object.version + 1).into();
        value["write_id"] = (object.version + 1).into();
        value["data_centres"][self.deployment.data_centre]["standing"] = standing.into();
        platform.put(&path, object.version, &value)?;
        Ok(())
    }

    /// Waits for the last response and prints the rows of one change.
    fn report(
        &mut self,
        table: &mut Table,
        change: &str,
        observation: Observation,
    ) -> Result<LoadReport, BenchError> {
        let report = observation.load.finish()?;
        let unserved = observation.probe.finish()?.as_secs_f64() * 1e3;
        let variant = format!("rattanarch, {change}");
        table.add_figure("longest unserved by probe, ms", &variant, unserved, Bound::Unserved);
        let longest = report.unavailable.longest_ms as f64;
        table.add_figure("longest unavailable by load, ms", &variant, longest, Bound::Unserved);
        let unavailable = &report.unavailable;
        let keys = format!(
            "{} of {} keys, sum {} ms",
            unavailable.affected, unavailable.keys, unavailable.total_ms
        );
        table.add_text("keys with unavailable time", &variant, &keys);
        let service = format!("{}/{}", report.succeeded(), report.sent());
        table.add_text("service, right/sent", &variant, &service);
        table.add_figure("wrong answers", &variant, report.wrong as f64, Bound::NoWrong);
        self.acknowledged.extend(report.acknowledged.iter().cloned());
        Ok(report)
    }
}

fn report_churn(table: &Table, change: &str, before: &Record, after: &Record) {
    let figure = format!("{} of {}", moved_slices(before, after), before.owners.len());
    table.add_text("churn, slices moved", &format!("rattanarch, {change}"), &figure);
}

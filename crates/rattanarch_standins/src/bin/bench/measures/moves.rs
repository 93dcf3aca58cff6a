//! Churn, unavailable time and service while members and data centres go and come.

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
use crate::measures::deployment::LIMIT;
use crate::measures::probe::Probe;
use crate::measures::table::Bound;
use crate::measures::table::Table;

/// Load before a change.
const LEAD: Duration = Duration::from_secs(2);
/// Length of the load over one change.
const SPAN: Duration = Duration::from_secs(9);
/// Length of the load over a data centre's leave and return.
const CENTRE_SPAN: Duration = Duration::from_secs(24);
/// Slot whose daemon is killed.
const VICTIM: usize = 0;

/// Slot whose daemon is asked for keys: neither killed nor in the data centre that leaves.
const ASKED: usize = 2;

/// Load and questions over one change.
struct Watch {
    load: BackgroundLoad,
    probe: Probe,
}

/// A deployment under load whose members change.
struct Moves<'a> {
    deployment: &'a Deployment,
    options: &'a MeasuresOptions,
    fleet: Fleet,
    acknowledged: Vec<String>,
}

/// Prints the rows of one deployment.
pub(crate) fn measure(
    deployment: &Deployment,
    options: &MeasuresOptions,
    table: &mut Table,
) -> Result<(), BenchError> {
    let fleet = deployment.start()?;
    let mut moves = Moves { deployment, options, fleet, acknowledged: Vec::new() };
    moves.calm(table)?;
    moves.kill(table)?;
    moves.join(table)?;
    moves.centre(table)?;
    let journals = moves.fleet.journals()?;
    check_exclusive(&journals)?;
    check_at_most_once(&journals)?;
    check_acknowledged(&journals, &moves.acknowledged)?;
    let judged = format!("none in {} acknowledged writes", moves.acknowledged.len());
    table.note("two owners, run twice, lost", "rattanarch, all moves", &judged);
    Ok(())
}

impl Moves<'_> {
    fn watch(&self, span: Duration) -> Watch {
        let settings = LoadSettings::default()
            .with_targets(self.fleet.targets())
            .with_firm(self.deployment.firm)
            .with_rate(self.options.rate)
            .with_duration(span)
            .with_seed(self.options.seed + self.acknowledged.len() as u64);
        let load = BackgroundLoad::start(settings);
        let address = self.fleet.slots[ASKED].caller_address();
        let probe = Probe::start(address, self.deployment.read.0);
        thread::sleep(LEAD);
        Watch { load, probe }
    }

    fn settled(&self) -> Result<Record, BenchError> {
        self.deployment.settled(&self.fleet)
    }

    fn calm(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let watch = self.watch(SPAN);
        let report = self.report(table, "nothing changes", watch)?;
        for (service, figures) in &report.services {
            let variant = format!("rattanarch, {service}");
            table.add("imbalance of answers", &variant, figures.imbalance, Bound::None);
        }
        Ok(())
    }

    fn kill(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let before = self.settled()?;
        let watch = self.watch(SPAN);
        let slot = &mut self.fleet.slots[VICTIM];
        slot.daemon().ok_or("a daemon is missing")?.kill()?;
        let instance = slot.instance().to_owned();
        self.fleet.wait_reassigned(self.deployment.keyed, &instance, LIMIT)?;
        let after = self.settled()?;
        churn(table, "kill", &before, &after);
        self.report(table, "kill", watch)?;
        Ok(())
    }

    fn join(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let before = self.settled()?;
        let watch = self.watch(SPAN);
        self.fleet.restart_daemon(VICTIM)?;
        self.fleet.wait_balanced(self.deployment.keyed, LIMIT)?;
        let after = self.settled()?;
        churn(table, "join", &before, &after);
        self.report(table, "join", watch)?;
        Ok(())
    }

    fn centre(&mut self, table: &mut Table) -> Result<(), BenchError> {
        let centre = self.deployment.centre;
        let before = self.settled()?;
        let watch = self.watch(CENTRE_SPAN);
        self.set_standing("out")?;
        let what = format!("slices owned outside {centre}");
        self.fleet.wait_record(self.deployment.keyed, &what, LIMIT, |record| {
            let outside = |boot| record.members[boot].data_centre != centre;
            record.owners.iter().all(|owner| owner.as_ref().is_some_and(outside))
        })?;
        let out = self.settled()?;
        churn(table, "data centre out", &before, &out);
        self.set_standing("in")?;
        self.fleet.wait_balanced(self.deployment.keyed, LIMIT)?;
        let back = self.settled()?;
        churn(table, "data centre back", &out, &back);
        self.report(table, "data centre out and back", watch)?;
        Ok(())
    }

    /// Has the data centre take work or not, as an operator's command does.
    fn set_standing(&self, standing: &str) -> Result<(), BenchError> {
        let platform = self.fleet.platform();
        let path = format!("configuration/{}", self.deployment.name);
        let object = platform.get(&path)?;
        let mut value = object.value;
        value["version"] = (object.version + 1).into();
        value["write_id"] = (object.version + 1).into();
        value["data_centres"][self.deployment.centre]["standing"] = standing.into();
        platform.put(&path, object.version, &value)?;
        Ok(())
    }

    /// Waits for the last answer and prints the rows of one change.
    fn report(
        &mut self,
        table: &mut Table,
        change: &str,
        watch: Watch,
    ) -> Result<LoadReport, BenchError> {
        let report = watch.load.finish()?;
        let unserved = watch.probe.finish()?.as_secs_f64() * 1e3;
        let variant = format!("rattanarch, {change}");
        table.add("longest unserved by probe, ms", &variant, unserved, Bound::Unserved);
        let gap = report.unavailable.longest_ms as f64;
        table.add("longest unavailable by load, ms", &variant, gap, Bound::Unserved);
        let gaps = &report.unavailable;
        let keys = format!("{} of {} keys, sum {} ms", gaps.affected, gaps.keys, gaps.total_ms);
        table.note("keys with unavailable time", &variant, &keys);
        let service = format!("{}/{}", report.succeeded(), report.sent());
        table.note("service, right/sent", &variant, &service);
        table.add("wrong answers", &variant, report.wrong as f64, Bound::NoWrong);
        self.acknowledged.extend(report.acknowledged.iter().cloned());
        Ok(report)
    }
}

fn churn(table: &Table, change: &str, before: &Record, after: &Record) {
    let figure = format!("{} of {}", moved_slices(before, after), before.owners.len());
    table.note("churn, slices moved", &format!("rattanarch, {change}"), &figure);
}

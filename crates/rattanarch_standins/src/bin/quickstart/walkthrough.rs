//! Steps of the quickstart.

use std::collections::BTreeSet;
use std::error::Error;
use std::io::Stdout;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::BackgroundLoad;
use rattanarch_standins::Firm;
use rattanarch_standins::Fleet;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::check_acknowledged;
use rattanarch_standins::check_at_most_once;
use rattanarch_standins::check_exclusive;

use crate::operator::Operator;
use crate::requests::download;
use crate::requests::read;
use crate::requests::write;

/// Maximum wait for the fleet to serve.
const START_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum duration of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Request rate of each firm's callers, in requests per second.
const RATE: f64 = 60.0;

/// Data centre that is taken out and brought back.
const DATA_CENTRE: &str = "nordkuehl";

/// Result of a step.
pub(crate) type StepResult = Result<(), Box<dyn Error>>;

/// Running fleet and the writes that it has acknowledged.
pub(crate) struct Walkthrough {
    output: Stdout,
    fleet: Fleet,
    operator: Operator,
    /// Idempotency keys of the acknowledged writes.
    acknowledged: Vec<String>,
}

impl Walkthrough {
    /// Starts all processes and waits until they serve.
    pub(crate) fn start(mut output: Stdout) -> Result<Self, Box<dyn Error>> {
        let plans = [
            ServicePlan::trade_desk(9),
            ServicePlan::pound_files(4),
            ServicePlan::reservas(8),
            ServicePlan::cartografia(3),
        ];
        writeln!(output, "Starting a small version of both deployments")?;
        for plan in &plans {
            let (firm, name, count) = (&plan.firm, &plan.name, plan.instances);
            let data_centres = plan.data_centres.join(", ");
            writeln!(
                output,
                "  {firm}: {name}, {count} upstreams with a daemon each, in {data_centres}"
            )?;
        }
        let start = Instant::now();
        let fleet = Fleet::start(&plans)?;
        fleet.wait_serving(START_TIMEOUT)?;
        for plan in plans.iter().filter(|plan| plan.is_keyed()) {
            fleet.wait_balanced(&plan.name, START_TIMEOUT)?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        writeln!(output, "  all {} daemons serve after {elapsed:.1} s", fleet.slots.len())?;
        writeln!(output, "  settings and logs: {}", fleet.directory().display())?;
        let operator = Operator::new(&fleet)?;
        Ok(Self { output, fleet, operator, acknowledged: Vec::new() })
    }

    /// Sends one request of each kind.
    pub(crate) fn send_requests(&mut self) -> StepResult {
        let Self { output, fleet, .. } = self;
        writeln!(output, "\nOne request of each kind, through a daemon that need not own the key")?;
        read(output, fleet, "tank stock", "/trade-desk/stock/tank-17")?;
        write(output, fleet, "lobster reservation", "/trade-desk/reservations/tank-17")?;
        download(output, fleet, "customs certificate", "/pound-files/certificates/certificate-8")?;
        read(output, fleet, "spot conditions", "/reservas/conditions/spot-5")?;
        write(output, fleet, "place with deposit", "/reservas/bookings/spot-5")?;
        download(output, fleet, "offline map", "/cartografia/maps/map-3")
    }

    /// Runs the load of both firms' callers.
    pub(crate) fn run_load(&mut self) -> StepResult {
        writeln!(self.output, "\nThree seconds of load from both firms' callers")?;
        let loads = self.start_loads(3);
        self.finish_loads(loads)
    }

    /// Queries the state as an operator.
    pub(crate) fn query(&mut self) -> StepResult {
        writeln!(self.output, "\nAn operator queries the state")?;
        self.run_statement("show services for co-op")?;
        self.run_statement("show key tank-17 in trade-desk")?;
        self.run_statement("show data centres for co-op")
    }

    /// Takes a data centre out under load and brings it back.
    pub(crate) fn drain(&mut self) -> StepResult {
        writeln!(self.output, "\nAn operator takes data centre {DATA_CENTRE} out, under load")?;
        let loads = self.start_loads(20);
        let wait_drained = format!(
            "wait until no upstreams where data-centre = {DATA_CENTRE} and slices > 0 within 2m"
        );
        self.run_statement(&format!("dry run take out data centre {DATA_CENTRE}"))?;
        let start = Instant::now();
        self.run_statement(&format!("take out data centre {DATA_CENTRE}"))?;
        self.run_statement("wait until in force within 19s")?;
        self.run_statement(&wait_drained)?;
        let elapsed = start.elapsed().as_secs_f64();
        writeln!(self.output, "  its last slice moved after {elapsed:.1} s")?;
        self.show_data_centre()?;
        writeln!(self.output, "\n… and brings it back")?;
        self.run_statement(&format!("bring back data centre {DATA_CENTRE}"))?;
        let refilled = format!("any upstreams where data-centre = {DATA_CENTRE} and slices > 0");
        self.run_statement(&format!("wait until {refilled} within 2m"))?;
        writeln!(self.output, "\nLoad report for this time")?;
        self.finish_loads(loads)?;
        self.show_data_centre()
    }

    /// Checks the upstreams' journals.
    pub(crate) fn check_journals(&mut self) -> StepResult {
        writeln!(self.output, "\nChecks of the upstreams' journals")?;
        let journals = self.fleet.journals()?;
        check_exclusive(&journals)?;
        writeln!(self.output, "  no key ran at two upstreams at the same time")?;
        check_at_most_once(&journals)?;
        check_acknowledged(&journals, &self.acknowledged)?;
        let count = self.acknowledged.len();
        writeln!(self.output, "  each of {count} acknowledged writes ran exactly once")?;
        Ok(())
    }

    /// Stops all processes.
    pub(crate) fn stop(&mut self) -> StepResult {
        writeln!(self.output, "\nStopping")?;
        let start = Instant::now();
        let statuses = self.fleet.stop_daemons(STOP_TIMEOUT)?;
        let elapsed = start.elapsed().as_secs_f64();
        let count = statuses.len();
        let succeeded = statuses.iter().filter(|status| status.success()).count();
        writeln!(
            self.output,
            "  {succeeded} of {count} daemons exited with status 0 within {elapsed:.1} s"
        )?;
        if succeeded < count {
            return Err("some daemons exited with an error".into());
        }
        Ok(())
    }

    fn run_statement(&mut self, statement: &str) -> StepResult {
        self.operator.run_statement(&mut self.output, statement)
    }

    fn show_data_centre(&mut self) -> StepResult {
        let columns = "columns instance, data-centre, standing, slices";
        self.run_statement(&format!("show upstreams where data-centre = {DATA_CENTRE} {columns}"))
    }

    fn start_loads(&self, seconds: u64) -> Vec<BackgroundLoad> {
        let settings = |firm, seed| {
            LoadSettings::default()
                .with_targets(self.fleet.targets())
                .with_firm(firm)
                .with_seed(seed)
                .with_rate(RATE)
                .with_duration(Duration::from_secs(seconds))
        };
        let firms = [(Firm::Coop, seconds), (Firm::AguasLibres, seconds + 1)];
        firms.map(|(firm, seed)| BackgroundLoad::start(settings(firm, seed))).into()
    }

    fn finish_loads(&mut self, loads: Vec<BackgroundLoad>) -> StepResult {
        let mut wrong = 0;
        for load in loads {
            let report: LoadReport = load.finish()?;
            for line in report.to_string().lines() {
                writeln!(self.output, "  {line}")?;
            }
            wrong += report.wrong;
            self.acknowledged.extend(report.acknowledged);
        }
        if wrong > 0 {
            return Err("some responses were wrong".into());
        }
        let distinct: BTreeSet<&String> = self.acknowledged.iter().collect();
        debug_assert_eq!(
            distinct.len(),
            self.acknowledged.len(),
            "different seeds give distinct keys"
        );
        Ok(())
    }
}

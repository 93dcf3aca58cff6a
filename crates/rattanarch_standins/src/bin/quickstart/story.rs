//! The chapters of the quickstart.

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

/// Longest wait for the fleet to serve.
const START_LIMIT: Duration = Duration::from_secs(90);

/// Longest time of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// Requests a second of each firm's callers.
const RATE: f64 = 60.0;

/// Data centre that is taken out and brought back.
const CENTRE: &str = "nordkuehl";

/// What a chapter ends with.
pub(crate) type Ending = Result<(), Box<dyn Error>>;

/// The fleet, and what happened to it so far.
pub(crate) struct Story {
    output: Stdout,
    fleet: Fleet,
    operator: Operator,
    /// Idempotency keys of the writes that were answered as done.
    acknowledged: Vec<String>,
}

impl Story {
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
            let centres = plan.data_centres.join(", ");
            writeln!(
                output,
                "  {firm}: {name}, {count} upstreams with a daemon each, in {centres}"
            )?;
        }
        let start = Instant::now();
        let fleet = Fleet::start(&plans)?;
        fleet.wait_serving(START_LIMIT)?;
        for plan in plans.iter().filter(|plan| plan.is_keyed()) {
            fleet.wait_balanced(&plan.name, START_LIMIT)?;
        }
        let took = start.elapsed().as_secs_f64();
        writeln!(output, "  each of {} daemons answers after {took:.1} s", fleet.slots.len())?;
        writeln!(output, "  settings and logs: {}", fleet.directory().display())?;
        let operator = Operator::new(&fleet)?;
        Ok(Self { output, fleet, operator, acknowledged: Vec::new() })
    }

    /// Sends one request of each kind.
    pub(crate) fn answer(&mut self) -> Ending {
        let Self { output, fleet, .. } = self;
        writeln!(output, "\nOne request of each kind, through a daemon that need not own the key")?;
        read(output, fleet, "tank stock", "/trade-desk/stock/tank-17")?;
        write(output, fleet, "lobster reservation", "/trade-desk/reservations/tank-17")?;
        download(output, fleet, "customs certificate", "/pound-files/certificates/certificate-8")?;
        read(output, fleet, "spot conditions", "/reservas/conditions/spot-5")?;
        write(output, fleet, "place with deposit", "/reservas/bookings/spot-5")?;
        download(output, fleet, "offline map", "/cartografia/maps/map-3")
    }

    /// Sends load of both firms' callers.
    pub(crate) fn load(&mut self) -> Ending {
        writeln!(self.output, "\nThree seconds of both firms' callers")?;
        let loads = self.start_loads(3);
        self.finish_loads(loads)
    }

    /// Asks what holds.
    pub(crate) fn ask(&mut self) -> Ending {
        writeln!(self.output, "\nAn operator asks what holds")?;
        self.say("show services for co-op")?;
        self.say("show key tank-17 in trade-desk")?;
        self.say("show data centres for co-op")
    }

    /// Takes a data centre out under load and brings it back.
    pub(crate) fn drain(&mut self) -> Ending {
        writeln!(self.output, "\nAn operator takes data centre {CENTRE} out, under load")?;
        let loads = self.start_loads(20);
        let gone = format!(
            "wait until no upstreams where data-centre = {CENTRE} and slices > 0 within 2m"
        );
        self.say(&format!("dry run take out data centre {CENTRE}"))?;
        let start = Instant::now();
        self.say(&format!("take out data centre {CENTRE}"))?;
        self.say("wait until in force within 19s")?;
        self.say(&gone)?;
        let took = start.elapsed().as_secs_f64();
        writeln!(self.output, "  its last slice has moved after {took:.1} s")?;
        self.show_centre()?;
        writeln!(self.output, "\n… and brings it back")?;
        self.say(&format!("bring back data centre {CENTRE}"))?;
        let back = format!("any upstreams where data-centre = {CENTRE} and slices > 0");
        self.say(&format!("wait until {back} within 2m"))?;
        writeln!(self.output, "\nThe callers meanwhile")?;
        self.finish_loads(loads)?;
        self.show_centre()
    }

    /// Judges by the upstreams' own records.
    pub(crate) fn judge(&mut self) -> Ending {
        writeln!(self.output, "\nWhat the upstreams' own records show")?;
        let journals = self.fleet.journals()?;
        check_exclusive(&journals)?;
        writeln!(self.output, "  no key ran at two upstreams at one time")?;
        check_at_most_once(&journals)?;
        check_acknowledged(&journals, &self.acknowledged)?;
        let count = self.acknowledged.len();
        writeln!(self.output, "  each of {count} acknowledged writes ran exactly once")?;
        Ok(())
    }

    /// Stops all processes.
    pub(crate) fn stop(&mut self) -> Ending {
        writeln!(self.output, "\nStopping")?;
        let start = Instant::now();
        let ended = self.fleet.stop_daemons(STOP_LIMIT)?;
        let took = start.elapsed().as_secs_f64();
        let count = ended.len();
        let well = ended.iter().filter(|status| status.success()).count();
        writeln!(
            self.output,
            "  {well} of {count} daemons ended with status 0 within {took:.1} s"
        )?;
        if well < count {
            return Err("some daemons did not end well".into());
        }
        Ok(())
    }

    fn say(&mut self, statement: &str) -> Ending {
        self.operator.say(&mut self.output, statement)
    }

    fn show_centre(&mut self) -> Ending {
        let columns = "columns instance, data-centre, standing, slices";
        self.say(&format!("show upstreams where data-centre = {CENTRE} {columns}"))
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

    fn finish_loads(&mut self, loads: Vec<BackgroundLoad>) -> Ending {
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
            return Err("some answers were wrong".into());
        }
        let distinct: BTreeSet<&String> = self.acknowledged.iter().collect();
        debug_assert_eq!(distinct.len(), self.acknowledged.len(), "seeds give distinct keys");
        Ok(())
    }
}

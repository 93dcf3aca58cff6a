//! Tail latency while an upstream is slow, beside callers that go straight to the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rattanarch_standins::Fleet;
use rattanarch_standins::Process;
use rattanarch_standins::Program;
use rattanarch_standins::UpstreamFaults;

use crate::BenchError;
use crate::measures::MeasuresOptions;
use crate::measures::caller::Choice;
use crate::measures::caller::Outcome;
use crate::measures::caller::Stream;
use crate::measures::caller::Way;
use crate::measures::caller::send;
use crate::measures::deployment::Deployment;
use crate::measures::table::Bound;
use crate::measures::table::Table;

/// Extra time of each request at the straggler, in milliseconds.
const DELAY_MS: u64 = 100;
/// Upper ends of the histogram's rows, in milliseconds.
const BINS_MS: [u64; 10] = [3, 5, 7, 10, 19, 50, 100, 150, 300, 60_000];
/// Requests of a histogram's row in percent that one mark stands for.
const MARK_PERCENT: f64 = 2.0;

/// Upstreams that callers reach without a daemon.
struct Direct {
    _processes: Vec<Process>,
    addresses: Vec<SocketAddr>,
}

/// One service, measured over several ways.
struct Scene<'a> {
    service: &'a str,
    count: usize,
    stream: Stream,
    fleet: &'a Fleet,
    direct: Direct,
}

/// A histogram with its title.
pub(crate) type Picture = (String, Histogram<u64>);

/// Prints the rows of one deployment.
pub(crate) fn measure(
    deployment: &Deployment,
    options: &MeasuresOptions,
    table: &mut Table,
    pictures: &mut Vec<Picture>,
) -> Result<(), BenchError> {
    let fleet = deployment.start()?;
    let stream = |(kind, share), rate| Stream {
        firm: deployment.firm,
        kind,
        share,
        rate,
        seed: options.seed,
        span: Duration::from_secs(options.seconds),
    };
    let unkeyed = Scene {
        service: deployment.unkeyed,
        count: deployment.files,
        stream: stream(deployment.download, options.downloads),
        fleet: &fleet,
        direct: Direct::start(deployment.files)?,
    };
    unkeyed.run(
        &[("random", Choice::Random), ("round robin", Choice::RoundRobin)],
        table,
        pictures,
    )?;
    let keyed = Scene {
        service: deployment.keyed,
        count: deployment.members,
        stream: stream(deployment.read, options.rate),
        fleet: &fleet,
        direct: Direct::start(deployment.members)?,
    };
    keyed.run(&[("by hash of the key", Choice::ByKey)], table, pictures)
}

impl Direct {
    fn start(count: usize) -> Result<Self, BenchError> {
        let mut direct = Self { _processes: Vec::new(), addresses: Vec::new() };
        for number in 0..count {
            let name = format!("direct-{number}");
            let program = Program::find("upstream-standin")?
                .with_argument("--ignore-fences")
                .with_argument("--instance")
                .with_argument(&name);
            let (process, address) = program.start_server(&name)?;
            direct._processes.push(process);
            direct.addresses.push(address);
        }
        Ok(direct)
    }
}

impl Scene<'_> {
    fn run(
        &self,
        baselines: &[(&str, Choice)],
        table: &mut Table,
        pictures: &mut Vec<Picture>,
    ) -> Result<(), BenchError> {
        for (state, delay) in [("calm", 0), ("one straggler", DELAY_MS)] {
            self.slow_down(delay)?;
            let outcome = send(&self.stream, &self.routed())?;
            self.report(&format!("rattanarch, {state}"), Bound::P99, outcome, table, pictures);
            for (name, choice) in baselines {
                let outcome = send(&self.stream, &self.straight(*choice))?;
                let variant = format!("direct, {name}, {state}");
                self.report(&variant, Bound::None, outcome, table, pictures);
            }
        }
        self.slow_down(0)
    }

    /// Slows the first upstream behind the daemons, and the first of those without.
    fn slow_down(&self, delay: u64) -> Result<(), BenchError> {
        let faults = UpstreamFaults { delay_ms: Some(delay), ..UpstreamFaults::default() };
        let mut slots = self.fleet.slots.iter();
        let slot = slots.find(|slot| slot.service() == self.service);
        slot.ok_or("a slot is missing")?.set_faults(faults)?;
        let url = format!("http://{}/test/faults", self.direct.addresses[0]);
        ureq::post(url).send_json(faults)?;
        Ok(())
    }

    fn routed(&self) -> Way {
        let slots = self.fleet.slots.iter().filter(|slot| slot.service() == self.service);
        let addresses = slots.map(|slot| slot.caller_address()).collect();
        Way { prefix: format!("/{}", self.service), addresses, choice: Choice::Random }
    }

    fn straight(&self, choice: Choice) -> Way {
        Way { prefix: String::new(), addresses: self.direct.addresses.clone(), choice }
    }

    fn report(
        &self,
        way: &str,
        bound: Bound,
        outcome: Outcome,
        table: &mut Table,
        pictures: &mut Vec<Picture>,
    ) {
        let variant = format!("{}: {way}", self.service);
        let at = |q: f64| outcome.latency.value_at_quantile(q) as f64 / 1e3;
        table.add("latency p50, ms", &variant, at(0.5), Bound::None);
        table.add("latency p99, ms", &variant, at(0.99), bound);
        table.add("latency max, ms", &variant, outcome.latency.max() as f64 / 1e3, Bound::None);
        let service = format!("{}/{}", outcome.latency.len(), outcome.sent);
        table.note("service, right/sent", &variant, &service);
        table.add("wrong answers", &variant, outcome.wrong as f64, Bound::NoWrong);
        let imbalance = format!("{:.2}", outcome.imbalance(self.count));
        table.note("imbalance of answers", &variant, &imbalance);
        pictures.push((format!("{}, {variant}", table.firm), outcome.latency));
    }
}

/// Prints the share of requests by latency.
pub(crate) fn draw((title, latency): &Picture) {
    println!("{title}");
    let mut low = 0;
    for high in BINS_MS {
        let count = latency.count_between(low, high * 1_000 - 1);
        let percent = 100.0 * count as f64 / latency.len().max(1) as f64;
        let marks = "#".repeat((percent / MARK_PERCENT).ceil() as usize);
        println!("  < {high:5} ms {count:6} {percent:5.1}% {marks}");
        low = high * 1_000;
    }
}

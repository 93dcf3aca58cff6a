//! Tail latency while one upstream is slow, compared with callers that use the upstreams directly.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rattanarch_standins::Fleet;
use rattanarch_standins::Process;
use rattanarch_standins::Program;
use rattanarch_standins::UpstreamFaults;

use crate::BenchError;
use crate::measures::MeasuresOptions;
use crate::measures::deployment::Deployment;
use crate::measures::request_stream::Choice;
use crate::measures::request_stream::RequestStream;
use crate::measures::request_stream::StreamResult;
use crate::measures::request_stream::Target;
use crate::measures::request_stream::send_stream;
use crate::measures::table::Bound;
use crate::measures::table::Table;

/// Added execution time of each request at the straggler, in milliseconds.
const DELAY_MS: u64 = 100;
/// Upper bounds of the histogram's rows, in milliseconds.
const BINS_MS: [u64; 10] = [3, 5, 7, 10, 19, 50, 100, 150, 300, 60_000];
/// Share of requests per mark in a row of the histogram, in percent.
const MARK_PERCENT: f64 = 2.0;

/// Upstreams that callers use without a daemon.
struct DirectUpstreams {
    _processes: Vec<Process>,
    addresses: Vec<SocketAddr>,
}

/// Measurement of one service with and without daemons.
struct ServiceMeasurement<'a> {
    service: &'a str,
    /// Number of upstreams.
    count: usize,
    stream: RequestStream,
    fleet: &'a Fleet,
    direct: DirectUpstreams,
}

/// Title and latencies, in microseconds, of a histogram.
pub(crate) type TitledHistogram = (String, Histogram<u64>);

/// Prints the rows of one deployment.
pub(crate) fn measure(
    deployment: &Deployment,
    options: &MeasuresOptions,
    table: &mut Table,
    histograms: &mut Vec<TitledHistogram>,
) -> Result<(), BenchError> {
    let fleet = deployment.start()?;
    let stream = |(kind, share), rate| RequestStream {
        firm: deployment.firm,
        kind,
        share,
        rate,
        seed: options.seed,
        duration: Duration::from_secs(options.seconds),
    };
    let unkeyed = ServiceMeasurement {
        service: deployment.unkeyed,
        count: deployment.file_upstreams,
        stream: stream(deployment.download, options.downloads),
        fleet: &fleet,
        direct: DirectUpstreams::start(deployment.file_upstreams)?,
    };
    unkeyed.run(
        &[("random", Choice::Random), ("round robin", Choice::RoundRobin)],
        table,
        histograms,
    )?;
    let keyed = ServiceMeasurement {
        service: deployment.keyed,
        count: deployment.members,
        stream: stream(deployment.read, options.rate),
        fleet: &fleet,
        direct: DirectUpstreams::start(deployment.members)?,
    };
    keyed.run(&[("by hash of the key", Choice::ByKey)], table, histograms)
}

impl DirectUpstreams {
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

impl ServiceMeasurement<'_> {
    fn run(
        &self,
        baselines: &[(&str, Choice)],
        table: &mut Table,
        histograms: &mut Vec<TitledHistogram>,
    ) -> Result<(), BenchError> {
        for (state, delay_ms) in [("calm", 0), ("one straggler", DELAY_MS)] {
            self.set_delay(delay_ms)?;
            let result = send_stream(&self.stream, &self.daemon_target())?;
            self.report(&format!("rattanarch, {state}"), Bound::P99, result, table, histograms);
            for (name, choice) in baselines {
                let result = send_stream(&self.stream, &self.direct_target(*choice))?;
                let variant = format!("direct, {name}, {state}");
                self.report(&variant, Bound::None, result, table, histograms);
            }
        }
        self.set_delay(0)
    }

    /// Sets the delay of the first upstream with a daemon and of the first one without, in milliseconds.
    fn set_delay(&self, delay_ms: u64) -> Result<(), BenchError> {
        let faults = UpstreamFaults { delay_ms: Some(delay_ms), ..UpstreamFaults::default() };
        let mut slots = self.fleet.slots.iter();
        let slot = slots.find(|slot| slot.service() == self.service);
        slot.ok_or("a slot is missing")?.set_faults(faults)?;
        let url = format!("http://{}/test/faults", self.direct.addresses[0]);
        ureq::post(url).send_json(faults)?;
        Ok(())
    }

    fn daemon_target(&self) -> Target {
        let slots = self.fleet.slots.iter().filter(|slot| slot.service() == self.service);
        let addresses = slots.map(|slot| slot.caller_address()).collect();
        Target { prefix: format!("/{}", self.service), addresses, choice: Choice::Random }
    }

    fn direct_target(&self, choice: Choice) -> Target {
        Target { prefix: String::new(), addresses: self.direct.addresses.clone(), choice }
    }

    fn report(
        &self,
        target: &str,
        bound: Bound,
        result: StreamResult,
        table: &mut Table,
        histograms: &mut Vec<TitledHistogram>,
    ) {
        let variant = format!("{}: {target}", self.service);
        let at = |q: f64| result.latency.value_at_quantile(q) as f64 / 1e3;
        table.add_figure("latency p50, ms", &variant, at(0.5), Bound::None);
        table.add_figure("latency p99, ms", &variant, at(0.99), bound);
        table.add_figure(
            "latency max, ms",
            &variant,
            result.latency.max() as f64 / 1e3,
            Bound::None,
        );
        let service = format!("{}/{}", result.latency.len(), result.sent);
        table.add_text("service, right/sent", &variant, &service);
        table.add_figure("wrong answers", &variant, result.wrong as f64, Bound::NoWrong);
        let imbalance = format!("{:.2}", result.imbalance(self.count));
        table.add_text("imbalance of answers", &variant, &imbalance);
        histograms.push((format!("{}, {variant}", table.firm), result.latency));
    }
}

/// Prints the number and share of requests by latency.
pub(crate) fn print_histogram((title, latency): &TitledHistogram) {
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

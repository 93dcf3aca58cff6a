//! The load generator finds wrong responses, retries only what it may, and repeats its requests for a
//! seed.

use std::time::Duration;

use rattanarch_standins::Arrivals;
use rattanarch_standins::Firm;
use rattanarch_standins::Journal;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::LoadReport;
use rattanarch_standins::LoadSettings;
use rattanarch_standins::Process;
use rattanarch_standins::Program;
use rattanarch_standins::Targets;
use rattanarch_standins::run_load;
use serde_json::Value;
use serde_json::json;

struct Upstream {
    base: String,
    targets: Targets,
    _process: Process,
}

impl Upstream {
    fn start() -> Self {
        let program = Program::find("upstream-standin").expect("the stand-in is built");
        // More slots than requests, so that none is shed when requests overlap on a busy machine.
        let program = program.with_argument("--ignore-fences");
        let program = program.with_argument("--slots").with_argument("1000");
        let (process, address) = program.start_server("upstream").expect("a free port");
        let mut targets = Targets::default();
        targets.add(&address.to_string()).expect("an address");
        Self { base: format!("http://{address}"), targets, _process: process }
    }

    fn set_faults(&self, faults: &Value) {
        ureq::post(format!("{}/test/faults", self.base))
            .send_json(faults)
            .expect("the upstream accepts the faults");
    }

    fn run_load(&self, firm: Firm) -> LoadReport {
        let settings = LoadSettings::default()
            .with_targets(self.targets.clone())
            .with_firm(firm)
            .with_rate(200.0)
            .with_duration(Duration::from_secs(1))
            .with_timeout(Duration::from_millis(500));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        runtime.expect("a runtime").block_on(run_load(settings))
    }

    /// Idempotency keys of the writes that the upstream started.
    fn written(&self) -> Vec<String> {
        let mut response =
            ureq::get(format!("{}/test/journal", self.base)).call().expect("a journal");
        let journal: Journal = response.body_mut().read_json().expect("a journal as JSON");
        let entries = journal.entries.into_iter();
        let keys = entries.filter_map(|entry| match entry.event {
            JournalEvent::Started { idempotency, .. } => idempotency,
            _ => None,
        });
        keys.collect()
    }
}

#[test]
fn same_seed() {
    for firm in [Firm::Coop, Firm::AguasLibres] {
        let plan = |seed| Arrivals::new(firm, 100.0, seed).take(500).collect::<Vec<_>>();
        assert_eq!(plan(7), plan(7));
        assert_ne!(plan(7), plan(8));
    }
}

#[test]
fn correct_responses() {
    let upstream = Upstream::start();
    for firm in [Firm::Coop, Firm::AguasLibres] {
        let report = upstream.run_load(firm);
        assert!(report.sent() > 150, "{report}");
        assert_eq!(report.succeeded(), report.sent(), "{report}");
        assert_eq!(report.wrong, 0, "{report}");
        assert_eq!(report.unavailable.affected, 0, "{report}");
    }
}

#[test]
fn crossed_responses() {
    let upstream = Upstream::start();
    upstream.set_faults(&json!({"cross_next": 3}));
    let report = upstream.run_load(Firm::Coop);
    // The first response has no earlier one to be crossed with.
    assert!((2..=3).contains(&report.wrong), "{report}");
}

#[test]
fn cut_responses() {
    let upstream = Upstream::start();
    upstream.set_faults(&json!({"cut_next": 5}));
    let report = upstream.run_load(Firm::AguasLibres);
    // There may also be refusals of a full upstream.
    let cut = report.answers.get("end of file before message length reached");
    assert_eq!(cut, Some(&5), "{report}");
    assert_eq!(report.wrong, 0, "{report}");
}

#[test]
fn single_writes() {
    let upstream = Upstream::start();
    upstream.set_faults(&json!({"cut_next": 60, "shed_next": 30}));
    let report = upstream.run_load(Firm::Coop);
    let mut written = upstream.written();
    let count = written.len();
    written.sort();
    written.dedup();
    assert_eq!(written.len(), count, "a write was sent again although it may have run");
    assert!(report.kinds["reservations"].failed > 0, "{report}");
    assert!(report.acknowledged.iter().all(|key| written.contains(key)));
}

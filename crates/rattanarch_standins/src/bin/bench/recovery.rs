//! Time that keys are unserved after an owner is killed.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::check_exclusive;

use crate::BenchError;

/// Maximum time until a key is served again after a loss; required by the users.
const MAX_UNSERVED: Duration = Duration::from_secs(2);
/// Number of requested keys.
const KEYS: usize = 200;
/// Delay between two rounds of requests.
const ROUND_DELAY: Duration = Duration::from_millis(2);
/// Time after which a key counts as not recovered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of `bench recovery`.
#[derive(Debug, Options)]
pub(crate) struct RecoveryOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Number of kills.
    #[options(help = "how often an owner is killed", meta = "N", default = "20")]
    kills: usize,
    /// Number of daemons.
    #[options(help = "daemons", meta = "N", default = "9")]
    daemons: usize,
}

/// Prints the distribution. Returns an error if a key was unserved for longer than allowed.
pub(crate) fn measure(options: &RecoveryOptions) -> Result<(), BenchError> {
    let mut fleet = Fleet::start(&[ServicePlan::trade_desk(options.daemons)])?;
    let mut gaps = Vec::new();
    for kill in 0..options.kills {
        fleet.wait_balanced("trade-desk", Duration::from_secs(60))?;
        fleet.wait_serving(Duration::from_secs(60))?;
        let killed = kill % options.daemons;
        gaps.extend(kill_owner(&mut fleet, killed)?);
        fleet.restart_daemon(killed)?;
    }
    check_exclusive(&fleet.journals()?)?;
    gaps.sort_unstable();
    report(options.kills, &gaps)
}

/// Kills the daemon of a slot and returns how long each of its keys was unserved.
fn kill_owner(fleet: &mut Fleet, killed: usize) -> Result<Vec<Duration>, BenchError> {
    let instance = fleet.slots[killed].instance().to_owned();
    let probed = (killed + 1) % fleet.slots.len();
    let address = fleet.slots[probed].caller_address();
    let agent = agent();
    let owner = |key: usize| serving_instance(&agent, address, &format!("recovery-{key}"));
    let owned = |key: &usize| owner(*key).as_deref() == Some(&*instance);
    let mut unserved: Vec<usize> = (0..KEYS).filter(owned).collect();
    fleet.slots[killed].daemon().ok_or("a daemon is missing")?.kill()?;
    let start = Instant::now();
    let mut gaps = Vec::new();
    while !unserved.is_empty() {
        if start.elapsed() > RECOVERY_TIMEOUT {
            return Err(format!("{} keys of {instance} did not recover", unserved.len()).into());
        }
        unserved.retain(|key| {
            let served = owner(*key).is_some();
            if served {
                gaps.push(start.elapsed());
            }
            !served
        });
        std::thread::sleep(ROUND_DELAY);
    }
    Ok(gaps)
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(250)))
        .http_status_as_error(false)
        .build();
    config.into()
}

/// Instance that serves a key, if any.
fn serving_instance(agent: &ureq::Agent, address: SocketAddr, key: &str) -> Option<String> {
    let url = format!("http://{address}/trade-desk/stock/{key}");
    let response = agent.get(url).header("rattanarch-key", key).call();
    let mut response = response.ok().filter(|response| response.status() == 200)?;
    let body: serde_json::Value = response.body_mut().read_json().ok()?;
    body["instance"].as_str().map(str::to_owned)
}

fn report(kills: usize, gaps: &[Duration]) -> Result<(), BenchError> {
    let at = |share: f64| {
        let index = ((gaps.len() - 1) as f64 * share).round() as usize;
        gaps[index].as_millis()
    };
    if gaps.is_empty() {
        return Err("no key was owned by a daemon that was killed".into());
    }
    println!(
        "{kills} kills, {} keys: unserved for {} ms at least, {} ms at the median, {} ms at 99 in \
         100, {} ms at most",
        gaps.len(),
        at(0.0),
        at(0.5),
        at(0.99),
        at(1.0),
    );
    match gaps.last() {
        Some(longest) if *longest > MAX_UNSERVED => {
            Err(format!("a key was unserved for {longest:?}; allowed: {MAX_UNSERVED:?}").into())
        }
        _ => Ok(()),
    }
}

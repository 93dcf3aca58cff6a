//! Sends the load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::load::Arrivals;
use crate::load::LoadReport;
use crate::load::LoadSettings;
use crate::load::PlannedRequest;
use crate::load::attempt::Reply;
use crate::load::attempt::attempt;
use crate::load::connections::Connections;
use crate::load::ledger::Ledger;

/// Most requests under way at a time: each holds a connection, and a process has some thousand
/// descriptors.
const UNDER_WAY_LIMIT: usize = 800;

/// Pause before a retry whose refusal does not say when to come back; doubled for each further.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a retry.
const RETRY_PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// What the requests of a run share.
#[derive(Debug)]
struct Sender {
    settings: LoadSettings,
    connections: Connections,
    ledger: Mutex<Ledger>,
    start: Instant,
}

/// Sends the load and waits for the last answer.
pub async fn run_load(settings: LoadSettings) -> LoadReport {
    let sender = Arc::new(Sender {
        connections: Connections::default(),
        ledger: Mutex::default(),
        start: Instant::now(),
        settings,
    });
    let overflowed = send_all(&sender).await;
    let now = sender.start.elapsed();
    let ledger = std::mem::take(&mut *sender.ledger());
    let mut report = ledger.finish(now, &sender.settings.targets);
    report.overflowed = overflowed;
    report
}

async fn send_all(sender: &Arc<Sender>) -> u64 {
    let settings = &sender.settings;
    let room = Arc::new(Semaphore::new(UNDER_WAY_LIMIT));
    let mut requests = JoinSet::new();
    let mut overflowed = 0;
    for planned in Arrivals::new(settings.firm, settings.rate, settings.seed) {
        if planned.due > settings.duration {
            break;
        }
        sleep_until(sender.start + planned.due).await;
        while requests.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            overflowed += 1;
            continue;
        };
        let sender = Arc::clone(sender);
        requests.spawn(async move {
            sender.send(&planned).await;
            drop(permit);
        });
    }
    requests.join_all().await;
    overflowed
}

impl Sender {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request until it is answered, or may not be sent again.
    async fn send(&self, planned: &PlannedRequest) {
        let targets = self.settings.targets.of(planned.kind.service());
        let mut attempts = 0;
        loop {
            let Some(target) = choose(targets, planned.draw, attempts) else { return };
            let start = self.start.elapsed();
            let reply = attempt(&self.connections, target, planned, self.settings.timeout).await;
            attempts += 1;
            self.ledger().attempt(planned, &reply, start);
            let may_retry = reply.verdict().may_retry(!planned.kind.is_write());
            if !may_retry || attempts >= self.settings.attempts {
                self.ledger().end(planned, &reply, attempts, self.start.elapsed());
                return;
            }
            sleep(pause(&reply, attempts)).await;
        }
    }
}

/// Another target for each attempt.
fn choose(targets: &[SocketAddr], draw: u64, attempts: u32) -> Option<SocketAddr> {
    let count = targets.len() as u64;
    let index = draw.checked_rem(count)? + u64::from(attempts);
    targets.get((index % count) as usize).copied()
}

/// Pause before the next attempt: as long as the answer says, and longer after each attempt.
fn pause(reply: &Reply, attempts: u32) -> Duration {
    let said = match reply {
        Reply::Refused(refused) => refused.retry_after,
        _ => None,
    };
    let backoff = RETRY_PAUSE * 2_u32.saturating_pow(attempts.saturating_sub(1));
    said.unwrap_or_default().max(backoff).min(RETRY_PAUSE_LIMIT)
}

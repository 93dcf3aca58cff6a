//! Sends the requests of a load run.

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
use crate::load::attempt::AttemptOutcome;
use crate::load::attempt::send_attempt;
use crate::load::connection_pool::ConnectionPool;
use crate::load::report_builder::ReportBuilder;

/// Maximum number of requests in flight. Each holds a connection, and a process has about a thousand
/// file descriptors.
const MAX_IN_FLIGHT: usize = 800;

/// Minimum delay before the first retry; doubles with each further retry.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay before a retry.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// State shared by all requests of a run.
#[derive(Debug)]
struct LoadSender {
    settings: LoadSettings,
    pool: ConnectionPool,
    report_builder: Mutex<ReportBuilder>,
    start: Instant,
}

/// Sends the load, waits until every request has ended, and returns the report.
pub async fn run_load(settings: LoadSettings) -> LoadReport {
    let sender = Arc::new(LoadSender {
        pool: ConnectionPool::default(),
        report_builder: Mutex::default(),
        start: Instant::now(),
        settings,
    });
    let overflowed = send_all(&sender).await;
    let now = sender.start.elapsed();
    let report_builder = std::mem::take(&mut *sender.report_builder());
    let mut report = report_builder.finish(now, &sender.settings.targets);
    report.overflowed = overflowed;
    report
}

/// Sends all requests; returns the number of those that exceeded [`MAX_IN_FLIGHT`].
async fn send_all(sender: &Arc<LoadSender>) -> u64 {
    let settings = &sender.settings;
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut requests = JoinSet::new();
    let mut overflowed = 0;
    for planned in Arrivals::new(settings.firm, settings.rate, settings.seed) {
        if planned.due > settings.duration {
            break;
        }
        sleep_until(sender.start + planned.due).await;
        while requests.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
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

impl LoadSender {
    fn report_builder(&self) -> MutexGuard<'_, ReportBuilder> {
        self.report_builder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request and retries it until it succeeds, must not be retried or has no attempts left.
    async fn send(&self, planned: &PlannedRequest) {
        let targets = self.settings.targets.for_service(planned.kind.service());
        let mut attempts = 0;
        loop {
            let Some(target) = choose_target(targets, planned.draw, attempts) else { return };
            let start = self.start.elapsed();
            let outcome = send_attempt(&self.pool, target, planned, self.settings.timeout).await;
            attempts += 1;
            self.report_builder().record_attempt(planned, &outcome, start);
            let may_retry = outcome.verdict().may_retry(!planned.kind.is_write());
            if !may_retry || attempts >= self.settings.attempts {
                self.report_builder().record_end(planned, &outcome, attempts, self.start.elapsed());
                return;
            }
            sleep(retry_delay(&outcome, attempts)).await;
        }
    }
}

/// Selects a different target for each attempt.
fn choose_target(targets: &[SocketAddr], draw: u64, attempts: u32) -> Option<SocketAddr> {
    let count = targets.len() as u64;
    let index = draw.checked_rem(count)? + u64::from(attempts);
    targets.get((index % count) as usize).copied()
}

/// Delay before the next attempt: exponential backoff, or the delay that the refusal requests if that
/// is longer; at most [`MAX_RETRY_BACKOFF`].
fn retry_delay(outcome: &AttemptOutcome, attempts: u32) -> Duration {
    let requested = match outcome {
        AttemptOutcome::Refused(refused) => refused.retry_after,
        _ => None,
    };
    let backoff = RETRY_BACKOFF * 2_u32.saturating_pow(attempts.saturating_sub(1));
    requested.unwrap_or_default().max(backoff).min(MAX_RETRY_BACKOFF)
}

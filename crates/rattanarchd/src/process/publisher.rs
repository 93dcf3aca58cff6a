//! Publishes what the control loop knows to the rest of the process.

use std::sync::Arc;
use std::time::Duration;

use rattanarch_ownership::Serving;
use rattanarch_types::Configuration;
use rattanarch_types::Moment;
use rattanarch_wire::Knowledge;
use tokio::sync::watch;

use crate::connection::PullSource;
use crate::version::Grant;
use crate::version::View;
use crate::version::Views;

/// Longest time between two publications: the age that operators see is at most this much off.
const REFRESH: Duration = Duration::from_millis(500);

/// What is published.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// Ownership.
    pub(crate) serving: Serving,
    /// Newest configuration.
    pub(crate) configuration: Arc<Configuration>,
    /// Grant in force.
    pub(crate) grant: Option<Grant>,
    /// When the knowledge was last current.
    pub(crate) confirmed_at: Option<Moment>,
    /// What packets tell.
    pub(crate) knowledge: Knowledge,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
}

/// Publishes snapshots, each change once.
#[derive(Debug)]
pub(crate) struct Publisher {
    views: Views,
    pull_source: watch::Sender<PullSource>,
    last: Option<(Moment, Snapshot)>,
}

impl Publisher {
    /// A publisher to the request path and to bulk exchanges.
    pub(crate) fn new(views: Views, pull_source: watch::Sender<PullSource>) -> Self {
        Self { views, pull_source, last: None }
    }

    /// Publishes `snapshot` if it differs from the last or the last is old.
    pub(crate) fn publish(&mut self, now: Moment, snapshot: &Snapshot) {
        if let Some((at, last)) = &self.last
            && now.saturating_sub(*at) < REFRESH
            && is_same(last, snapshot)
        {
            return;
        }
        self.last = Some((now, snapshot.clone()));
        self.send(snapshot.clone());
    }

    fn send(&self, snapshot: Snapshot) {
        let Snapshot { serving, configuration, grant, confirmed_at, knowledge, stopping } =
            snapshot;
        self.pull_source.send_replace(PullSource {
            me: serving.me,
            record: Arc::clone(&serving.record),
            configuration: Arc::clone(&configuration),
            knowledge,
        });
        let service = configuration.services.get(&serving.record.service);
        let service = service.cloned().map(Arc::new);
        self.views.publish(View { serving, configuration, service, grant, confirmed_at, stopping });
    }
}

/// Whether the two differ in nothing but their freshness.
fn is_same(one: &Snapshot, other: &Snapshot) -> bool {
    let (a, b) = (&one.serving, &other.serving);
    let serving = a.me == b.me
        && a.lease_end == b.lease_end
        && Arc::ptr_eq(&a.record, &b.record)
        && a.held == b.held
        && a.held_hot == b.held_hot;
    serving
        && Arc::ptr_eq(&one.configuration, &other.configuration)
        && one.grant == other.grant
        && one.stopping == other.stopping
}

//! Publication of the control loop's state to the other threads.

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

/// Maximum time between two publications, and thus the maximum error of the age that operators are shown.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// State of the control loop that is published.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// Applied record, lease, and slices that are being released.
    pub(crate) serving: Serving,
    /// Newest known configuration.
    pub(crate) configuration: Arc<Configuration>,
    /// Last grant that the upstream has accepted.
    pub(crate) grant: Option<Grant>,
    /// When the record and the configuration were last confirmed to be current.
    pub(crate) confirmed_at: Option<Moment>,
    /// Versions and age of the state, as sent to peers.
    pub(crate) knowledge: Knowledge,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
}

/// Publishes snapshots when they change, and at regular intervals.
#[derive(Debug)]
pub(crate) struct Publisher {
    views: Views,
    pull_source: watch::Sender<PullSource>,
    last: Option<(Moment, Snapshot)>,
}

impl Publisher {
    /// Creates a publisher for the code that handles requests (`views`) and the replies to pulls (`pull_source`).
    pub(crate) fn new(views: Views, pull_source: watch::Sender<PullSource>) -> Self {
        Self { views, pull_source, last: None }
    }

    /// Publishes `snapshot` if it differs from the last one, or if [`REFRESH_INTERVAL`] has passed since then.
    pub(crate) fn publish(&mut self, now: Moment, snapshot: &Snapshot) {
        if let Some((at, last)) = &self.last
            && now.saturating_sub(*at) < REFRESH_INTERVAL
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

/// Whether two snapshots differ at most in age and in the versions sent to peers.
fn is_same(one: &Snapshot, other: &Snapshot) -> bool {
    let (a, b) = (&one.serving, &other.serving);
    let serving = a.me == b.me
        && a.lease_end == b.lease_end
        && Arc::ptr_eq(&a.record, &b.record)
        && a.releasing == b.releasing
        && a.releasing_hot == b.releasing_hot;
    serving
        && Arc::ptr_eq(&one.configuration, &other.configuration)
        && one.grant == other.grant
        && one.stopping == other.stopping
}

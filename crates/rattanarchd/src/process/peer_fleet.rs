//! Information on other members for the operators' server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use rattanarch_platform::Platform;
use rattanarch_platform::record_path;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Record;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;
use rattanarch_wire::Codec;
use rattanarch_wire::Pull;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use crate::connection::pull;
use crate::operator::Fleet;
use crate::operator::MemberLoad;
use crate::operator::Survey;
use crate::process::Counters;
use crate::process::Input;
use crate::process::ReportedVersions;
use crate::process::random;
use crate::request::RequestHandler;
use crate::version::View;
use crate::version::Views;

/// Maximum time of a survey: a third of the time that the operators' command-line client waits for an answer.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of members queried at a time; each pull takes one connection and about 10 KB.
const CONCURRENT_PULLS: usize = 32;

/// The members of a firm's services, which are queried by pulls.
#[derive(Debug)]
pub(crate) struct PeerFleet {
    /// Configuration versions that members of this service reported.
    pub(crate) reported_versions: ReportedVersions,
    /// The daemon's own view.
    pub(crate) views: Views,
    /// Request handler of this daemon.
    pub(crate) requests: Arc<RequestHandler>,
    /// Maximum number of concurrent requests at the upstream.
    pub(crate) slots: u16,
    /// Counters of the process.
    pub(crate) counters: Arc<Counters>,
    /// Authenticates the frames of peers.
    pub(crate) codec: Codec,
    /// Source of the records of other services.
    pub(crate) platform: Platform,
    /// Runtime that runs the pulls.
    pub(crate) runtime: Handle,
    /// Sender of inputs to the control loop.
    pub(crate) inputs: UnboundedSender<Input>,
}

impl Fleet for PeerFleet {
    fn versions(&self) -> BTreeMap<BootId, Version> {
        let view = self.views.current();
        let mut versions = self.reported_versions.versions();
        versions.insert(view.serving.me, view.configuration.version);
        versions
    }

    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        let mut survey = Survey::default();
        let mut addresses = Vec::new();
        for service in configuration.services.keys() {
            match self.record(view, service) {
                Some(record) => addresses.extend(peer_addresses(&record)),
                None => survey.unseen.push(service.clone()),
            }
        }
        survey.members = addresses.len();
        let versions = Mutex::new(BTreeMap::new());
        let queries = self.query_members(view.serving.me, addresses, &versions);
        // Members that have not answered within the timeout count as not reached.
        let _ = self.runtime.block_on(async { timeout(SURVEY_TIMEOUT, queries).await });
        survey.versions = versions.into_inner().unwrap_or_else(PoisonError::into_inner);
        survey
    }

    fn loads(&self) -> BTreeMap<BootId, MemberLoad> {
        let view = self.views.current();
        let running = u32::try_from(self.requests.running().count()).unwrap_or(u32::MAX);
        let load = MemberLoad { running, limit: u32::from(self.slots) };
        BTreeMap::from([(view.serving.me, load)])
    }

    fn error_counts(&self) -> BTreeMap<String, u64> {
        self.requests.error_counts()
    }

    fn counters(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.read().into_iter();
        counters.map(|(name, value)| (name.to_owned(), value)).collect()
    }

    fn offer_configuration(&self, configuration: &Configuration) {
        if configuration.firm == self.views.current().configuration.firm {
            let configuration = configuration.clone();
            // Fails only when the process ends, since the control loop runs until then.
            let _ = self.inputs.send(Input::Configuration { configuration, read: None });
        }
    }
}

impl PeerFleet {
    /// Record of a service; `None` if the platform does not return a valid one.
    fn record(&self, view: &View, service: &ServiceName) -> Option<Arc<Record>> {
        if *service == view.serving.record.service {
            return Some(Arc::clone(&view.serving.record));
        }
        let object = self.platform.get(&record_path(service)).ok()?;
        if object.version == 0 {
            return Some(Arc::default());
        }
        serde_json::from_value(object.value).ok().map(Arc::new)
    }

    /// Queries the configuration version of each member and stores it in `versions`.
    async fn query_members(
        &self,
        from: BootId,
        addresses: Vec<(BootId, SocketAddr)>,
        versions: &Mutex<BTreeMap<BootId, Version>>,
    ) {
        let queries =
            addresses.into_iter().map(|(to, address)| self.query_member(from, to, address));
        let replies = stream::iter(queries).buffer_unordered(CONCURRENT_PULLS);
        let store = |reply: Option<(BootId, Version)>| {
            versions.lock().unwrap_or_else(PoisonError::into_inner).extend(reply);
            std::future::ready(())
        };
        replies.for_each(store).await;
    }

    async fn query_member(
        &self,
        from: BootId,
        to: BootId,
        address: SocketAddr,
    ) -> Option<(BootId, Version)> {
        // No member has newer state than the maximum versions, so the reply contains only the member's versions.
        let (record, configuration) = (Version::MAX, Version::MAX);
        let request = Pull { from, to, nonce: random(), record, configuration };
        let reply = pull(&self.codec, &self.counters, address, &request).await.ok()?;
        Some((to, reply.knowledge.configuration))
    }
}

fn peer_addresses(record: &Record) -> impl Iterator<Item = (BootId, SocketAddr)> + '_ {
    record.members.iter().map(|(boot, member)| (*boot, member.peer))
}

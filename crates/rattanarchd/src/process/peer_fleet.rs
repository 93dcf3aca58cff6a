//! What the operators' side learns of other members.

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
use crate::process::Reports;
use crate::process::random;
use crate::request::RequestHandler;
use crate::version::View;
use crate::version::Views;

/// Longest time of a survey: a third of what the operators' program waits for an answer.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(3);
/// Members asked at one time: each exchange takes one connection and some 10 KB.
const CONCURRENT_PULLS: usize = 32;

/// The members of a firm's services, asked over bulk exchanges.
#[derive(Debug)]
pub(crate) struct PeerFleet {
    /// Reports of neighbours.
    pub(crate) reports: Reports,
    /// The daemon's own view.
    pub(crate) views: Views,
    /// Requests of this daemon.
    pub(crate) requests: Arc<RequestHandler>,
    /// Concurrent requests that the upstream bears.
    pub(crate) slots: u16,
    /// Counters of the process.
    pub(crate) counters: Arc<Counters>,
    /// Proves origins of frames.
    pub(crate) codec: Codec,
    /// For records of other services.
    pub(crate) platform: Platform,
    /// Runs the exchanges.
    pub(crate) runtime: Handle,
    /// The control loop.
    pub(crate) inputs: UnboundedSender<Input>,
}

impl Fleet for PeerFleet {
    fn versions(&self) -> BTreeMap<BootId, Version> {
        let view = self.views.current();
        let mut versions = self.reports.versions();
        versions.insert(view.serving.me, view.configuration.version);
        versions
    }

    fn survey(&self, view: &View, configuration: &Configuration) -> Survey {
        let mut survey = Survey::default();
        let mut addresses = Vec::new();
        for service in configuration.services.keys() {
            match self.record(view, service) {
                Some(record) => addresses.extend(peers(&record)),
                None => survey.unseen.push(service.clone()),
            }
        }
        survey.members = addresses.len();
        let versions = Mutex::new(BTreeMap::new());
        let asking = self.ask(view.serving.me, addresses, &versions);
        // Those that have not answered by then count as not reached.
        let _ = self.runtime.block_on(async { timeout(SURVEY_TIMEOUT, asking).await });
        survey.versions = versions.into_inner().unwrap_or_else(PoisonError::into_inner);
        survey
    }

    fn loads(&self) -> BTreeMap<BootId, MemberLoad> {
        let view = self.views.current();
        let running = u32::try_from(self.requests.running().count()).unwrap_or(u32::MAX);
        let load = MemberLoad { running, limit: u32::from(self.slots) };
        BTreeMap::from([(view.serving.me, load)])
    }

    fn refusals(&self) -> BTreeMap<String, u64> {
        self.requests.refusals()
    }

    fn counters(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.read().into_iter();
        counters.map(|(name, value)| (name.to_owned(), value)).collect()
    }

    fn offer_configuration(&self, configuration: &Configuration) {
        if configuration.firm == self.views.current().configuration.firm {
            let configuration = configuration.clone();
            // The loop ends only with the process.
            let _ = self.inputs.send(Input::Configuration { configuration, read: None });
        }
    }
}

impl PeerFleet {
    /// Record of a service; `None` when the platform does not answer.
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

    /// Asks each member and notes its answer in `versions`.
    async fn ask(
        &self,
        from: BootId,
        addresses: Vec<(BootId, SocketAddr)>,
        versions: &Mutex<BTreeMap<BootId, Version>>,
    ) {
        let questions = addresses.into_iter().map(|(to, address)| self.ask_one(from, to, address));
        let answers = stream::iter(questions).buffer_unordered(CONCURRENT_PULLS);
        let note = |answer: Option<(BootId, Version)>| {
            versions.lock().unwrap_or_else(PoisonError::into_inner).extend(answer);
            std::future::ready(())
        };
        answers.for_each(note).await;
    }

    async fn ask_one(
        &self,
        from: BootId,
        to: BootId,
        address: SocketAddr,
    ) -> Option<(BootId, Version)> {
        // Versions above any ask for nothing but what the member knows.
        let (record, configuration) = (Version::MAX, Version::MAX);
        let request = Pull { from, to, nonce: random(), record, configuration };
        let answer = pull(&self.codec, &self.counters, address, &request).await.ok()?;
        Some((to, answer.knowledge.configuration))
    }
}

fn peers(record: &Record) -> impl Iterator<Item = (BootId, SocketAddr)> + '_ {
    record.members.iter().map(|(boot, member)| (*boot, member.peer))
}

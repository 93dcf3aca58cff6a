//! The control loop: ownership, membership and configuration of one daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_config::Guidance;
use rattanarch_config::Heard;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Sharing;
use rattanarch_types::WriteId;
use rattanarch_wire::Codec;
use rattanarch_wire::Knowledge;
use rattanarch_wire::Packet;
use rattanarch_wire::Pull;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;

use crate::connection::Outbox;
use crate::connection::PeerSocket;
use crate::connection::pull;
use crate::process::Clock;
use crate::process::Counters;
use crate::process::Granter;
use crate::process::Input;
use crate::process::Metrics;
use crate::process::PlatformWorker;
use crate::process::Publisher;
use crate::process::Quiescence;
use crate::process::Reports;
use crate::process::Snapshot;
use crate::process::UpstreamHealth;
use crate::request::RequestPath;
use crate::version::Freshness;
use crate::version::Grant;
use crate::version::barred_members;
use crate::version::gaining_members;
use crate::version::is_watcher;
use crate::version::lost_members;

/// Ticks of the node in one heartbeat.
const TICKS: u32 = 10;
/// Time between two flushes of the metrics, and between two readings of the load.
const FLUSH: Duration = Duration::from_secs(1);
/// Age of the knowledge at which a member watches the platform itself: above what a watcher's wait
/// of 5 s and three hops of gossip explain.
const STALE: Duration = Duration::from_secs(7);
/// Addresses remembered of senders that the record does not name.
const MAX_SOURCES: usize = 256;

/// How the control loop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlEnd {
    /// Everything was released and the member has left.
    Left,
    /// A later process in this slot has taken the upstream.
    Superseded,
}

/// What the control loop is made of.
#[derive(Debug)]
pub(crate) struct ControlParts {
    /// Entry of this member in the record; its term and witnesses are the node's to fill in.
    pub(crate) member: Member,
    /// Durations of the lease protocol.
    pub(crate) timing: Timing,
    /// Proves origins of frames.
    pub(crate) codec: Codec,
    /// Datagrams.
    pub(crate) socket: PeerSocket,
    /// Calls to the platform.
    pub(crate) worker: PlatformWorker,
    /// Grants for the upstream.
    pub(crate) granter: Granter,
    /// Running requests.
    pub(crate) quiescence: Quiescence,
    /// Tells the rest of the process.
    pub(crate) publisher: Publisher,
    /// Requests of this daemon.
    pub(crate) requests: Arc<RequestPath>,
    /// What members reported.
    pub(crate) reports: Reports,
    /// Sends metrics.
    pub(crate) metrics: Metrics,
    /// Counters.
    pub(crate) counters: Arc<Counters>,
    /// Where other threads tell the loop.
    pub(crate) inputs: UnboundedReceiver<Input>,
    /// For tasks that the loop starts.
    pub(crate) sender: UnboundedSender<Input>,
    /// Service of this member.
    pub(crate) service: String,
    /// Whether the upstream checks fences.
    pub(crate) checks_fence: bool,
}

/// The control loop.
#[derive(Debug)]
pub(crate) struct Control {
    parts: ControlParts,
    clock: Clock,
    node: Node,
    guidance: Guidance,
    freshness: Freshness,
    grant: Option<Grant>,
    /// Fence that the upstream is asked to exceed, so that it refuses an older life.
    fencing: Option<Fence>,
    health: UpstreamHealth,
    outbox: Outbox,
    /// Where members that the record does not name yet were heard from.
    sources: BTreeMap<BootId, SocketAddr>,
    /// Whether a bulk exchange runs; one at a time.
    pulling: bool,
    stopping: bool,
    flushed: Moment,
    end: Option<ControlEnd>,
}

impl Control {
    /// A loop that will join the service.
    pub(crate) fn new(parts: ControlParts) -> Self {
        let node = new_node(&parts);
        let guidance = Guidance::new(parts.service.clone());
        let clock = Clock;
        Self {
            parts,
            clock,
            node,
            guidance,
            freshness: Freshness::default(),
            grant: None,
            fencing: None,
            health: UpstreamHealth::new(clock.now()),
            outbox: Outbox::default(),
            sources: BTreeMap::new(),
            pulling: false,
            stopping: false,
            flushed: clock.now(),
            end: None,
        }
    }

    /// Runs until the member has left.
    pub(crate) async fn run(mut self) -> ControlEnd {
        self.tell_intent();
        let mut ticks = tokio::time::interval(self.parts.timing.heartbeat / TICKS);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let me = self.node.me();
            tokio::select! {
                (source, packet) = self.parts.socket.receive(me) => self.take_packet(source, packet),
                Some(input) = self.parts.inputs.recv() => self.take_input(input),
                _ = ticks.tick() => self.tick(),
            }
            if let Some(end) = self.end {
                return end;
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.step(Event::Tick);
        if self.parts.quiescence.needs_fence() {
            self.parts.granter.raise_fence();
        }
        if let Some(event) = self.parts.quiescence.poll(now) {
            self.step(event);
        }
        if self.health.changed(now) {
            log::warn!(silent = self.health.is_silent(); "upstream health changed");
            self.tell_intent();
        }
        self.follow();
        let span = now.saturating_sub(self.flushed);
        if span >= FLUSH {
            self.flushed = now;
            self.flush_metrics(now);
            self.tell_load(span);
        }
    }

    /// Tells the node which slices and keys requests asked for in the last `span`.
    fn tell_load(&mut self, span: Duration) {
        let rates = self.parts.requests.load().take(span);
        self.step(Event::Load { slices: rates.slices, keys: rates.keys });
    }

    fn take_packet(&mut self, source: SocketAddr, packet: Packet) {
        let from = packet.from;
        if !self.node.serving().record.members.contains_key(&from)
            && self.sources.len() < MAX_SOURCES
        {
            self.sources.insert(from, source);
        }
        self.hear(from, packet.knowledge);
        for message in packet.messages {
            match Message::try_from(message) {
                Ok(message) => self.step(Event::Message { from, message }),
                Err(error) => log::debug!(reason:% = error; "message refused"),
            }
        }
    }

    fn take_input(&mut self, input: Input) {
        match input {
            Input::RecordRead { record, sent } => self.take_record(record, sent),
            Input::Written { write_id, outcome } => self.take_written(write_id, outcome),
            Input::Configuration { configuration, read } => {
                if let Some(at) = read {
                    self.freshness.confirm_configuration(at);
                }
                self.take_configuration(&configuration);
            }
            Input::Confirmed { record, version, at } => self.confirm(record, version, at),
            Input::Pulled { record, configuration } => self.take_pulled(record, configuration),
            Input::PullFailed(peer) => {
                self.pulling = false;
                log::debug!(peer = peer; "peer did not answer a pull");
            }
            Input::Granted(grant) => self.take_grant(grant),
            Input::UpstreamLoad(load) => {
                self.parts.requests.report_load(load.running, load.slots);
            }
            Input::Fenced(fence) => self.parts.quiescence.fenced(fence),
            Input::ReadFailed | Input::UpstreamSilent => {}
            Input::Superseded(fence) => {
                log::error!(fence = fence; "a later process in this slot has taken the upstream");
                self.end = Some(ControlEnd::Superseded);
            }
            Input::Stop => {
                log::info!("stop asked for");
                self.stopping = true;
                self.step(Event::Stop);
            }
        }
    }

    /// Has the upstream refuse an older life of this instance.
    fn ask_fence(&mut self, above: Fence) {
        if !self.parts.checks_fence || self.fencing.is_some_and(|asked| asked >= above) {
            return;
        }
        self.fencing = Some(above);
        self.parts.granter.fence_above(above);
    }

    fn take_grant(&mut self, grant: Grant) {
        self.health.hear(self.clock.now());
        self.grant = Some(grant);
        self.parts.member.fence = self.parts.member.fence.max(grant.fence);
        if self.fencing.is_some_and(|above| grant.fence > above) {
            self.fencing = None;
            self.step(Event::Fenced { fence: grant.fence });
        }
        self.publish();
    }

    fn take_record(&mut self, record: Record, sent: Option<Moment>) {
        let record = if record.version == 0 { self.first_record() } else { Some(record) };
        let Some(record) = record else { return };
        if let Err(error) = record.check() {
            log::error!(reason:% = error; "record refused");
            return;
        }
        if let Some(at) = sent
            && record.version >= self.node.serving().record.version
        {
            self.freshness.confirm_record(at);
        }
        self.apply(record, sent);
    }

    fn apply(&mut self, record: Record, read_sent: Option<Moment>) {
        let before = self.node.serving().record.version;
        self.step(Event::Record { record, read_sent });
        if self.node.serving().record.version != before {
            self.forget_sources();
            self.tell_intent();
        }
    }

    /// Takes the end of an own write, and tells those who gained by it: they serve as soon as they
    /// know, and gossip by heartbeats would take three of them.
    fn take_written(&mut self, write_id: WriteId, outcome: WriteOutcome) {
        let before = Arc::clone(&self.node.serving().record);
        self.step(Event::Written { write_id, outcome });
        let after = Arc::clone(&self.node.serving().record);
        if after.write_id != write_id || after.version <= before.version {
            return;
        }
        let knowledge = self.knowledge(self.clock.now());
        let from = self.node.me();
        for to in gaining_members(&before, &after) {
            let Some(member) = after.members.get(&to).filter(|_| to != from) else { continue };
            self.parts.socket.send_knowledge(from, (to, member.peer), knowledge);
        }
    }

    /// Logs a change of the record that this member has applied.
    fn log_record(&self) {
        let serving = self.node.serving();
        log::info!(
            version = serving.record.version,
            members = serving.record.members.len(),
            slices = serving.record.slices_of(serving.me).count(),
            boot = serving.me;
            "record in force here"
        );
    }

    /// The record before anyone has written it; `None` until the configuration names the service.
    fn first_record(&self) -> Option<Record> {
        let service = self.guidance.content().services.get(&self.parts.service)?;
        let slices = match service.sharing {
            Sharing::Keyed(slices) => slices,
            Sharing::Unkeyed => 0,
        };
        Some(Record::new(self.parts.service.clone(), slices))
    }

    fn take_configuration(&mut self, configuration: &Configuration) {
        if self.guidance.take(configuration) {
            log::info!(version = configuration.version; "configuration in force here");
            self.tell_intent();
        }
    }

    fn take_pulled(&mut self, record: Option<Record>, configuration: Option<Configuration>) {
        self.pulling = false;
        if let Some(configuration) = configuration {
            self.take_configuration(&configuration);
        }
        if let Some(record) = record {
            self.apply(record, None);
        }
    }

    fn confirm(&mut self, record: bool, version: u64, at: Moment) {
        if record && version >= self.node.serving().record.version {
            self.freshness.confirm_record(at);
        }
        if !record && version >= self.guidance.version() {
            self.freshness.confirm_configuration(at);
        }
        self.publish();
    }

    /// Tells the node what operators, and the upstream's health, want of the members.
    fn tell_intent(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        let mut barred = barred_members(self.guidance.content(), &record);
        if self.health.is_silent() {
            barred.push(self.node.me());
        }
        let lost = lost_members(self.guidance.content(), &record);
        self.step(Event::Intent { barred, lost });
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let version = self.node.serving().record.version;
        for action in self.node.step(now, event) {
            self.perform(action);
        }
        self.send_outbox(now);
        if self.node.serving().record.version != version {
            self.log_record();
        }
        if let Some(until) = self.node.serving().until
            && !self.health.is_silent()
        {
            self.parts.granter.extend(until);
            self.parts.quiescence.offered(until);
        }
        self.publish();
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.outbox.add(to, message),
            Action::Write(record) => self.parts.worker.write(record),
            Action::Read => self.parts.worker.read(),
            Action::Quiesce { slices, hot } => {
                // Requests check the published view after they are counted as running, so what
                // is held must be published before they are counted.
                self.publish();
                self.parts.quiescence.start(slices, hot);
            }
            Action::Fence { above } => self.ask_fence(above),
            Action::Rejoin => self.rejoin(),
            Action::Left => self.end = Some(ControlEnd::Left),
        }
    }

    fn rejoin(&mut self) {
        log::warn!(boot = self.node.me(); "taken over; joining again");
        self.node = new_node(&self.parts);
        self.fencing = None;
        self.parts.granter.raise_fence();
        if self.stopping {
            self.end = Some(ControlEnd::Left);
        }
        self.tell_intent();
    }

    fn send_outbox(&mut self, now: Moment) {
        let knowledge = self.knowledge(now);
        let from = self.node.me();
        for (to, messages) in self.outbox.take() {
            let members = &self.node.serving().record.members;
            let address = members.get(&to).map(|member| member.peer);
            let Some(address) = address.or_else(|| self.sources.get(&to).copied()) else {
                continue;
            };
            self.parts.socket.send(from, (to, address), knowledge, &messages);
        }
    }

    fn knowledge(&self, now: Moment) -> Knowledge {
        Knowledge {
            record: self.node.serving().record.version,
            configuration: self.guidance.version(),
            digest: self.guidance.digest(),
            age_ms: self.freshness.age_ms(now),
        }
    }

    /// Takes what a peer says it knows, and asks it for what is newer.
    fn hear(&mut self, from: BootId, theirs: Knowledge) {
        let now = self.clock.now();
        self.parts.reports.hear(from, theirs.configuration);
        let mine = self.knowledge(now);
        let heard = self.guidance.hear(theirs.configuration, theirs.digest);
        if heard == Heard::InForce {
            log::info!(version = theirs.configuration; "configuration in force here");
        }
        self.freshness.hear(now, (mine.record, self.guidance.version()), theirs);
        let newer = theirs.record > mine.record || heard == Heard::Newer;
        if newer && !self.pulling {
            self.start_pull(from, mine);
        }
    }

    fn start_pull(&mut self, to: BootId, mine: Knowledge) {
        let members = &self.node.serving().record.members;
        let Some(address) = members.get(&to).map(|member| member.peer) else { return };
        self.pulling = true;
        let request = Pull {
            from: self.node.me(),
            to,
            nonce: random(),
            record: mine.record,
            configuration: mine.configuration,
        };
        let (codec, sender) = (self.parts.codec.clone(), self.parts.sender.clone());
        let counters = Arc::clone(&self.parts.counters);
        tokio::spawn(async move {
            let input = match pull(&codec, &counters, address, &request).await {
                Ok(pushed) => Input::Pulled {
                    record: pushed.record.and_then(|record| record.try_into().ok()),
                    configuration: pushed.configuration,
                },
                Err(error) => {
                    log::debug!(reason:% = error; "pull failed");
                    Input::PullFailed(to)
                }
            };
            let _ = sender.send(input);
        });
    }

    /// Keeps the watches in step with who should watch.
    fn follow(&self) {
        let record = &self.node.serving().record;
        let now = self.clock.now();
        let stale = u128::from(self.freshness.age_ms(now)) > STALE.as_millis();
        let watching = stale || is_watcher(record, self.node.me());
        self.parts.worker.follow(watching, record.version, self.guidance.version());
    }

    fn forget_sources(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        self.sources.retain(|boot, _| !record.members.contains_key(boot));
        let sources = &self.sources;
        let known = |boot| record.members.contains_key(&boot) || sources.contains_key(&boot);
        self.parts.socket.retain(known);
        self.parts.reports.retain(known);
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let snapshot = Snapshot {
            serving: self.node.serving().clone(),
            configuration: Arc::clone(self.guidance.content()),
            grant: self.grant,
            fresh: self.freshness.since(),
            knowledge: self.knowledge(now),
            stopping: self.stopping,
        };
        self.parts.publisher.publish(now, &snapshot);
    }

    fn flush_metrics(&mut self, now: Moment) {
        let serving = self.node.serving();
        let left = serving.until.map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let gauges = [
            ("record.version", serving.record.version),
            ("record.members", serving.record.members.len() as u64),
            ("record.slices_owned", serving.record.slices_of(serving.me).count() as u64),
            ("configuration.version", self.guidance.version()),
            ("knowledge.age_ms", u64::from(self.freshness.age_ms(now))),
            ("lease.left_ms", left.as_millis() as u64),
        ];
        self.parts.metrics.flush(&gauges);
    }
}

fn new_node(parts: &ControlParts) -> Node {
    Node::new(random(), parts.member.clone(), parts.timing, random())
}

/// A random number above 0 from the operating system.
pub(crate) fn random() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system gives random bytes");
    u64::from_le_bytes(bytes).max(1)
}

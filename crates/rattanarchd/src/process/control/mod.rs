//! The control loop, which drives ownership, membership and configuration of one daemon.

mod configuration;
mod gossip;
mod parts;
mod records;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_config::ServiceConfiguration;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use tokio::time::MissedTickBehavior;

use crate::connection::Outbox;
use crate::process::Clock;
use crate::process::Input;
use crate::process::Snapshot;
use crate::process::UpstreamHealth;
use crate::process::random;
use crate::version::Freshness;
use crate::version::Grant;

pub(crate) use parts::ControlEnd;
pub(crate) use parts::ControlParts;

/// Ticks of the node in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 10;
/// Interval at which metrics are sent and the load is passed to the node.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// The control loop.
#[derive(Debug)]
pub(crate) struct Control {
    parts: ControlParts,
    clock: Clock,
    node: Node,
    configuration: ServiceConfiguration,
    freshness: Freshness,
    grant: Option<Grant>,
    /// Fence that the upstream is to exceed, so that it refuses an earlier boot of the instance; `None` if no such
    /// request is pending.
    requested_fence: Option<Fence>,
    health: UpstreamHealth,
    outbox: Outbox,
    /// Addresses of senders that the record does not contain yet.
    sender_addresses: BTreeMap<BootId, SocketAddr>,
    /// Whether a pull from a peer is running; there is one at a time.
    pulling: bool,
    stopping: bool,
    last_flush: Moment,
    end: Option<ControlEnd>,
}

impl Control {
    /// Creates a loop with a node that has not joined the service yet.
    pub(crate) fn new(parts: ControlParts) -> Self {
        let node = new_node(&parts);
        let configuration = ServiceConfiguration::new(parts.service.clone());
        let clock = Clock;
        Self {
            parts,
            clock,
            node,
            configuration,
            freshness: Freshness::default(),
            grant: None,
            requested_fence: None,
            health: UpstreamHealth::new(clock.now()),
            outbox: Outbox::default(),
            sender_addresses: BTreeMap::new(),
            pulling: false,
            stopping: false,
            last_flush: clock.now(),
            end: None,
        }
    }

    /// Runs until the member has left or a later process in its slot has taken the upstream.
    pub(crate) async fn run(mut self) -> ControlEnd {
        self.update_standing();
        let mut ticks = tokio::time::interval(self.parts.timing.heartbeat / TICKS_PER_HEARTBEAT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let me = self.node.me();
            tokio::select! {
                (source, packet) = self.parts.socket.receive(me) => self.handle_packet(source, packet),
                Some(input) = self.parts.inputs.recv() => self.handle_input(input),
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
        if self.parts.drain_tracker.needs_fence() {
            self.parts.granter.raise_fence();
        }
        if let Some(event) = self.parts.drain_tracker.poll(now) {
            self.step(event);
        }
        if self.health.update(now) {
            log::warn!(silent = self.health.is_lost(); "upstream health changed");
            self.update_standing();
        }
        self.update_watches();
        let span = now.saturating_sub(self.last_flush);
        if span >= FLUSH_INTERVAL {
            self.last_flush = now;
            self.flush_metrics(now);
            self.update_load(span);
        }
    }

    /// Passes the request rates of slices and keys in the last `span` to the node.
    fn update_load(&mut self, span: Duration) {
        let rates = self.parts.requests.load().take_rates(span);
        self.step(Event::Load { slices: rates.slices, keys: rates.keys });
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::RecordRead { record, sent } => self.handle_record(record, sent),
            Input::Written { write_id, outcome } => self.handle_written(write_id, outcome),
            Input::Configuration { configuration, read } => {
                if let Some(at) = read {
                    self.freshness.confirm_configuration(at);
                }
                self.handle_configuration(&configuration);
            }
            Input::Confirmed { record, version, at } => self.confirm(record, version, at),
            Input::Pulled { record, configuration } => self.handle_pulled(record, configuration),
            Input::PullFailed(peer) => {
                self.pulling = false;
                log::debug!(peer = peer; "peer did not answer a pull");
            }
            Input::Granted(grant) => self.handle_grant(grant),
            Input::UpstreamLoad(load) => {
                self.parts.requests.report_load(load.running, load.slots);
            }
            Input::Fenced(fence) => self.parts.drain_tracker.handle_fenced(fence),
            Input::Superseded(fence) => {
                log::error!(fence = fence; "a later process in this slot has taken the upstream");
                self.end = Some(ControlEnd::Superseded);
            }
            Input::Stop => {
                log::info!("stop requested");
                self.stopping = true;
                self.step(Event::Stop);
            }
        }
    }

    /// Feeds an event to the node and performs the resulting actions.
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
        if let Some(until) = self.node.serving().lease_end
            && !self.health.is_lost()
        {
            self.parts.granter.extend(until);
            self.parts.drain_tracker.note_offer(until);
        }
        self.publish();
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.outbox.add(to, message),
            Action::Write(record) => self.parts.worker.write(record),
            Action::Read | Action::CatchUp { .. } => self.parts.worker.read(),
            Action::Drain { slices, hot } => {
                // A request is registered as running before it checks the published view. With the draining
                // slices published first, no request starts that the drain tracker does not see.
                self.publish();
                self.parts.drain_tracker.start(slices, hot);
            }
            Action::Fence { above } => self.request_fence(above),
            Action::Delegate { .. } => {
                log::error!("node delegated a change request, although batching is off");
            }
            Action::Rejoin => self.rejoin(),
            Action::Left => self.end = Some(ControlEnd::Left),
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let snapshot = Snapshot {
            serving: self.node.serving().clone(),
            configuration: Arc::clone(self.configuration.content()),
            grant: self.grant,
            confirmed_at: self.freshness.confirmed_at(),
            knowledge: self.knowledge(now),
            stopping: self.stopping,
        };
        self.parts.publisher.publish(now, &snapshot);
    }

    fn flush_metrics(&mut self, now: Moment) {
        let serving = self.node.serving();
        let left = serving.lease_end.map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let gauges = [
            ("record.version", serving.record.version),
            ("record.members", serving.record.members.len() as u64),
            ("record.slices_owned", serving.record.slices_of(serving.me).count() as u64),
            ("configuration.version", self.configuration.version()),
            ("knowledge.age_ms", u64::from(self.freshness.age_ms(now))),
            ("lease.left_ms", left.as_millis() as u64),
        ];
        self.parts.metrics.flush(&gauges);
    }
}

fn new_node(parts: &ControlParts) -> Node {
    Node::new(random(), parts.member.clone(), parts.timing, random())
}

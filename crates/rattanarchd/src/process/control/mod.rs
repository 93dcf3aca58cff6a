//! The control loop: ownership, membership and configuration of one daemon.

mod gossip;
mod intent;
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

/// Ticks of the node in one heartbeat.
const TICKS: u32 = 10;
/// Time between two flushes of the metrics, and between two readings of the load.
const FLUSH: Duration = Duration::from_secs(1);

/// The control loop.
#[derive(Debug)]
pub(crate) struct Control {
    parts: ControlParts,
    clock: Clock,
    node: Node,
    guidance: ServiceConfiguration,
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
        let guidance = ServiceConfiguration::new(parts.service.clone());
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
        let rates = self.parts.requests.load().take_rates(span);
        self.step(Event::Load { slices: rates.slices, keys: rates.keys });
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
            Action::Read | Action::CatchUp { .. } => self.parts.worker.read(),
            Action::Drain { slices, hot } => {
                // Requests check the published view after they are counted as running, so what
                // is held must be published before they are counted.
                self.publish();
                self.parts.quiescence.start(slices, hot);
            }
            Action::Fence { above } => self.ask_fence(above),
            Action::Delegate { .. } => {
                log::error!("node asked to be gathered; it writes for itself");
            }
            Action::Rejoin => self.rejoin(),
            Action::Left => self.end = Some(ControlEnd::Left),
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let snapshot = Snapshot {
            serving: self.node.serving().clone(),
            configuration: Arc::clone(self.guidance.content()),
            grant: self.grant,
            confirmed_at: self.freshness.since(),
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

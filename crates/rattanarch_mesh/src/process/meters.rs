//! The daemon's counters, gauges and histograms; docs/OPERATIONS.md lists them.

use std::time::Duration;

use rattanarch_process::Labels;
use rattanarch_process::Metrics;
use rattanarch_process::dropped_lines;
use rattanarch_routing::ProbeResult;

use crate::process::Shared;

/// The daemon's metrics by name.
#[derive(Debug, Default)]
pub(crate) struct Meters {
    metrics: Metrics,
}

/// Labels of a request that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLabels<'a> {
    /// `caller` for requests of this machine, `forwarded` for those of other daemons.
    pub(crate) side: &'static str,
    pub(crate) service: &'a str,
    /// Name of the route; empty for forwarded requests.
    pub(crate) route: &'a str,
    pub(crate) outcome: &'a str,
    /// Status, or reason of a refusal or failure.
    pub(crate) reason: &'a str,
}

fn labels(pairs: &[(&'static str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| (*name, (*value).to_owned())).collect()
}

impl Meters {
    /// Counts a request that has ended.
    pub(crate) fn request(&self, request: &RequestLabels<'_>, took: Duration) {
        let service = request.service;
        let by_reason = labels(&[
            ("side", request.side),
            ("service", service),
            ("route", request.route),
            ("outcome", request.outcome),
            ("reason", request.reason),
        ]);
        self.metrics.add("rattanarch_requests", "Requests that have ended", &by_reason, 1);
        let by_side =
            labels(&[("side", request.side), ("service", service), ("outcome", request.outcome)]);
        let help = "Time from a request's arrival to its response";
        self.metrics.observe("rattanarch_request_seconds", help, &by_side, took.as_secs_f64());
    }

    /// Records how long a request waited for its key and a slot.
    pub(crate) fn queued(&self, service: &str, waited: Duration) {
        let help = "Time that an admitted request waited for its key and a slot";
        let service = labels(&[("service", service)]);
        self.metrics.observe("rattanarch_queue_seconds", help, &service, waited.as_secs_f64());
    }

    /// Counts a request that may be sent to the upstream: whether it is a retry, and whether it had to wait.
    pub(crate) fn admitted(&self, retry: bool, waited: bool) {
        let yes_or_no = |flag| if flag { "yes" } else { "no" };
        let labels = labels(&[("retry", yes_or_no(retry)), ("waited", yes_or_no(waited))]);
        self.metrics.add("rattanarch_admitted", "Requests admitted to the upstream", &labels, 1);
    }

    /// Records how long the upstream took for a response.
    pub(crate) fn served(&self, service: &str, took: Duration) {
        let help = "Time that the upstream took to respond";
        let service = labels(&[("service", service)]);
        self.metrics.observe("rattanarch_upstream_seconds", help, &service, took.as_secs_f64());
    }

    /// Counts a retry that the retry budget has `granted` or not (`yes`, `no`), or a nested call of a retry (`call`).
    pub(crate) fn retry(&self, service: &str, granted: &'static str) {
        let labels = labels(&[("service", service), ("granted", granted)]);
        self.metrics.add(
            "rattanarch_repeats",
            "Retries requested from the retry budget",
            &labels,
            1,
        );
    }

    /// Counts a probe of a peer that has not answered a request yet, by its result.
    pub(crate) fn peer_probe(&self, result: ProbeResult) {
        let help = "Probes of peers that have not answered a request yet";
        let labels = labels(&[("look", &result.to_string())]);
        self.metrics.add("rattanarch_peer_looks", help, &labels, 1);
    }

    /// Counts bytes of a request for `service` and its response that went between data centres.
    pub(crate) fn cross_data_centre_bytes(&self, service: &str, bytes: usize) {
        let help = "Bytes of requests to and responses from daemons in other data centres";
        let service = labels(&[("service", service)]);
        self.metrics.add("rattanarch_crossed_bytes", help, &service, bytes as u64);
    }

    /// Counts bytes of state fetched from another daemon.
    pub(crate) fn fetched(&self, bytes: usize) {
        let help = "Bytes of state fetched from other daemons";
        self.metrics.add("rattanarch_state_bytes", help, &Labels::new(), bytes as u64);
    }

    /// Counts a fetch of state by its outcome.
    pub(crate) fn state_fetch(&self, outcome: &str) {
        let labels = labels(&[("outcome", outcome)]);
        self.metrics.add("rattanarch_state_fetches", "Fetches of state", &labels, 1);
    }

    /// Counts changes that a peer sent in place of the whole configuration, by outcome.
    pub(crate) fn configuration_change(&self, outcome: &str) {
        let labels = labels(&[("outcome", outcome)]);
        let help = "Configuration changes received from peers";
        self.metrics.add("rattanarch_configuration_changes", help, &labels, 1);
    }

    /// Counts a heartbeat of the upstream.
    pub(crate) fn heartbeat(&self, outcome: &str) {
        let labels = labels(&[("outcome", outcome)]);
        self.metrics.add("rattanarch_heartbeats", "Heartbeats of the upstream", &labels, 1);
    }

    /// Counts an update of the ownership record.
    pub(crate) fn record_write(&self, outcome: &str) {
        let labels = labels(&[("outcome", outcome)]);
        self.metrics.add("rattanarch_record_writes", "Updates of the record", &labels, 1);
    }

    /// Counts slices that this member has begun to release.
    pub(crate) fn released(&self, slices: usize) {
        let help = "Slices that this member began to release";
        self.metrics.add("rattanarch_released_slices", help, &Labels::new(), slices as u64);
    }

    /// All metrics as text, with the current values of the gauges.
    pub(crate) fn text(&self, shared: &Shared) -> String {
        for (name, help, value) in gauges(shared) {
            self.metrics.set(name, help, &Labels::new(), value);
        }
        for (listener, count) in shared.held.connections() {
            let labels = labels(&[("listener", &listener.to_string())]);
            let help = "Open connections by listener";
            self.metrics.set("rattanarch_connections", help, &labels, count as i64);
        }
        for (event, count) in shared.held.events() {
            let labels = labels(&[("reason", &event.to_string())]);
            let help = "Requests and connections refused or closed outside the limits";
            self.metrics.set("rattanarch_limit_events", help, &labels, count as i64);
        }
        for ((call, kind), count) in shared.store.calls() {
            let call = call.to_string();
            let labels = labels(&[("call", &call), ("kind", kind)]);
            self.metrics.set("rattanarch_store_calls", "Calls to the store", &labels, count as i64);
        }
        self.metrics.text()
    }
}

fn gauges(shared: &Shared) -> [(&'static str, &'static str, i64); 22] {
    let now = shared.now();
    let state = shared.upstream.state.borrow();
    let knowledge = shared.knowledge.borrow();
    let record = &state.serving.record;
    let margin = state.serving.lease_end.and_then(|until| until.checked_sub(now));
    let heard = state.life.as_ref().map(|life| now.saturating_sub(life.last_heartbeat));
    let configuration = knowledge.routes().map(|routes| routes.version).unwrap_or_default();
    let millis = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
    [
        (
            "rattanarch_lease_margin_ms",
            "Time until the lease ends; -1 without a lease",
            millis(margin),
        ),
        (
            "rattanarch_heartbeat_age_ms",
            "Age of the last heartbeat; -1 before the first",
            millis(heard),
        ),
        (
            "rattanarch_owned_slices",
            "Slices that this member owns",
            record.slices_of(state.serving.me).count() as i64,
        ),
        (
            "rattanarch_served_slices",
            "Slices that the upstream holds",
            state.grants.served_count(now) as i64,
        ),
        ("rattanarch_members", "Members of the service", record.members.len() as i64),
        ("rattanarch_record_version", "Version of the record", record.version as i64),
        (
            "rattanarch_configuration_version",
            "Version of the configuration in force",
            configuration as i64,
        ),
        (
            "rattanarch_evacuated_data_centres",
            "Data centres taken out",
            knowledge.evacuated().names().count() as i64,
        ),
        (
            "rattanarch_running_requests",
            "Requests that occupy a slot",
            i64::from(state.admission.running()),
        ),
        (
            "rattanarch_waiting_requests",
            "Requests in the queue",
            i64::from(state.admission.waiting()),
        ),
        (
            "rattanarch_used_percent",
            "Utilization of the upstream in percent",
            (state.utilization() * 100.0) as i64,
        ),
        (
            "rattanarch_upstream_rate_limit_milli",
            "Requests that the upstream takes in 1000 s; -1 without a limit",
            state
                .life
                .as_ref()
                .and_then(|life| life.rate_limit)
                .map_or(-1, |rate| (rate * 1e3) as i64),
        ),
        (
            "rattanarch_upstream_connections",
            "Connections opened to the upstream so far",
            shared.upstream.pool.opened() as i64,
        ),
        (
            "rattanarch_peer_connections",
            "Connections opened to other daemons so far",
            shared.peers.connections_opened() as i64,
        ),
        (
            "rattanarch_link_wait_ms",
            "Time until the waiting large responses are sent",
            shared.uplink.backlog.borrow().time_to_clear(shared.now()).as_millis() as i64,
        ),
        ("rattanarch_lag_ms", "Mean delay of due tasks", shared.lag.get().as_millis() as i64),
        (
            "rattanarch_store_reachable",
            "Whether the store answered the last call",
            i64::from(!shared.is_store_unreachable()),
        ),
        (
            "rattanarch_follows_store",
            "Whether this daemon follows the store for its group",
            i64::from(shared.follower.follows()),
        ),
        (
            "rattanarch_store_age_ms",
            "Time since the store last confirmed that nothing newer is stored; -1 before the first",
            millis(shared.follower.last_confirmed().map(|at| now.saturating_sub(at))),
        ),
        (
            "rattanarch_upstream_bytes",
            "Bytes of the bodies of requests under way to the upstream",
            state.bytes.sum() as i64,
        ),
        (
            "rattanarch_held_bytes",
            "Bytes of bodies and responses held for callers and peers",
            shared.held.used() as i64,
        ),
        ("rattanarch_dropped_log_lines", "Log lines not written", dropped_lines() as i64),
    ]
}

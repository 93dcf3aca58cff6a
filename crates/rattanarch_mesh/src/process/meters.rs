//! The daemon's counters, gauges and histograms; docs/OPERATIONS.md lists them.

use std::cell::RefCell;
use std::time::Duration;

use rattanarch_accounts::Account;
use rattanarch_accounts::AccountUse;
use rattanarch_admission::PaceChange;
use rattanarch_placement::MovePlan;
use rattanarch_process::Labels;
use rattanarch_process::Metrics;
use rattanarch_process::dropped_lines;
use rattanarch_quarantine::QuarantineChange;
use rattanarch_routing::ProbeResult;

use crate::control::quota_numbers;
use crate::process::Shared;

/// The daemon's metrics by name.
#[derive(Debug, Default)]
pub(crate) struct Meters {
    metrics: Metrics,
    /// Requests by client account.
    accounts: RefCell<AccountUse>,
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

    /// Counts a request that was refused for lack of capacity: whether its caller has a reserved time to return.
    pub(crate) fn scheduled(&self, reserved: bool) {
        let labels = labels(&[("reserved", if reserved { "yes" } else { "no" })]);
        let help = "Requests refused for lack of capacity, by whether a time to return is reserved";
        self.metrics.add("rattanarch_retry_times", help, &labels, 1);
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

    /// Counts the end of a life of the upstream: `planned` or `crash`.
    pub(crate) fn upstream_end(&self, kind: &str) {
        let labels = labels(&[("kind", kind)]);
        self.metrics.add("rattanarch_upstream_ends", "Ends of lives of the upstream", &labels, 1);
    }

    /// Counts a request that was put into quarantine, or released from it.
    pub(crate) fn quarantine_change(&self, change: &QuarantineChange) {
        let labels = labels(&[("change", &change.to_string())]);
        let help = "Requests put into quarantine or released from it";
        self.metrics.add("rattanarch_quarantine_changes", help, &labels, 1);
    }

    /// Counts a datagram about suspects that is sent.
    pub(crate) fn suspects_datagram(&self) {
        let help = "Datagrams about requests that were in flight when upstreams ended";
        self.metrics.add("rattanarch_suspects_datagrams", help, &Labels::new(), 1);
    }

    /// Counts a change of the upstream's pace.
    pub(crate) fn pace_change(&self, change: &PaceChange) {
        let (from, to, cause) =
            (change.from.to_string(), change.to.to_string(), change.cause.to_string());
        let labels = labels(&[("from", &from), ("to", &to), ("cause", &cause)]);
        let help = "Changes of the state that limits the upstream's requests";
        self.metrics.add("rattanarch_upstream_pace_changes", help, &labels, 1);
    }

    /// Counts an update of the ownership record.
    pub(crate) fn record_write(&self, outcome: &str) {
        let labels = labels(&[("outcome", outcome)]);
        self.metrics.add("rattanarch_record_writes", "Updates of the record", &labels, 1);
    }

    /// Counts a request of a client account that was `admitted`, or refused because it was over the quota.
    pub(crate) fn account_request(&self, account: &Account, admitted: bool) {
        self.accounts.borrow_mut().count(account, admitted);
    }

    /// Counts a request without a valid key of a client account.
    pub(crate) fn refused_key(&self, reason: &str) {
        let help = "Requests without a valid key of a client account";
        self.metrics.add("rattanarch_refused_keys", help, &labels(&[("reason", reason)]), 1);
    }

    /// Counts a request that was admitted by the static share, for lack of a coordinator.
    pub(crate) fn static_quota(&self) {
        let help = "Requests admitted by the static share of their account's quota";
        self.metrics.add("rattanarch_static_quota", help, &Labels::new(), 1);
    }

    /// Counts a datagram about quotas that is sent: a `request` or a `grant`.
    pub(crate) fn quota_datagram(&self, kind: &str) {
        let labels = labels(&[("kind", kind)]);
        self.metrics.add("rattanarch_quota_datagrams", "Datagrams about quotas", &labels, 1);
    }

    /// Sets the gauges of client accounts.
    fn set_accounts(&self, shared: &Shared) {
        // Accounts may have left the busiest ones.
        self.metrics.clear_gauge("rattanarch_account_admitted");
        self.metrics.clear_gauge("rattanarch_account_over_quota");
        for counts in self.accounts.borrow().busiest() {
            let labels = labels(&[("account", &counts.name)]);
            let help = "Requests of client accounts that were admitted";
            let admitted = counts.admitted as i64;
            self.metrics.set("rattanarch_account_admitted", help, &labels, admitted);
            let help = "Requests of client accounts that were over their quota";
            let over_quota = counts.over_quota as i64;
            self.metrics.set("rattanarch_account_over_quota", help, &labels, over_quota);
        }
        let (groups, silent) = quota_numbers(shared);
        let help = "Groups of client accounts that this daemon coordinates";
        self.metrics.set("rattanarch_quota_groups", help, &Labels::new(), groups as i64);
        let help = "Coordinators of quotas that do not reply";
        self.metrics.set("rattanarch_quota_silent", help, &Labels::new(), silent as i64);
    }

    /// Counts slices that this member has begun to release.
    pub(crate) fn released(&self, slices: usize) {
        let help = "Slices that this member began to release";
        self.metrics.add("rattanarch_released_slices", help, &Labels::new(), slices as u64);
    }

    /// Counts a plan of moves because of load; `started` says whether the release of its slices has begun.
    pub(crate) fn move_plan(&self, plan: &MovePlan, started: bool) {
        let moved = if started { plan.moves.len() } else { 0 };
        let skipped = plan.skipped + plan.moves.len() - moved;
        let help = "Slices whose move because of load was decided, by outcome";
        for (outcome, slices) in [("planned", moved), ("skipped", skipped)] {
            let labels = labels(&[("outcome", outcome)]);
            self.metrics.add("rattanarch_slice_moves", help, &labels, slices as u64);
        }
        if started {
            let help =
                "Requests, by the estimates on which moves of slices because of load were decided";
            for (estimate, requests) in [("gain", plan.gain), ("cost", plan.cost)] {
                let labels = labels(&[("estimate", estimate)]);
                self.metrics.add("rattanarch_slice_move_requests", help, &labels, requests as u64);
            }
        }
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
        self.set_accounts(shared);
        self.metrics.text()
    }
}

fn gauges(shared: &Shared) -> [(&'static str, &'static str, i64); 26] {
    let now = shared.now();
    let state = shared.upstream.state.borrow();
    let knowledge = shared.knowledge.borrow();
    let record = &state.serving.record;
    let margin = state.serving.lease_end.and_then(|until| until.checked_sub(now));
    let heard = state.life.as_ref().map(|life| now.saturating_sub(life.last_heartbeat));
    let configuration = knowledge.routes().map(|routes| routes.version).unwrap_or_default();
    let (suspects, quarantined) = shared.quarantine.borrow().counts();
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
            "rattanarch_upstream_concurrency",
            "Requests that the upstream may run at once now",
            i64::from(state.admission.forecast(now).concurrency),
        ),
        (
            "rattanarch_upstream_cold_ms",
            "Time for which the upstream says that it stays cold",
            state.admission.forecast(now).cold_left.as_millis() as i64,
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
        (
            "rattanarch_suspects",
            "Requests that were in flight when upstreams ended",
            suspects as i64,
        ),
        ("rattanarch_quarantined", "Requests in quarantine", quarantined as i64),
        ("rattanarch_dropped_log_lines", "Log lines not written", dropped_lines() as i64),
    ]
}

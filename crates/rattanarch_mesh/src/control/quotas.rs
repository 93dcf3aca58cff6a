//! Quotas of client accounts: the exchange of this daemon with the coordinators, and as one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_accounts::Account;
use rattanarch_accounts::QuotaClient;
use rattanarch_accounts::QuotaCoordinator;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaMember;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaRule;
use rattanarch_accounts::QuotaToken;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_process::random;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::Version;
use rattanarch_types::hash_key;
use rattanarch_wire::QuotaMessage;
use tokio::sync::oneshot;

use crate::process::Shared;

/// Interval at which due requests are sent and waits end.
const QUOTA_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which to check whether there are quotas, if there are none.
const DISABLED_INTERVAL: Duration = Duration::from_millis(500);

/// When the caller of a request that got no grant within its deadline is told to return.
const RETRY_TIME: Duration = Duration::from_millis(200);

/// Quotas of client accounts; nothing unless the platform sets the rule and the configuration has accounts.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    state: RefCell<Option<QuotaState>>,
    /// Whether a timer is set for requests that wait.
    timer: Cell<bool>,
}

#[derive(Debug)]
struct QuotaState {
    rule: QuotaRule,
    client: QuotaClient<Waiter>,
    coordinator: QuotaCoordinator,
    /// Datagram addresses of all daemons, also of those that are leaving and don't coordinate.
    addresses: BTreeMap<QuotaMember, SocketAddr>,
    /// Versions of the configuration and the records that were last applied.
    versions: Vec<Version>,
    /// Coordinators that do not reply, as last logged.
    silent: Vec<QuotaMember>,
}

/// A request that waits for the verdict on it.
#[derive(Debug)]
struct Waiter {
    flow: FlowId,
    sender: oneshot::Sender<QuotaVerdict>,
}

/// Id of the daemon with the datagram address `address`. It stays the same when the daemon restarts.
fn member_id(address: SocketAddr) -> QuotaMember {
    hash_key(&address.to_string())
}

/// Runs the exchange with the coordinators until the process ends.
pub(crate) async fn run_quotas(shared: Rc<Shared>) {
    loop {
        let enabled = shared.quotas.state.borrow().is_some();
        tokio::time::sleep(if enabled { QUOTA_INTERVAL } else { DISABLED_INTERVAL }).await;
        update(&shared);
        advance(&shared);
    }
}

/// Decides on a request of `account`, after waiting for a coordinator for at most `max_wait` if need be; `None` if it has
/// no quota.
pub(crate) async fn request_quota(
    shared: &Rc<Shared>,
    account: &Account,
    max_wait: Duration,
) -> Option<QuotaVerdict> {
    let limit = account.limit?;
    if shared.quotas.state.borrow().is_none() {
        update(shared);
    }
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter { flow: account.flow, sender };
    let decided = {
        let mut quotas = shared.quotas.state.borrow_mut();
        quotas.as_mut()?.client.request(shared.now(), (account.flow, limit), waiter)
    };
    if let Some((_, verdict)) = decided {
        return Some(verdict);
    }
    advance(shared);
    set_timer(shared);
    match tokio::time::timeout(max_wait, receiver).await {
        // The sender is dropped only if the quotas are disabled meanwhile.
        Ok(verdict) => verdict.ok(),
        // The receiver is dropped, so that a token that arrives later is given back.
        Err(_) => Some(QuotaVerdict::Refused(RETRY_TIME)),
    }
}

/// Refuses a request of `account` before its body has been read, if the account is known to be over its quota; returns
/// the time until there is expected to be capacity.
pub(crate) fn refuse_early(shared: &Shared, account: &Account) -> Option<Duration> {
    account.limit?;
    let mut quotas = shared.quotas.state.borrow_mut();
    quotas.as_mut()?.client.refuse_early(shared.now(), account.flow)
}

/// Has the coordinator asked for requests that wait as soon as another datagram to it is due.
fn set_timer(shared: &Rc<Shared>) {
    if shared.quotas.timer.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(QUOTA_INTERVAL).await;
        shared.quotas.timer.set(false);
        advance(&shared);
    });
}

/// Gives back the token of a request that was refused before it was sent to an upstream.
pub(crate) fn give_back_quota(shared: &Shared, flow: FlowId, token: QuotaToken) {
    if let Some(state) = &mut *shared.quotas.state.borrow_mut() {
        state.client.give_back(shared.now(), flow, token);
    }
}

/// Handles a quota message from the daemon at `from`.
pub(crate) fn handle_quota_message(shared: &Shared, from: SocketAddr, message: &QuotaMessage) {
    match message {
        QuotaMessage::Request(request) => {
            if let Some(grant) = coordinate(shared, from, request) {
                shared.meters.quota_datagram("grant");
                shared.socket.send_quota(&(&grant).into(), from);
            }
        }
        QuotaMessage::Grant(grant) => {
            apply_grant(shared, grant);
            advance(shared);
        }
    }
}

/// Grants what this daemon as coordinator can; `None` without quotas.
fn coordinate(shared: &Shared, from: SocketAddr, request: &QuotaRequest) -> Option<QuotaGrant> {
    let knowledge = shared.knowledge.borrow();
    let accounts = knowledge.routes_in_force()?.accounts.as_ref()?;
    let limit = |flow| accounts.by_flow(flow).and_then(|account| account.limit);
    let mut quotas = shared.quotas.state.borrow_mut();
    Some(quotas.as_mut()?.coordinator.handle(shared.now(), from, request, limit))
}

fn apply_grant(shared: &Shared, grant: &QuotaGrant) {
    let verdicts = match &mut *shared.quotas.state.borrow_mut() {
        Some(state) => state.client.handle(shared.now(), grant),
        None => return,
    };
    deliver(shared, verdicts);
}

fn deliver(shared: &Shared, verdicts: Vec<(Waiter, QuotaVerdict)>) {
    for (waiter, verdict) in verdicts {
        // The caller may have disconnected while its request waited, or the wait was too long for the deadline.
        if let Err(QuotaVerdict::Admitted(token)) = waiter.sender.send(verdict) {
            give_back_quota(shared, waiter.flow, token);
        }
    }
}

/// Sends the requests that are due and delivers verdicts. Requests to this daemon itself are granted at once.
fn advance(shared: &Shared) {
    let own = shared.settings.listen.datagrams;
    let output = {
        let mut quotas = shared.quotas.state.borrow_mut();
        let Some(state) = &mut *quotas else { return };
        let now = shared.now();
        state.coordinator.advance(now);
        let output = state.client.poll(now);
        let to_address = |(member, request)| Some((*state.addresses.get(&member)?, request));
        let messages: Vec<_> = output.messages.into_iter().filter_map(to_address).collect();
        (messages, output.verdicts)
    };
    let (messages, verdicts) = output;
    deliver(shared, verdicts);
    for (address, request) in messages {
        if address != own {
            shared.meters.quota_datagram("request");
            shared.socket.send_quota(&(&request).into(), address);
        } else if let Some(grant) = coordinate(shared, own, &request) {
            apply_grant(shared, &grant);
        }
    }
    log_silent(shared);
}

/// Logs which coordinators do not reply, if that has changed.
fn log_silent(shared: &Shared) {
    let mut quotas = shared.quotas.state.borrow_mut();
    let Some(state) = &mut *quotas else { return };
    let silent: Vec<QuotaMember> = state.client.silent().collect();
    if silent == state.silent {
        return;
    }
    let name = |member: &QuotaMember| state.addresses.get(member).map(SocketAddr::to_string);
    let names: Vec<String> = silent.iter().filter_map(name).collect();
    log::warn!(silent:% = names.join(","), before = state.silent.len(); "quota coordinators silent");
    state.silent = silent;
}

/// Applies changed settings, accounts and members.
fn update(shared: &Shared) {
    let knowledge = shared.knowledge.borrow();
    let routes = knowledge.routes_in_force();
    let accounts = routes.and_then(|routes| routes.accounts.as_ref());
    let rule = shared.bounds.get().quota.rule().filter(|_| accounts.is_some());
    let own = shared.settings.listen.datagrams;
    let mut quotas = shared.quotas.state.borrow_mut();
    let (Some(rule), Some(accounts)) = (rule, accounts) else {
        *quotas = None;
        return;
    };
    if quotas.as_ref().is_none_or(|state| state.rule != rule) {
        *quotas = Some(QuotaState::new(rule, own, shared.now()));
    }
    let Some(state) = &mut *quotas else { return };
    let records = knowledge.records().map(|record| record.version);
    let versions: Vec<Version> =
        routes.map(|routes| routes.version).into_iter().chain(records).collect();
    if versions == state.versions {
        return;
    }
    state.versions = versions;
    state.client.retain(|flow| accounts.by_flow(flow).is_some());
    state.coordinator.retain(|flow| accounts.by_flow(flow).is_some());
    let mut all: Vec<SocketAddr> = knowledge.members().map(|member| member.peer).collect();
    all.push(own);
    all.sort_unstable();
    all.dedup();
    state.coordinator.set_daemons(all.len());
    state.addresses = all.into_iter().map(|address| (member_id(address), address)).collect();
    let staying = knowledge.members().filter(|member| !member.leaving);
    let staying: BTreeSet<_> = staying.map(|member| member_id(member.peer)).collect();
    state.client.set_members(member_id(own), staying.into_iter().collect());
}

impl QuotaState {
    fn new(rule: QuotaRule, own: SocketAddr, now: Moment) -> Self {
        Self {
            rule,
            client: QuotaClient::new(rule, member_id(own), random() as u32),
            coordinator: QuotaCoordinator::new(rule, now),
            addresses: BTreeMap::new(),
            versions: Vec::new(),
            silent: Vec::new(),
        }
    }
}

/// Numbers for the metrics: groups that this daemon coordinates, and coordinators that do not reply.
pub(crate) fn quota_numbers(shared: &Shared) -> (usize, usize) {
    let quotas = shared.quotas.state.borrow();
    quotas.as_ref().map_or((0, 0), |state| (state.coordinator.active_groups(), state.silent.len()))
}

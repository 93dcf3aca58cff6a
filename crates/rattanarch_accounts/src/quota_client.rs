//! A daemon's side of the quotas.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;

use crate::QUOTA_GROUPS;
use crate::QuotaGrant;
use crate::QuotaGroupId;
use crate::QuotaMember;
use crate::QuotaRequest;
use crate::QuotaRule;
use crate::QuotaToken;
use crate::QuotaWant;
use crate::RateLimit;
use crate::allowance::Allowance;
use crate::quota_coordinator::COUNTED_TIME;
use crate::quota_group::quota_group;
use crate::quota_group::score;
use crate::token_bucket::MAX_WAIT;
use crate::token_bucket::SPARE_TIME;

/// Longest time that a request waits for a grant; a reply usually takes 3 ms.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a token for a request that waited is valid, counted from the daemon's request: it may arrive late, or be
/// given back.
const TOKEN_TIME: Duration = Duration::from_millis(200);

/// Interval of requests without a want, by which a coordinator counts this daemon: two in [`COUNTED_TIME`].
const COUNT_INTERVAL: Duration = Duration::from_millis(900);

/// Shortest time between two requests for one group, so that wants are gathered.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Requests in a row without a reply after which a coordinator is not asked any more, that is after some 400 ms. A
/// machine that is busy for a moment replies late, and a change of the coordinator costs the account 2 s.
const MAX_MISSES: u32 = 6;

/// Interval of requests to a coordinator that does not reply, to find out when it does.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of coordinators that do not reply up to which each is probed at that interval; of more, each is probed less
/// often, so that a daemon that is cut off does not send a datagram a second to every member.
const MAX_PROBES: u32 = 8;

/// Longest time for which requests are refused without asking again, so that unused share is found quickly.
const MAX_EMPTY_TIME: Duration = Duration::from_millis(100);

/// Maximum number of accounts in one request: 40 of 25 bytes fit into a datagram.
const MAX_WANTS: usize = 40;

/// Whether a request of an account may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaVerdict {
    /// It may run.
    Admitted(QuotaToken),
    /// It may not; there is expected to be capacity after the time.
    Refused(Duration),
}

/// What [`QuotaClient::poll`] asks its caller to do.
#[derive(Debug)]
pub struct QuotaOutput<T> {
    /// Requests to send; those to members that are unknown meanwhile may be dropped.
    pub messages: Vec<(QuotaMember, QuotaRequest)>,
    /// Verdicts on requests that waited.
    pub verdicts: Vec<(T, QuotaVerdict)>,
}

/// Decides which requests of accounts one daemon may run, by tokens that it gets from the coordinators.
///
/// Designed for 35 requests a second of 75 accounts, few of which send more than one request a second through one
/// daemon: most requests wait for a grant of their own, which takes a round trip. `T` stands for a request that waits.
#[derive(Debug)]
pub struct QuotaClient<T> {
    rule: QuotaRule,
    me: QuotaMember,
    /// Members that may coordinate.
    members: Vec<QuotaMember>,
    sequence: u64,
    groups: Vec<Group<T>>,
    /// Members that do not reply, with the time and the sequence of the last probe.
    silent: BTreeMap<QuotaMember, (Moment, u64)>,
    /// Whether `members` or `silent` have changed since the coordinators were chosen.
    changed: bool,
}

#[derive(Debug)]
struct Group<T> {
    coordinator: Option<QuotaMember>,
    /// From when no other coordinator counts this daemon.
    settled_at: Moment,
    /// Request by which the former coordinator was released. It also asks for tokens in advance, until the new one has
    /// some.
    release: Option<InFlight>,
    /// When the coordinator was last asked.
    last_sent: Option<Moment>,
    in_flight: Option<InFlight>,
    /// The last request whose reply did not come in time; it may still come.
    late: Option<InFlight>,
    misses: u32,
    accounts: HashMap<FlowId, Allowance<T>>,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    sent: Moment,
    wants: Vec<QuotaWant>,
}

impl<T> Default for Group<T> {
    fn default() -> Self {
        Self {
            coordinator: None,
            settled_at: Moment::ZERO,
            release: None,
            last_sent: None,
            in_flight: None,
            late: None,
            misses: 0,
            accounts: HashMap::new(),
        }
    }
}

impl<T> QuotaClient<T> {
    /// A client of the daemon `me` that knows no members. The sequences of its requests begin after `sequence`, a random
    /// number, so that no grant for an earlier process matches one.
    pub fn new(rule: QuotaRule, me: QuotaMember, sequence: u32) -> Self {
        let groups = (0..QUOTA_GROUPS).map(|_| Group::default()).collect();
        Self {
            rule,
            me,
            members: Vec::new(),
            sequence: u64::from(sequence),
            groups,
            silent: BTreeMap::new(),
            changed: true,
        }
    }

    /// Sets the members that may coordinate: those that are not leaving. `me` is the id of this daemon.
    pub fn set_members(&mut self, me: QuotaMember, members: Vec<QuotaMember>) {
        if (me, &members) == (self.me, &self.members) {
            return;
        }
        (self.me, self.members) = (me, members);
        self.silent.retain(|member, _| self.members.contains(member));
        self.changed = true;
        for allowance in self.groups.iter_mut().flat_map(|group| group.accounts.values_mut()) {
            allowance.share_outdated = true;
        }
    }

    /// Decides on a request of the account `flow`. Returns `None` if it waits: the verdict then comes from
    /// [`Self::handle`] or [`Self::poll`], which the caller calls next.
    pub fn request(
        &mut self,
        now: Moment,
        (flow, limit): (FlowId, RateLimit),
        waiter: T,
    ) -> Option<(T, QuotaVerdict)> {
        let group = &mut self.groups[usize::from(quota_group(flow))];
        let allowance = group.accounts.entry(flow).or_insert_with(|| Allowance::new(now, limit));
        if allowance.limit != limit {
            (allowance.limit, allowance.share_outdated) = (limit, true);
        }
        allowance.count(now);
        if let Some(token) = allowance.take(now) {
            return Some((waiter, QuotaVerdict::Admitted(token)));
        }
        if allowance.is_empty(now) {
            let wait = allowance.retry_at.saturating_sub(now);
            return Some((waiter, QuotaVerdict::Refused(wait)));
        }
        allowance.waiting.push_back((now, waiter));
        None
    }

    /// Gives back the token of a request that was refused before it was sent to an upstream. A token that has expired, or
    /// that comes from the static share, is lost.
    pub fn give_back(&mut self, now: Moment, flow: FlowId, token: QuotaToken) {
        let group = &mut self.groups[usize::from(quota_group(flow))];
        if let Some(allowance) = group.accounts.get_mut(&flow).filter(|_| token.is_valid(now)) {
            allowance.add(1, token);
        }
    }

    /// Removes the allowances of accounts that are not `known` any more and for which no request waits.
    pub fn retain(&mut self, known: impl Fn(FlowId) -> bool) {
        for group in &mut self.groups {
            group.accounts.retain(|flow, allowance| known(*flow) || !allowance.waiting.is_empty());
        }
    }

    /// Handles a grant; returns verdicts on requests that waited for it.
    pub fn handle(&mut self, now: Moment, grant: &QuotaGrant) -> Vec<(T, QuotaVerdict)> {
        let answered = |(_, probe): &(Moment, u64)| *probe == grant.sequence;
        if let Some(member) =
            self.silent.iter().find(|(_, probe)| answered(probe)).map(|(id, _)| *id)
        {
            self.silent.remove(&member);
            self.changed = true;
        }
        let Some(group) = self.groups.get_mut(usize::from(grant.group)) else { return Vec::new() };
        let is_reply = |request: &mut InFlight| request.sequence == grant.sequence;
        if let Some(request) = group.release.take_if(is_reply) {
            group.settled_at = now;
            group.add_tokens(&request, grant);
        }
        if let Some(request) = group.in_flight.take_if(is_reply) {
            group.misses = 0;
            return apply(&self.rule, (self.me, &self.members), group, (now, &request), grant);
        }
        if let Some(request) = group.late.take_if(is_reply) {
            group.misses = 0;
            group.add_tokens(&request, grant);
        }
        Vec::new()
    }

    /// Does what is due: chooses coordinators, sends requests, and ends the wait of requests without a grant. Called
    /// after [`Self::request`] and [`Self::handle`], and at least every 20 ms.
    pub fn poll(&mut self, now: Moment) -> QuotaOutput<T> {
        let mut output = QuotaOutput { messages: Vec::new(), verdicts: Vec::new() };
        self.choose_if_changed(now, &mut output.messages);
        self.expire(now, &mut output.verdicts);
        self.choose_if_changed(now, &mut output.messages);
        for id in 0..QUOTA_GROUPS {
            let group = &mut self.groups[usize::from(id)];
            if let Some(message) = group.next_request(now, (id, &mut self.sequence)) {
                output.messages.push(message);
            }
        }
        let probe_interval = PROBE_INTERVAL * (self.silent.len() as u32).div_ceil(MAX_PROBES);
        for (member, probe) in &mut self.silent {
            if now >= probe.0 + probe_interval {
                self.sequence += 1;
                *probe = (now, self.sequence);
                output.messages.push((*member, empty_request(self.sequence, 0)));
            }
        }
        output
    }

    /// Coordinators that do not reply.
    pub fn silent(&self) -> impl Iterator<Item = QuotaMember> {
        self.silent.keys().copied()
    }

    /// Ends waits that took too long.
    fn expire(&mut self, now: Moment, verdicts: &mut Vec<(T, QuotaVerdict)>) {
        for group in &mut self.groups {
            let is_over = |request: &mut InFlight| now >= request.sent + GRANT_TIMEOUT;
            if let Some(request) = group.in_flight.take_if(is_over) {
                group.late = Some(request);
                group.misses += 1;
            }
            if group.misses >= MAX_MISSES
                && let Some(member) = group.coordinator
            {
                self.silent.entry(member).or_insert((now, 0));
                self.changed = true;
            }
            let is_alone = group.coordinator.is_none();
            for (flow, allowance) in &mut group.accounts {
                let is_over = |at: Moment| is_alone || now >= at + GRANT_TIMEOUT;
                while allowance.waiting.front().is_some_and(|(at, _)| is_over(*at)) {
                    let Some((_, waiter)) = allowance.waiting.pop_front() else { break };
                    let members = (self.me, self.members.as_slice());
                    verdicts.push((
                        waiter,
                        static_verdict(&self.rule, members, allowance, (now, *flow)),
                    ));
                }
            }
        }
    }

    /// Chooses the coordinator of each group, if the members or those that reply have changed.
    fn choose_if_changed(&mut self, now: Moment, messages: &mut Vec<(QuotaMember, QuotaRequest)>) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        for id in 0..QUOTA_GROUPS {
            let group = &mut self.groups[usize::from(id)];
            let candidates = self.members.iter().filter(|id| !self.silent.contains_key(id));
            let chosen = candidates.max_by_key(|member| score(u64::from(id), **member)).copied();
            if chosen == group.coordinator {
                continue;
            }
            group.settled_at = group.settled_at.max(group.counted_until());
            if let Some(former) = group.coordinator
                && !self.silent.contains_key(&former)
            {
                self.sequence += 1;
                let wants = group.wants(now, |_| 0);
                let accounts = wants.clone();
                group.release = Some(InFlight { sequence: self.sequence, sent: now, wants });
                messages.push((
                    former,
                    QuotaRequest { released: true, accounts, ..empty_request(self.sequence, id) },
                ));
            } else {
                group.release = None;
            }
            (group.coordinator, group.misses) = (chosen, 0);
            (group.last_sent, group.in_flight, group.late) = (None, None, None);
        }
    }
}

impl<T> Group<T> {
    /// Until when the coordinator may count this daemon.
    fn counted_until(&self) -> Moment {
        self.last_sent.map_or(Moment::ZERO, |sent| sent + COUNTED_TIME)
    }

    /// The next request to the coordinator, if one is due.
    fn next_request(
        &mut self,
        now: Moment,
        (id, sequence): (QuotaGroupId, &mut u64),
    ) -> Option<(QuotaMember, QuotaRequest)> {
        let coordinator = self.coordinator?;
        let passed = |time: Duration| self.last_sent.is_none_or(|sent| now >= sent + time);
        if self.in_flight.is_some() || !passed(MIN_INTERVAL) {
            return None;
        }
        // A request that was lost is sent again at once, to find out whether the coordinator is.
        let is_count_due = passed(COUNT_INTERVAL) || self.misses > 0;
        let wants = self.wants(now, |allowance| allowance.waiting.len() as u32);
        // Tokens in advance alone are no reason for a datagram: a coordinator that has none would be asked all the time.
        if wants.iter().all(|want| want.waiting == 0) && !is_count_due {
            return None;
        }
        *sequence += 1;
        self.last_sent = Some(now);
        self.in_flight = Some(InFlight { sequence: *sequence, sent: now, wants: wants.clone() });
        let settled = now >= self.settled_at;
        let request = QuotaRequest { settled, accounts: wants, ..empty_request(*sequence, id) };
        Some((coordinator, request))
    }

    /// What this daemon wants for the accounts of the group, with the number of requests that wait by `waiting`.
    fn wants(&mut self, now: Moment, waiting: impl Fn(&Allowance<T>) -> u32) -> Vec<QuotaWant> {
        let want = |(flow, allowance): (&FlowId, &mut Allowance<T>)| {
            let (waiting, spare) = (waiting(allowance), allowance.spare_wanted(now));
            QuotaWant { flow: *flow, waiting, spare }
        };
        let is_any = |want: &QuotaWant| want.waiting > 0 || want.spare > 0;
        self.accounts.iter_mut().map(want).filter(is_any).take(MAX_WANTS).collect()
    }

    /// Adds the tokens of a grant.
    fn add_tokens(&mut self, request: &InFlight, grant: &QuotaGrant) {
        for share in &grant.accounts {
            let want = request.wants.iter().find(|want| want.flow == share.flow);
            let allowance = self.accounts.get_mut(&share.flow);
            let (Some(want), Some(allowance)) = (want, allowance) else { continue };
            let granted = share.granted.min(want.waiting + want.spare);
            let waited = granted.min(want.waiting);
            allowance.add(waited, QuotaToken { expires: request.sent + TOKEN_TIME });
            allowance.add(granted - waited, QuotaToken { expires: request.sent + SPARE_TIME });
        }
    }
}

/// Applies the reply to `request`; returns the verdicts on the requests that waited for it.
fn apply<T>(
    rule: &QuotaRule,
    members: (QuotaMember, &[QuotaMember]),
    group: &mut Group<T>,
    (now, request): (Moment, &InFlight),
    grant: &QuotaGrant,
) -> Vec<(T, QuotaVerdict)> {
    group.add_tokens(request, grant);
    let mut verdicts = Vec::new();
    for want in &request.wants {
        let Some(allowance) = group.accounts.get_mut(&want.flow) else { continue };
        while !allowance.waiting.is_empty()
            && let Some(token) = allowance.take(now)
            && let Some((_, waiter)) = allowance.waiting.pop_front()
        {
            verdicts.push((waiter, QuotaVerdict::Admitted(token)));
        }
        match grant.accounts.iter().find(|share| share.flow == want.flow) {
            Some(share) if share.granted < want.waiting => {
                let wait = Duration::from_millis(u64::from(share.wait_ms)).min(MAX_WAIT);
                allowance.set_empty(now, wait, MAX_EMPTY_TIME);
                let waiting = allowance.waiting.drain(..);
                verdicts.extend(waiting.map(|(_, waiter)| (waiter, QuotaVerdict::Refused(wait))));
            }
            Some(_) => {}
            // The coordinator does not know the account yet, or counts too few daemons.
            None => {
                while let Some((_, waiter)) = allowance.waiting.pop_front() {
                    let verdict = static_verdict(rule, members, allowance, (now, want.flow));
                    verdicts.push((waiter, verdict));
                }
            }
        }
    }
    verdicts
}

/// The verdict on a request of the account `flow` by the static share.
fn static_verdict<T>(
    rule: &QuotaRule,
    members: (QuotaMember, &[QuotaMember]),
    allowance: &mut Allowance<T>,
    (now, flow): (Moment, FlowId),
) -> QuotaVerdict {
    if std::mem::take(&mut allowance.share_outdated) {
        allowance.share.set((rule, allowance.limit), flow, members);
    }
    if allowance.share.try_take(now) {
        return QuotaVerdict::Admitted(QuotaToken::STATIC);
    }
    QuotaVerdict::Refused(allowance.share.wait(MAX_WAIT))
}

/// A request without wants, by which the receiver does not count the sender.
fn empty_request(sequence: u64, group: QuotaGroupId) -> QuotaRequest {
    QuotaRequest { sequence, group, settled: false, released: false, accounts: Vec::new() }
}

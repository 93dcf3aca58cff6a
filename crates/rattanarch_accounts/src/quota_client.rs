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
use crate::token_bucket::LONG_TOKEN_TIME;
use crate::token_bucket::MAX_WAIT;
use crate::token_bucket::SPARE_TIME;

/// Longest time that a request waits for a grant. A reply usually takes 3 ms; that of a machine with a tenth of a core and
/// a link of 10 Mbit/s often over 60 ms, at times 400 ms, and the first late one is noticed after [`SLOW_REPLY`].
pub(crate) const GRANT_TIMEOUT: Duration = LONG_TOKEN_TIME;

/// Reply time above which a coordinator is slow: its tokens are asked for with a longer validity.
const SLOW_REPLY: Duration = Duration::from_millis(60);

/// Time after which a request to a slow coordinator is sent again under its sequence, which costs no further tokens. Twice
/// within [`GRANT_TIMEOUT`], since a datagram may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Part by which the measured reply time follows a lower one; a higher one is taken over at once.
const REPLY_TIME_RATIO: f64 = 0.125;

/// How long a token for a request that waited is valid, counted from the daemon's request: it may arrive late, or be
/// given back. Tokens of a slow coordinator are valid for [`LONG_TOKEN_TIME`], within the bound on tokens in advance.
const TOKEN_TIME: Duration = Duration::from_millis(200);

/// Interval of requests without a want, by which a coordinator counts this daemon: two in [`COUNTED_TIME`].
const COUNT_INTERVAL: Duration = Duration::from_millis(900);

/// Shortest time between two requests for one group, so that wants are gathered.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// The same with a slow coordinator, which may be slow because of the number of datagrams.
const SLOW_MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time without any reply to a request within [`GRANT_TIMEOUT`] after which a coordinator is not asked any more. A machine
/// that is busy for a moment replies after 400 ms, or some 200 ms later if a datagram is lost, and a change of the
/// coordinator costs the account 2 s.
const SILENCE_TIME: Duration = Duration::from_millis(700);

/// Longest time between two calls that counts towards [`SILENCE_TIME`]: after a longer one this daemon was paused, and
/// replies have arrived that it has not read yet.
const MAX_SILENCE_STEP: Duration = Duration::from_millis(100);

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
    last_poll: Moment,
}

#[derive(Debug)]
struct Group<T> {
    coordinator: Option<QuotaMember>,
    /// From when no other coordinator counts this daemon.
    settled_at: Moment,
    /// Request by which the former coordinator was released. It also asks for tokens in advance, until the new one has
    /// some.
    release: Option<InFlight>,
    /// When the coordinator was last asked, also by a request that was sent again.
    last_sent: Option<Moment>,
    /// When the last new request was sent.
    last_requested: Option<Moment>,
    /// Requests without a reply, oldest first.
    in_flight: Vec<InFlight>,
    /// Time since the first request after the coordinator's last reply within [`GRANT_TIMEOUT`]; `None` without such a
    /// request.
    silence: Option<Duration>,
    /// Time that the coordinator takes to reply; follows a lower one slowly.
    reply_time: Duration,
    accounts: HashMap<FlowId, Allowance<T>>,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    /// When it was sent first.
    sent: Moment,
    /// When it was sent last.
    resent: Moment,
    long_valid: bool,
    /// Whether a reply would be too late for the requests that wait, so that those left are asked for once more.
    is_superseded: bool,
    /// Whether a later request was answered: its missing reply says nothing about the reply time then.
    is_overtaken: bool,
    wants: Vec<QuotaWant>,
}

impl<T> Default for Group<T> {
    fn default() -> Self {
        Self {
            coordinator: None,
            settled_at: Moment::ZERO,
            release: None,
            last_sent: None,
            last_requested: None,
            in_flight: Vec::new(),
            silence: None,
            reply_time: Duration::ZERO,
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
            last_poll: Moment::ZERO,
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

    /// Refuses a request of the account `flow` before its body has been read, if the coordinator is known to have no token.
    /// Returns the time until there is expected to be one; `None` if [`Self::request`] decides once the body has been read.
    pub fn refuse_early(&mut self, now: Moment, flow: FlowId) -> Option<Duration> {
        let group = &mut self.groups[usize::from(quota_group(flow))];
        let allowance = group.accounts.get_mut(&flow)?;
        if !allowance.is_empty(now) || allowance.has_token(now) {
            return None;
        }
        allowance.count(now);
        Some(allowance.retry_at.saturating_sub(now))
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
        // After a later reply the coordinator would be regarded as silent again at once.
        let answered =
            |(sent, probe): &(Moment, u64)| *probe == grant.sequence && now < *sent + GRANT_TIMEOUT;
        if let Some(member) =
            self.silent.iter().find(|(_, probe)| answered(probe)).map(|(id, _)| *id)
        {
            self.silent.remove(&member);
            self.changed = true;
        }
        let Some(group) = self.groups.get_mut(usize::from(grant.group)) else { return Vec::new() };
        if let Some(request) = group.release.take_if(|release| release.sequence == grant.sequence) {
            group.settled_at = now;
            group.add_tokens(&request, grant);
        }
        let is_reply = |request: &InFlight| request.sequence == grant.sequence;
        let Some(index) = group.in_flight.iter().position(is_reply) else { return Vec::new() };
        let request = group.in_flight.remove(index);
        // The requests that waited for a later reply have ended.
        if now < request.sent + GRANT_TIMEOUT {
            group.silence = None;
        }
        let earlier = group.in_flight.iter_mut().filter(|other| other.sequence < request.sequence);
        earlier.for_each(|other| other.is_overtaken = true);
        // It is unknown which of the datagrams was answered if the request was sent again.
        if request.resent == request.sent {
            group.measure_reply(now.saturating_sub(request.sent));
        }
        apply(&self.rule, (self.me, &self.members), group, (now, &request), grant)
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
            group.resend(now, id, &mut output.messages);
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
        let passed = now.saturating_sub(self.last_poll).min(MAX_SILENCE_STEP);
        self.last_poll = now;
        for group in &mut self.groups {
            // Tokens that arrive later have expired.
            group.in_flight.retain(|request| now < request.sent + SPARE_TIME);
            if let Some(silence) = &mut group.silence {
                *silence += passed;
            }
            if group.silence >= Some(SILENCE_TIME)
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
                let wants = group.wants(now, false);
                let accounts = wants.clone();
                group.release = Some(InFlight::new(self.sequence, now, (wants, false)));
                messages.push((
                    former,
                    QuotaRequest { released: true, accounts, ..empty_request(self.sequence, id) },
                ));
            } else {
                group.release = None;
            }
            (group.coordinator, group.reply_time) = (chosen, Duration::ZERO);
            (group.last_sent, group.last_requested, group.silence) = (None, None, None);
            group.in_flight.clear();
        }
    }
}

impl InFlight {
    fn new(sequence: u64, now: Moment, (wants, long_valid): (Vec<QuotaWant>, bool)) -> Self {
        let (sent, resent) = (now, now);
        let (is_superseded, is_overtaken) = (false, false);
        Self { sequence, sent, resent, long_valid, is_superseded, is_overtaken, wants }
    }

    /// What it wants for the account `flow`.
    fn want(&self, flow: FlowId) -> Option<&QuotaWant> {
        self.wants.iter().find(|want| want.flow == flow)
    }
}

impl<T> Group<T> {
    /// Measures the time that a reply took.
    fn measure_reply(&mut self, time: Duration) {
        let decrease = self.reply_time.saturating_sub(time).mul_f64(REPLY_TIME_RATIO);
        self.reply_time = time.max(self.reply_time.saturating_sub(decrease));
    }

    fn is_slow(&self) -> bool {
        self.reply_time >= SLOW_REPLY
    }

    /// Number of requests of the account `flow` that wait for a reply which is under way.
    fn asked(&self, flow: FlowId) -> usize {
        let current = self.in_flight.iter().filter(|request| !request.is_superseded);
        current.filter_map(|request| request.want(flow)).map(|want| want.waiting as usize).sum()
    }

    /// Sends requests without a reply again. One whose tokens would be valid for a short time is replaced by a new one
    /// instead: they may have expired when they arrive.
    fn resend(
        &mut self,
        now: Moment,
        id: QuotaGroupId,
        messages: &mut Vec<(QuotaMember, QuotaRequest)>,
    ) {
        let Some(coordinator) = self.coordinator else { return };
        let settled = now >= self.settled_at;
        for request in self.in_flight.iter_mut().filter(|request| !request.is_superseded) {
            // The requests that waited for a long-valid one have ended then.
            let max_wait = if request.long_valid { GRANT_TIMEOUT } else { SLOW_REPLY };
            request.is_superseded = now >= request.sent + max_wait;
            let is_resend_due = request.long_valid && now >= request.resent + RESEND_INTERVAL;
            if is_resend_due && !request.is_superseded {
                request.resent = now;
                self.last_sent = Some(now);
                self.silence.get_or_insert_default();
                let message = empty_request(request.sequence, id);
                let accounts = request.wants.clone();
                let message = QuotaRequest { settled, long_valid: true, accounts, ..message };
                messages.push((coordinator, message));
            }
        }
        let superseded =
            self.in_flight.iter().filter(|request| request.is_superseded && !request.is_overtaken);
        if let Some(late) = superseded.map(|request| now.saturating_sub(request.sent)).max() {
            self.reply_time = self.reply_time.max(late.min(SILENCE_TIME));
        }
    }

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
        // Requests that are sent again don't delay new ones.
        let passed = |time: Duration| self.last_requested.is_none_or(|sent| now >= sent + time);
        if !passed(if self.is_slow() { SLOW_MIN_INTERVAL } else { MIN_INTERVAL }) {
            return None;
        }
        // A request that was lost is sent again at once, to find out whether the coordinator is.
        let mut unanswered =
            self.in_flight.iter().filter(|request| !request.is_overtaken).peekable();
        let is_lost = unanswered.peek().is_some() && unanswered.all(|r| r.is_superseded);
        let is_count_due = passed(COUNT_INTERVAL) || is_lost;
        let wants = self.wants(now, true);
        // Tokens in advance alone are no reason for a datagram: a coordinator that has none would be asked all the time.
        if wants.iter().all(|want| want.waiting == 0) && !is_count_due {
            return None;
        }
        *sequence += 1;
        (self.last_sent, self.last_requested) = (Some(now), Some(now));
        self.silence.get_or_insert_default();
        let (settled, long_valid) = (now >= self.settled_at, self.is_slow());
        self.in_flight.push(InFlight::new(*sequence, now, (wants.clone(), long_valid)));
        let request = empty_request(*sequence, id);
        let request = QuotaRequest { settled, long_valid, accounts: wants, ..request };
        Some((coordinator, request))
    }

    /// What this daemon wants for the accounts of the group and has not asked for yet: with `with_waiting` tokens for the
    /// requests that wait, and tokens in advance.
    fn wants(&mut self, now: Moment, with_waiting: bool) -> Vec<QuotaWant> {
        let mut wants = Vec::new();
        let mut accounts = std::mem::take(&mut self.accounts);
        for (flow, allowance) in &mut accounts {
            let waiting = allowance.waiting.len().saturating_sub(self.asked(*flow));
            let waiting = if with_waiting { waiting as u32 } else { 0 };
            let current = self.in_flight.iter().filter(|request| !request.is_superseded);
            let is_spare_asked =
                current.filter_map(|request| request.want(*flow)).any(|want| want.spare > 0);
            let spare = if is_spare_asked { 0 } else { allowance.spare_wanted(now) };
            if wants.len() < MAX_WANTS && (waiting > 0 || spare > 0) {
                wants.push(QuotaWant { flow: *flow, waiting, spare });
            }
        }
        self.accounts = accounts;
        wants
    }

    /// Adds the tokens of a grant.
    fn add_tokens(&mut self, request: &InFlight, grant: &QuotaGrant) {
        // A coordinator of an earlier version does not know the longer validity.
        let is_long = request.long_valid && grant.long_valid;
        let token_time = if is_long { LONG_TOKEN_TIME } else { TOKEN_TIME };
        for share in &grant.accounts {
            let allowance = self.accounts.get_mut(&share.flow);
            let (Some(want), Some(allowance)) = (request.want(share.flow), allowance) else {
                continue;
            };
            let granted = share.granted.min(want.waiting + want.spare);
            let waited = granted.min(want.waiting);
            allowance.add(waited, QuotaToken { expires: request.sent + token_time });
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
        // These get their verdicts from other replies.
        let asked = group.asked(want.flow);
        let Some(allowance) = group.accounts.get_mut(&want.flow) else { continue };
        while !allowance.waiting.is_empty()
            && let Some(token) = allowance.take(now)
            && let Some((_, waiter)) = allowance.waiting.pop_front()
        {
            verdicts.push((waiter, QuotaVerdict::Admitted(token)));
        }
        let ended = allowance.waiting.len().saturating_sub(asked);
        match grant.accounts.iter().find(|share| share.flow == want.flow) {
            Some(share) if share.granted < want.waiting => {
                let wait = Duration::from_millis(u64::from(share.wait_ms)).min(MAX_WAIT);
                allowance.set_empty(now, wait, MAX_EMPTY_TIME);
                let waiting = allowance.waiting.drain(..ended);
                verdicts.extend(waiting.map(|(_, waiter)| (waiter, QuotaVerdict::Refused(wait))));
            }
            Some(_) => {}
            // The coordinator does not know the account yet, or counts too few daemons.
            None => {
                for _ in 0..ended {
                    let Some((_, waiter)) = allowance.waiting.pop_front() else { break };
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
    let (settled, released, long_valid) = (false, false, false);
    QuotaRequest { sequence, group, settled, released, long_valid, accounts: Vec::new() }
}

//! What one daemon asks of coordinators, and what it does with their grants.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_accounts::QUOTA_GROUPS;
use rattanarch_accounts::QuotaClient;
use rattanarch_accounts::QuotaCoordinator;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaMember;
use rattanarch_accounts::QuotaOutput;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaRule;
use rattanarch_accounts::QuotaShare;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_accounts::QuotaWant;
use rattanarch_accounts::RateLimit;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;

const RULE: QuotaRule = QuotaRule { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };

/// An account of group 0.
const FLOW: FlowId = QUOTA_GROUPS as FlowId;

const START: Moment = Duration::from_secs(100);

/// How long a coordinator counts a daemon after its last request.
const COUNTED: Duration = Duration::from_secs(2);

/// How long a request waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long tokens of a slow coordinator are valid.
const LONG_TOKEN_TIME: Duration = GRANT_TIMEOUT;

fn client() -> QuotaClient<u32> {
    let mut client = QuotaClient::new(RULE, 9, 1);
    client.set_members(9, vec![1, 2]);
    client
}

fn ask(client: &mut QuotaClient<u32>, now: Moment, id: u32) -> Option<(u32, QuotaVerdict)> {
    client.request(now, (FLOW, RateLimit::new(10.0, 10.0).expect("limit is valid")), id)
}

/// The requests for group 0 in `output`.
fn requests(output: &QuotaOutput<u32>) -> Vec<&(QuotaMember, QuotaRequest)> {
    output.messages.iter().filter(|(_, request)| request.group == 0).collect()
}

/// Replies to `request` with a grant of `granted` tokens for `FLOW`.
fn grant(request: &QuotaRequest, granted: u32, wait_ms: u32) -> QuotaGrant {
    let accounts = vec![QuotaShare { flow: FLOW, granted, wait_ms }];
    QuotaGrant {
        sequence: request.sequence,
        group: request.group,
        long_valid: request.long_valid,
        accounts,
    }
}

/// Guards against a daemon that two coordinators count at once, so that both grant a share for it.
#[test]
fn settled_later() {
    let mut client = client();
    let first = client.poll(START);
    let (coordinator, request) = requests(&first)[0];
    assert!(request.settled, "no other coordinator has counted it");
    let mut last_sent = START;
    let (mut now, mut changed) = (START, None);
    while now < START + COUNTED * 3 {
        now += Duration::from_millis(10);
        let output = client.poll(now);
        for (member, request) in requests(&output).into_iter().filter(|(_, r)| !r.released) {
            if member == coordinator {
                last_sent = if request.settled { now } else { last_sent };
            } else {
                changed = changed.or(request.settled.then_some(now));
            }
        }
        for (_, request) in output.messages.iter().filter(|(member, _)| member != coordinator) {
            client.handle(now, &grant(request, 0, 0));
        }
    }
    let changed = changed.expect("the other member coordinates");
    assert!(changed >= last_sent + COUNTED, "{:?} too early", last_sent + COUNTED - changed);
}

/// Guards against a planned change that leaves a daemon uncounted for long, or counted twice.
#[test]
fn settled_by_release() {
    let mut client = client();
    let first = client.poll(START);
    let coordinator = requests(&first)[0].0;
    client.handle(START, &grant(&requests(&first)[0].1, 0, 0));
    let now = START + Duration::from_millis(50);
    client.set_members(9, vec![3 - coordinator]);
    let output = client.poll(now);
    let [(to, release), (next, request)] = requests(&output)[..] else { panic!("{output:?}") };
    assert_eq!(
        (*to, release.released, *next, request.settled),
        (coordinator, true, 3 - coordinator, false)
    );
    client.handle(now, &grant(request, 0, 0));
    client.handle(now, &grant(release, 0, 0));
    let later = client.poll(now + Duration::from_secs(1));
    assert!(requests(&later)[0].1.settled, "it was released");
}

/// Guards against requests that wait for ever, tokens that are used twice or too late, and a time to return that is lost.
#[test]
fn tokens() {
    let mut client = client();
    assert!(ask(&mut client, START, 1).is_none() && ask(&mut client, START, 2).is_none());
    let output = client.poll(START);
    let request = &requests(&output)[0].1;
    assert_eq!(request.accounts[0].waiting, 2);
    let verdicts = client.handle(START, &grant(request, 1, 300));
    let [(1, QuotaVerdict::Admitted(token)), (2, QuotaVerdict::Refused(wait))] = verdicts[..]
    else {
        panic!("{verdicts:?}")
    };
    assert_eq!(wait, Duration::from_millis(300));
    assert!(client.handle(START, &grant(request, 1, 0)).is_empty(), "a grant counts once");
    let now = START + Duration::from_millis(50);
    let refused = ask(&mut client, now, 3);
    assert_eq!(refused, Some((3, QuotaVerdict::Refused(Duration::from_millis(250)))));
    client.give_back(now, FLOW, token);
    assert_eq!(ask(&mut client, now, 4), Some((4, QuotaVerdict::Admitted(token))));
    client.give_back(now, FLOW, token);
    let late = START + Duration::from_millis(210);
    assert!(ask(&mut client, late, 5).is_none(), "the token has expired");
    assert!(ask(&mut client, late, 6).is_none(), "there is none");
    client.poll(late);
    let early = client.poll(late + GRANT_TIMEOUT - Duration::from_millis(10));
    assert!(early.verdicts.is_empty(), "a late grant may still arrive");
    // By then the static share has a token for one of them.
    let end = client.poll(late + GRANT_TIMEOUT);
    let [(5, QuotaVerdict::Admitted(share)), (6, QuotaVerdict::Refused(_))] = end.verdicts[..]
    else {
        panic!("{:?}", end.verdicts)
    };
    assert!(share.is_static());
}

/// The request in `output` that has tokens of `FLOW` asked for waiting requests.
fn waiting_request(output: &QuotaOutput<u32>) -> Option<QuotaRequest> {
    let mut requests = requests(output).into_iter().map(|(_, request)| request);
    requests.find(|request| request.accounts.iter().any(|want| want.waiting > 0)).cloned()
}

/// Guards against a request that is refused, or whose coordinator is regarded as silent, because a grant takes 400 ms;
/// against the use of a token that has expired meanwhile; and against tokens of an earlier version's coordinator that are
/// used for longer than it assumes.
#[test]
fn late_grant() {
    for knows_long_validity in [true, false] {
        let mut client = client();
        client.set_members(9, vec![1]);
        assert!(ask(&mut client, START, 1).is_none());
        let first = waiting_request(&client.poll(START)).expect("the coordinator is asked");
        assert!(!first.long_valid);
        let mut sent = Vec::new();
        for step in 1..=40 {
            let now = START + Duration::from_millis(10) * step;
            let output = client.poll(now);
            assert!(output.verdicts.is_empty(), "no verdict before the grant");
            sent.extend(waiting_request(&output).map(|request| (now, request)));
        }
        let (second_sent, second) = sent[0].clone();
        assert!(second.long_valid && sent.iter().all(|(_, r)| r.sequence == second.sequence));
        assert_eq!(second_sent, START + Duration::from_millis(60));
        let now = START + Duration::from_millis(400);
        assert!(client.handle(now, &grant(&first, 1, 0)).is_empty(), "its token has expired");
        let now = now + Duration::from_millis(60);
        let reply = QuotaGrant { long_valid: knows_long_validity, ..grant(&second, 1, 0) };
        let verdicts = client.handle(now, &reply);
        if knows_long_validity {
            assert!(matches!(verdicts[..], [(1, QuotaVerdict::Admitted(_))]), "{verdicts:?}");
        } else {
            assert!(verdicts.is_empty(), "{verdicts:?}");
        }
        assert_eq!(client.silent().count(), 0);
    }
}

/// Guards against coordinators that are regarded as silent because this daemon was paused.
#[test]
fn own_pause() {
    let mut client = client();
    let first = client.poll(START);
    let now = START + Duration::from_secs(3);
    client.poll(now);
    assert_eq!(client.silent().count(), 0, "their replies have not been read yet");
    for (_, request) in &first.messages {
        client.handle(now, &grant(request, 0, 0));
    }
}

/// Guards against a request that takes tokens twice because it was sent again.
#[test]
fn repeated_request() {
    let mut coordinator = QuotaCoordinator::new(RULE, START);
    let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let limit = |_| RateLimit::new(10.0, 10.0);
    let request = |sequence, waiting, long_valid| QuotaRequest {
        sequence,
        group: 0,
        settled: true,
        released: false,
        long_valid,
        accounts: vec![QuotaWant { flow: FLOW, waiting, spare: 0 }],
    };
    let mut now = START;
    while now < START + Duration::from_secs(2) {
        coordinator.handle(now, from, &request(1, 0, false), limit);
        now += Duration::from_millis(100);
        coordinator.advance(now);
    }
    let granted = coordinator.handle(now, from, &request(2, 6, true), limit);
    assert_eq!(granted.accounts[0].granted, 6);
    assert_eq!(coordinator.handle(now, from, &request(2, 6, true), limit), granted);
    let rest = coordinator.handle(now, from, &request(3, 100, true), limit);
    assert_eq!(rest.accounts[0].granted, 4, "the burst is 10");
}

/// Guards against an early refusal although a token is left or the coordinator may have some, and against a check that
/// takes a token.
#[test]
fn refused_early() {
    let mut client = client();
    assert_eq!(client.refuse_early(START, FLOW), None, "nothing is known of the account");
    assert!(ask(&mut client, START, 1).is_none() && ask(&mut client, START, 2).is_none());
    assert_eq!(client.refuse_early(START, FLOW), None, "the coordinator decides");
    let request = waiting_request(&client.poll(START)).expect("the coordinator is asked");
    let verdicts = client.handle(START, &grant(&request, 1, 300));
    let Some((1, QuotaVerdict::Admitted(token))) = verdicts.first().copied() else {
        panic!("{verdicts:?}")
    };
    let now = START + Duration::from_millis(50);
    assert_eq!(client.refuse_early(now, FLOW), Some(Duration::from_millis(250)));
    client.give_back(now, FLOW, token);
    assert_eq!(client.refuse_early(now, FLOW), None, "there is a token");
    assert_eq!(
        ask(&mut client, now, 3),
        Some((3, QuotaVerdict::Admitted(token))),
        "none was taken"
    );
    let later = START + Duration::from_millis(110);
    assert_eq!(client.refuse_early(later, FLOW), None, "the coordinator is asked again");
}

/// Guards against tokens that are valid for long and used together at their end, so that more run in a window than the
/// table of the bound allows for the bucket and tokens in advance, while a coordinator's replies are late.
#[test]
fn long_valid_bound() {
    for (rate, burst) in [(10.0, 10.0), (100.0, 100.0), (100.0, 5.0), (20.0, 0.0), (2.0, 60.0)] {
        let allowed = 5.15 * rate + 1.05 * burst + 2.0 + 2.0;
        let most = [1, 5, 40].map(|period| most_usable(rate, burst, period));
        eprintln!("rate {rate}, burst {burst}: {most:?} of {allowed}");
        assert!(most.iter().all(|most| f64::from(*most) <= allowed), "{most:?} of {allowed}");
        let room = 0.15 * rate + 1.05 * burst + 2.0;
        let usable = rate.min(room.floor() / LONG_TOKEN_TIME.as_secs_f64());
        assert!(f64::from(most[0]) >= 4.5 * usable, "{most:?} with the rate {rate}");
    }
}

/// Most tokens of a coordinator that can be used in one window, by requests with `long_valid`: 30 for requests that wait
/// every `period` steps of 20 ms and one in each other step, and always 20 in advance, at some times none at all.
fn most_usable(rate: f64, burst: f64, period: u64) -> u32 {
    let limit = RateLimit::new(rate, burst);
    let mut coordinator = QuotaCoordinator::new(RULE, START);
    let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut grants = Vec::new();
    for index in 0..1_500 {
        let now = START + Duration::from_millis(20) * index as u32;
        // The bucket is full when demand begins.
        let is_busy = index % 600 > 250;
        let waiting = if index % period == 0 { 30 } else { 1 };
        let (waiting, spare) = if is_busy { (waiting, 20) } else { (0, 0) };
        let request = QuotaRequest {
            sequence: index,
            group: 0,
            settled: true,
            released: false,
            long_valid: true,
            accounts: vec![QuotaWant { flow: FLOW, waiting, spare }],
        };
        let grant = coordinator.handle(now, from, &request, |_| limit);
        let granted = grant.accounts.first().map_or(0, |share| share.granted);
        let waited = granted.min(waiting);
        grants.push((now, now + LONG_TOKEN_TIME, waited));
        grants.push((now, now + Duration::from_secs(1), granted - waited));
    }
    let usable = |start: Moment| -> u32 {
        let inside =
            grants.iter().filter(|(at, end, _)| *end >= start && *at <= start + RULE.window);
        inside.map(|(_, _, granted)| granted).sum()
    };
    grants.iter().map(|(_, end, _)| usable(*end)).max().unwrap_or_default()
}

/// Guards against a coordinator that is never regarded as silent although its replies, also those to probes, come after
/// the requests that waited for them have ended.
#[test]
fn late_replies_are_silence() {
    let mut client = client();
    client.set_members(9, vec![1]);
    let mut pending: Vec<(Moment, QuotaRequest)> = Vec::new();
    let delay = Duration::from_millis(650);
    let mut silent_since = None;
    for step in 0..400 {
        let now = START + Duration::from_millis(10) * step;
        if step % 10 == 0 {
            ask(&mut client, now, step);
        }
        let output = client.poll(now);
        pending.extend(output.messages.into_iter().map(|(_, request)| (now, request)));
        for (_, request) in pending.extract_if(.., |(sent, _)| now >= *sent + delay) {
            client.handle(now, &grant(&request, 1, 0));
        }
        if client.silent().count() == 0 {
            assert!(silent_since.is_none(), "a late reply to a probe counts");
        } else {
            silent_since = silent_since.or(Some(now));
        }
    }
    let silent_since = silent_since.expect("it is silent");
    assert!(silent_since < START + Duration::from_secs(1), "{:?}", silent_since - START);
}

/// Guards against a request that is sent again when its tokens have expired.
#[test]
fn no_resend_after_timeout() {
    let mut client = client();
    client.set_members(9, vec![1]);
    let mut last_sent = std::collections::HashMap::new();
    assert!(ask(&mut client, START, 1).is_none());
    for step in 0..=69 {
        let now = START + Duration::from_millis(10) * step;
        for (_, request) in requests(&client.poll(now)) {
            let sent = last_sent.entry(request.sequence).or_insert((now, 0));
            assert!(now < sent.0 + GRANT_TIMEOUT, "sent again after {:?}", now - sent.0);
            sent.1 += 1;
        }
    }
    assert!(last_sent.values().any(|(_, count)| *count == 3), "{last_sent:?}");
}

/// Polls `client`, and answers the requests for groups other than 0.
fn poll_group(client: &mut QuotaClient<u32>, now: Moment) -> QuotaOutput<u32> {
    let output = client.poll(now);
    for (_, request) in output.messages.iter().filter(|(_, request)| request.group != 0) {
        client.handle(now, &QuotaGrant { accounts: Vec::new(), ..grant(request, 0, 0) });
    }
    output
}

/// Has the coordinator regarded as slow by a reply after 100 ms; returns the time afterwards.
fn slow_down(client: &mut QuotaClient<u32>) -> Moment {
    assert!(ask(client, START, 1).is_none());
    let first = poll_group(client, START);
    let first = requests(&first)[0].1.clone();
    let late = START + Duration::from_millis(100);
    let second = waiting_request(&poll_group(client, late)).expect("it is asked again");
    client.handle(late, &grant(&first, 0, 0));
    client.handle(late, &grant(&second, 1, 0));
    late
}

/// Guards against new requests that are held back by a request that is sent again.
#[test]
fn resend_does_not_delay() {
    let mut client = client();
    client.set_members(9, vec![1]);
    let now = slow_down(&mut client) + Duration::from_millis(100);
    assert!(ask(&mut client, now, 2).is_none());
    let sent = waiting_request(&poll_group(&mut client, now)).expect("the coordinator is asked");
    assert!(sent.long_valid);
    let later = now + Duration::from_millis(200);
    let again = waiting_request(&poll_group(&mut client, later)).expect("it is asked again");
    assert_eq!(again.sequence, sent.sequence);
    let later = later + Duration::from_millis(10);
    assert!(ask(&mut client, later, 3).is_none());
    let new =
        waiting_request(&poll_group(&mut client, later)).expect("the new request is not held back");
    assert_ne!(new.sequence, sent.sequence);
}

/// Guards against a new request for which no token is asked, since an earlier one without a reply is taken to ask for it.
#[test]
fn asked_after_timeout() {
    let mut client = client();
    client.set_members(9, vec![1]);
    let begin = slow_down(&mut client) + Duration::from_millis(100);
    assert!(ask(&mut client, begin, 2).is_none());
    let lost = waiting_request(&poll_group(&mut client, begin)).expect("the coordinator is asked");
    for step in 1..60 {
        poll_group(&mut client, begin + Duration::from_millis(10) * step);
    }
    let now = begin + GRANT_TIMEOUT;
    assert!(ask(&mut client, now, 3).is_none());
    let new = waiting_request(&poll_group(&mut client, now)).expect("a token is asked for");
    assert_ne!(new.sequence, lost.sequence);
}

/// Guards against a coordinator with fast replies that counts as slow, and is asked at each interval, for as long as a
/// lost request is kept.
#[test]
fn lost_datagram_is_no_slow_reply() {
    let mut client = client();
    client.set_members(9, vec![1]);
    assert!(ask(&mut client, START, 1).is_none());
    let lost = poll_group(&mut client, START);
    let lost = requests(&lost)[0].1.sequence;
    let (mut asked, mut last) = (0, None);
    for step in 1..=30 {
        let now = START + Duration::from_millis(10) * step;
        if step == 25 {
            assert!(ask(&mut client, now, 2).is_none());
        }
        let output = poll_group(&mut client, now);
        for (_, request) in requests(&output) {
            assert_ne!(request.sequence, lost);
            asked += 1;
            last = Some(request.clone());
            client
                .handle(now, &grant(request, request.accounts.first().map_or(0, |w| w.waiting), 0));
        }
    }
    assert!(!last.expect("it is asked").long_valid, "one lost datagram is no slow reply");
    assert_eq!(asked, 2, "once for each request that waits");
}

/// Guards against a lost datagram to a slow coordinator that is measured as the time of the reply: it then counts as slow
/// for some further replies.
#[test]
fn resent_request_is_not_measured() {
    let mut client = client();
    client.set_members(9, vec![1]);
    let now = slow_down(&mut client) + Duration::from_millis(100);
    assert!(ask(&mut client, now, 2).is_none());
    assert!(waiting_request(&poll_group(&mut client, now)).expect("it is asked").long_valid);
    let mut now = now + Duration::from_millis(400);
    let again = waiting_request(&poll_group(&mut client, now)).expect("it is asked again");
    client.handle(now, &grant(&again, 1, 0));
    // The measured time of 100 ms, of which each of these replies takes an eighth off, is below 60 ms after four.
    for id in 0..5 {
        now += Duration::from_millis(210);
        assert!(ask(&mut client, now, id + 3).is_none());
        let request = waiting_request(&poll_group(&mut client, now)).expect("it is asked");
        client.handle(now, &grant(&request, 1, 0));
        assert!(id < 4 || !request.long_valid, "still slow");
    }
}

/// A request of `waiting` long-valid tokens.
fn long_valid_request(sequence: u64, waiting: u32) -> QuotaRequest {
    let accounts = vec![QuotaWant { flow: FLOW, waiting, spare: 0 }];
    let (settled, released, long_valid) = (true, false, true);
    QuotaRequest { sequence, group: 0, settled, released, long_valid, accounts }
}

/// Guards against a wait of 0 for a request that gets no token until unused tokens of long validity end.
#[test]
fn wait_for_unused_tokens() {
    let mut coordinator = QuotaCoordinator::new(RULE, START);
    let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let limit = |_| RateLimit::new(100.0, 5.0);
    let (mut granted, mut limited) = (Vec::new(), 0);
    for index in 0..200 {
        let now = START + Duration::from_millis(20) * index;
        // More than the unused tokens allow, and less than the rate.
        let waiting = u32::from(index >= 100);
        let request = long_valid_request(u64::from(index), waiting);
        let grant = coordinator.handle(now, from, &request, limit);
        let Some(share) = grant.accounts.first() else { continue };
        if share.granted > 0 {
            granted.push(now);
        }
        if waiting > 0 && share.granted == 0 {
            let earliest = granted.iter().map(|at| *at + LONG_TOKEN_TIME).find(|end| *end >= now);
            let earliest = earliest.expect("unused tokens are the limit");
            let told = Duration::from_millis(u64::from(share.wait_ms));
            assert!(now + told >= earliest, "told {told:?}, {:?} left", earliest - now);
            limited += 1;
        }
    }
    assert!(limited > 20, "{limited} limited");
}

/// Guards against a request that takes tokens twice because its grant was dropped before it was sent again.
#[test]
fn grants_kept_for_resends() {
    let mut coordinator = QuotaCoordinator::new(RULE, START);
    let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let limit = |_| RateLimit::new(10.0, 10.0);
    for step in 0..20 {
        let now = START + Duration::from_millis(100) * step;
        coordinator.handle(now, from, &long_valid_request(u64::from(step), 0), limit);
    }
    let begin = START + Duration::from_secs(2);
    let first = coordinator.handle(begin, from, &long_valid_request(100, 100), limit);
    assert_eq!(first.accounts[0].granted, 10, "the burst is 10");
    for step in 1..=11 {
        let now = begin + Duration::from_millis(50) * step;
        coordinator.handle(now, from, &long_valid_request(100 + u64::from(step), 0), limit);
    }
    let now = begin + Duration::from_millis(560);
    let again = coordinator.handle(now, from, &long_valid_request(100, 100), limit);
    assert_eq!(again, first);
}

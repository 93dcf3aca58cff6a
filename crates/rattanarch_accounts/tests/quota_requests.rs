//! What one daemon asks of coordinators, and what it does with their grants.

use std::time::Duration;

use rattanarch_accounts::QUOTA_GROUPS;
use rattanarch_accounts::QuotaClient;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaMember;
use rattanarch_accounts::QuotaOutput;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaRule;
use rattanarch_accounts::QuotaShare;
use rattanarch_accounts::QuotaVerdict;
use rattanarch_accounts::RateLimit;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;

const RULE: QuotaRule = QuotaRule { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };

/// An account of group 0.
const FLOW: FlowId = QUOTA_GROUPS as FlowId;

const START: Moment = Duration::from_secs(100);

/// How long a coordinator counts a daemon after its last request.
const COUNTED: Duration = Duration::from_secs(2);

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
    QuotaGrant { sequence: request.sequence, group: request.group, accounts }
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
    client.poll(late);
    let end = client.poll(late + Duration::from_millis(60));
    assert!(matches!(end.verdicts[..], [(5, QuotaVerdict::Refused(_))]), "{:?}", end.verdicts);
}

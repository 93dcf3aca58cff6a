//! Takeovers of a member that has replaced a previous boot of its instance, by its only witness. The upstream still
//! holds what the previous boot granted, for up to a lease after the replacement.

mod members;

use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;

const PREVIOUS: BootId = 1;
const OWNER: BootId = 2;
const SEALER: BootId = 3;

const TICK: Duration = Duration::from_millis(10);

/// A record with the sealer and, if given, a member of the instance `a`, which is witnessed by the sealer.
fn record(version: Version, boot: Option<BootId>, owns: bool) -> Record {
    let mut record = Record::new("trade-desk", 4);
    record.version = version;
    record.members.insert(SEALER, Member { term: 1, ..member("b") });
    record.owners = vec![Some(SEALER); 4];
    if let Some(boot) = boot {
        let own = Member { term: version, witnesses: vec![SEALER], ..member("a") };
        record.members.insert(boot, own);
        if owns {
            record.owners[..2].fill(Some(boot));
        }
    }
    record
}

/// Records that the sealer applies, and when the owner renews its lease.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Whether the first record shows the previous boot.
    has_previous: bool,
    /// Version of the record that shows the owner; the first record has version 1.
    version: Version,
    /// Whether the owner owns slices.
    owns: bool,
    /// When the sealer gets a lease request of the owner, counted from the record that shows the owner.
    renewed_after: Option<Duration>,
}

const REPLACED: Case = Case { has_previous: true, version: 2, owns: true, renewed_after: None };

impl Case {
    /// Time from when the sealer learns of the owner until it removes it from the record.
    fn removed_after(self, rules: Rules) -> Duration {
        let mut now: Moment = Duration::from_secs(100);
        let mut node = Node::new(SEALER, member("b"), Timing::default(), 1).with_rules(rules);
        let first = record(1, self.has_previous.then_some(PREVIOUS), true);
        node.step(now, Event::Record { record: first, read_sent: Some(now) });
        now += TICK;
        let learned = now;
        let second = record(self.version, Some(OWNER), self.owns);
        node.step(now, Event::Record { record: second, read_sent: Some(now) });
        while now < learned + Duration::from_secs(10) {
            if self.renewed_after == Some(now - learned) {
                let (term, record) = (self.version, self.version);
                let message = Message::Renew { term, sent: now, record, load: 0 };
                node.step(now, Event::Message { from: OWNER, message });
            }
            let actions = node.step(now, Event::PlatformReached { call_sent: now });
            let removes = |action: &Action| matches!(action, Action::Write(record) if !record.members.contains_key(&OWNER));
            if actions.iter().any(removes) {
                return now - learned;
            }
            now += TICK;
        }
        panic!("{self:?}: the owner was not removed within 10 s");
    }
}

fn without_rule() -> Rules {
    Rules { wait_out_predecessor: false, ..Rules::default() }
}

/// Guards against a takeover while the upstream holds what the replaced boot granted.
#[test]
fn replaced_without_lease() {
    let timing = Timing::default();
    let lease = timing.with_drift(timing.lease);
    let skipped = Case { has_previous: false, version: 3, ..REPLACED };
    for case in [REPLACED, skipped] {
        assert!(case.removed_after(Rules::default()) >= lease, "{case:?}");
        assert!(case.removed_after(without_rule()) < timing.lease, "{case:?}");
    }
}

/// Guards against a wait in takeovers that need none: of a member that has replaced no boot, that owns nothing, or that
/// has had a lease.
#[test]
fn ordinary_takeovers() {
    let first_boot = Case { has_previous: false, ..REPLACED };
    let owns_nothing = Case { owns: false, ..REPLACED };
    let renewed = Case { renewed_after: Some(Duration::from_millis(500)), ..REPLACED };
    let renewed_at_once = Case { renewed_after: Some(Duration::ZERO), ..REPLACED };
    for case in [first_boot, owns_nothing, renewed, renewed_at_once] {
        let with_rule = case.removed_after(Rules::default());
        assert_eq!(with_rule, case.removed_after(without_rule()), "{case:?}");
    }
}

/// Guards against a takeover that ends early because another sealer, which does not know of the replaced boot, relies
/// on this witness's promise.
#[test]
fn promise_of_witness() {
    let timing = Timing::default();
    let remaining = |rules| {
        let now: Moment = Duration::from_secs(100);
        let mut node = Node::new(SEALER, member("b"), timing, 1).with_rules(rules);
        for (version, boot) in [(1, PREVIOUS), (2, OWNER)] {
            let record = record(version, Some(boot), true);
            node.step(now, Event::Record { record, read_sent: Some(now) });
        }
        let message = Message::Seal { owner: OWNER, term: 2, forced: true };
        let actions = node.step(now, Event::Message { from: 4, message });
        actions.iter().find_map(|action| match action {
            Action::Send { to: 4, message: Message::Sealed { remaining, .. } } => Some(*remaining),
            _ => None,
        })
    };
    assert_eq!(remaining(Rules::default()), Some(timing.with_drift(timing.lease)));
    assert_eq!(remaining(without_rule()), Some(Duration::ZERO));
}

//! Grants that the answers to an upstream's heartbeats carry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_ownership::GrantChanges;
use rattanarch_ownership::Grants;
use rattanarch_ownership::RestoreWait;
use rattanarch_ownership::Serving;
use rattanarch_ownership::Timing;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;

const ME: u64 = 7;
const OTHER: u64 = 8;
/// Longest time for which a grant may be given.
const MAX_GRANT: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn record(version: u64, owners: &[u64]) -> Record {
    let member = |name: &str| Member {
        instance: name.to_owned(),
        data_centre: "hafenhalle".to_owned(),
        peer: ([127, 0, 0, 1], 7000).into(),
        caller: ([127, 0, 0, 1], 7001).into(),
        slots: 18,
        fence: 1,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    };
    let mut record = Record::new("trade-desk", owners.len() as u16);
    record.version = version;
    record.members.insert(ME, member("a"));
    record.members.insert(OTHER, member("b"));
    record.owners = owners.iter().map(|owner| Some(*owner)).collect();
    record
}

fn serving(record: &Record, until: Moment) -> Serving {
    let record = Arc::new(record.clone());
    Serving { me: ME, record, lease_end: Some(until), ..Serving::default() }
}

/// A grant ends before the lease, even on an upstream's clock that is 2 percent slow.
#[test]
fn within_lease() {
    let record = record(5, &[ME, OTHER]);
    let mut grants = Grants::new(2, Moment::ZERO);
    grants.apply_record(&record, ME, |_| None);
    let (given, hold) = grants
        .renew(ms(1_000), 1, &serving(&record, ms(4_000)), &RestoreWait::default(), MAX_GRANT)
        .unwrap();
    assert_eq!(given.iter().map(|grant| (grant.slice, grant.fence)).collect::<Vec<_>>(), [(0, 5)]);
    assert!(ms(1_000) + hold + hold / 50 < ms(4_000));
    assert!(grants.is_served(ms(1_500), 0));
    assert!(!grants.is_served(ms(4_000), 0));
    assert!(
        grants
            .renew(ms(3_900), 2, &serving(&record, ms(4_000)), &RestoreWait::default(), MAX_GRANT)
            .is_none()
    );
}

/// A slice may be handed over once the upstream has reported in a heartbeat after the last grant that it does not
/// hold it, or once the grant has ended on the slowest clock.
#[test]
fn confirmed_by_heartbeat() {
    let record = record(5, &[ME]);
    let mut grants = Grants::new(1, Moment::ZERO);
    grants.apply_record(&record, ME, |_| None);
    let (_, hold) = grants
        .renew(ms(1_000), 4, &serving(&record, ms(4_000)), &RestoreWait::default(), MAX_GRANT)
        .unwrap();
    grants.apply_heartbeat(ms(1_100), 4, |_| false);
    assert!(grants.may_hold(ms(1_100), 0), "the heartbeat was sent before the grant");
    grants.apply_heartbeat(ms(1_200), 5, |_| true);
    assert!(grants.may_hold(ms(1_200), 0));
    grants.apply_heartbeat(ms(1_300), 6, |_| false);
    assert!(!grants.may_hold(ms(1_300), 0));
    grants.renew(ms(2_000), 7, &serving(&record, ms(4_000)), &RestoreWait::default(), MAX_GRANT);
    assert!(grants.may_hold(ms(2_000) + hold.min(ms(1_900)), 0));
    assert!(!grants.may_hold(ms(4_000), 0));
}

/// A slice that is being released is not granted again.
#[test]
fn held_not_granted() {
    let record = record(5, &[ME, ME]);
    let mut grants = Grants::new(2, Moment::ZERO);
    grants.apply_record(&record, ME, |_| None);
    let releasing = Arc::new(BTreeSet::from([1]));
    let serving = Serving { releasing, ..serving(&record, ms(4_000)) };
    let (given, _) =
        grants.renew(ms(1_000), 1, &serving, &RestoreWait::default(), MAX_GRANT).unwrap();
    assert_eq!(given.iter().map(|grant| grant.slice).collect::<Vec<_>>(), [0]);
}

/// A slice that returns has a higher fence than any other owner had, and its grants carry the handover that the
/// last owner's upstream left until the upstream holds the slice.
#[test]
fn fences_rise() {
    let mut grants = Grants::new(1, Moment::ZERO);
    grants.apply_record(&record(5, &[ME]), ME, |_| None);
    grants.apply_record(&record(6, &[OTHER]), ME, |_| None);
    let mut returned = record(9, &[ME]);
    returned.handovers.insert(0, "5c0e".to_owned());
    grants.apply_record(&returned, ME, |_| None);
    let renewed = grants.renew(
        ms(1_000),
        1,
        &serving(&returned, ms(4_000)),
        &RestoreWait::default(),
        MAX_GRANT,
    );
    let (given, _) = renewed.unwrap();
    assert_eq!((given[0].fence, given[0].handover.as_deref()), (9, Some("5c0e")));
    grants.apply_heartbeat(ms(1_500), 2, |_| true);
    let (given, _) = grants
        .renew(ms(1_500), 2, &serving(&returned, ms(4_000)), &RestoreWait::default(), MAX_GRANT)
        .unwrap();
    assert_eq!(given[0].handover, None);
}

/// After a restart of only the daemon, a slice keeps the fence under which the upstream holds it, and grants of the
/// earlier process count until they have ended.
#[test]
fn restart_keeps() {
    let mut grants = Grants::new(1, ms(3_000));
    grants.apply_record(&record(9, &[ME]), ME, |_| Some(4));
    assert!(grants.may_hold(ms(2_900), 0));
    assert!(!grants.is_served(ms(100), 0));
    let serving = serving(&record(9, &[ME]), ms(4_000));
    let (given, _) =
        grants.renew(ms(1_000), 1, &serving, &RestoreWait::default(), MAX_GRANT).unwrap();
    assert_eq!(given[0].fence, 4);
}

/// Guards against a fence that is used again: a daemon that did not apply the version in which another member owned
/// its slice kept the fence from before.
#[test]
fn skipped_owner() {
    let first = record(5, &[ME, ME]).with_fences();
    let mut moved = record(6, &[OTHER, ME]);
    moved.update_fences(&first);
    let mut returned = record(7, &[ME, ME]);
    returned.update_fences(&moved);
    let mut grants = Grants::new(2, Moment::ZERO);
    grants.apply_record(&first, ME, |_| None);
    grants.apply_record(&returned, ME, |_| None);
    let renewed = grants.renew(
        ms(1_000),
        1,
        &serving(&returned, ms(4_000)),
        &RestoreWait::default(),
        MAX_GRANT,
    );
    let fences: Vec<_> = renewed.unwrap().0.iter().map(|grant| grant.fence).collect();
    assert_eq!(fences, [7, 5]);
}

/// Guards against two holders after the store was restored from an older copy: until the holds of lost versions have
/// ended, a slice is granted only to an upstream that holds it, under the record's fence.
#[test]
fn restored_waits() {
    let mut record = record(9, &[ME, ME]).with_fences();
    record.restored = 9;
    let timing = Timing::default();
    let mut wait = RestoreWait::default();
    wait.observe(ms(1_000), &record, &timing);
    let mut grants = Grants::new(2, Moment::ZERO);
    grants.apply_record(&record, ME, |_| None);
    grants.apply_heartbeat(ms(1_000), 1, |slice| slice == 1);
    let serving = serving(&record, ms(9_000));
    let slices = |grants: &mut Grants, wait: &RestoreWait, now| {
        let (given, _) = grants.renew(now, 1, &serving, wait, MAX_GRANT).unwrap();
        given.iter().map(|grant| (grant.slice, grant.fence)).collect::<Vec<_>>()
    };
    assert_eq!(slices(&mut grants, &wait, ms(1_100)), [(1, 9)]);
    let before = ms(1_000) + timing.lease * 2;
    assert_eq!(slices(&mut grants, &wait, before), [(1, 9)]);
    let mut settled = record.clone();
    wait.settle(before, &mut settled);
    assert_eq!(settled.restored, 9);
    let after = before + timing.lease;
    assert_eq!(slices(&mut grants, &wait, after), [(0, 9), (1, 9)]);
    wait.settle(after, &mut settled);
    assert_eq!(settled.restored, 0);
    // An update that shows the end of the wait ends it here, too.
    let mut late = RestoreWait::default();
    late.observe(after, &record, &timing);
    assert!(late.is_waiting(after));
    late.observe(after, &settled, &timing);
    assert!(!late.is_waiting(after));
}

/// Each grant and each end of a hold is told once.
#[test]
fn changes_told() {
    let first = record(5, &[ME, ME]);
    let mut grants = Grants::new(2, Moment::ZERO);
    grants.apply_record(&first, ME, |_| None);
    let wait = RestoreWait::default();
    grants.renew(ms(1_000), 1, &serving(&first, ms(4_000)), &wait, MAX_GRANT);
    let changes = grants.take_changes(ms(1_000));
    assert_eq!(changes.granted, [(0, 5), (1, 5)]);
    assert_eq!(grants.take_changes(ms(2_000)), GrantChanges::default());
    let second = record(6, &[ME, OTHER]);
    grants.apply_record(&second, ME, |_| None);
    grants.apply_heartbeat(ms(2_100), 2, |slice| slice == 0);
    grants.renew(ms(2_100), 2, &serving(&second, ms(5_000)), &wait, MAX_GRANT);
    let changes = grants.take_changes(ms(2_100));
    assert_eq!(changes, GrantChanges { released: vec![(1, 5)], ..GrantChanges::default() });
    let changes = grants.take_changes(ms(9_000));
    assert_eq!(changes.expired, [(0, 5)]);
    assert!(changes.expired_at > ms(4_900) && changes.expired_at <= ms(5_100), "{changes:?}");
}

/// Guards against a late first heartbeat: it does not end what an earlier process granted after it was sent.
#[test]
fn earlier_grants() {
    let mut grants = Grants::new(1, ms(3_150));
    grants.apply_heartbeat(ms(100), 5, |_| false);
    assert!(grants.may_hold(ms(3_000), 0));
    assert!(!grants.may_hold(ms(3_150), 0));
    grants.end_all();
    assert!(!grants.may_hold(ms(100), 0), "an upstream that has ended holds nothing");
}

/// Guards against a grant that is taken after a later heartbeat, which was sent before the grant arrived.
#[test]
fn grant_overtaken() {
    let record = record(5, &[ME]);
    let mut grants = Grants::new(1, Moment::ZERO);
    grants.apply_record(&record, ME, |_| None);
    grants.renew(ms(1_000), 4, &serving(&record, ms(4_000)), &RestoreWait::default(), MAX_GRANT);
    grants.apply_heartbeat(ms(1_200), 5, |_| false);
    assert!(grants.may_hold(ms(1_200), 0), "the grant may still be on its way");
    grants.apply_heartbeat(ms(2_100), 6, |_| false);
    assert!(!grants.may_hold(ms(2_100), 0), "the upstream takes no grant as late as this");
}

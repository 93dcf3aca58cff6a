//! Times at which refused callers are told to return.

use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::PendingRequest;
use rattanarch_admission::RetryDemand;
use rattanarch_admission::RetrySchedule;
use rattanarch_types::Moment;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(now: Moment, deadline: Duration) -> PendingRequest<()> {
    let objective = now + deadline / 2;
    PendingRequest { rank: 1, objective, deadline: now + deadline, flow: None, item: () }
}

/// Guards against callers that are told to return at once: in each 100 ms no more return than the upstream can serve
/// beside the expected arrivals (2 here), and callers with too little time take no turn from others.
#[test]
fn turns_within_capacity() {
    let mut schedule = RetrySchedule::default();
    let demand = RetryDemand { capacity: 60.0, arrivals: 40.0, backlog: ms(50) };
    let mut by_interval = [0; 7];
    for refused in 0..40 {
        let left = ms(if refused % 2 == 0 { 2_000 } else { 140 });
        let delay = schedule.reserve(ms(5_000), demand, left);
        assert!(delay >= demand.backlog);
        if delay <= left / 3 {
            by_interval[(delay.as_millis() / 100) as usize] += 1;
        }
    }
    assert!(by_interval.iter().all(|turns| *turns <= 2), "{by_interval:?}");
    assert!(by_interval.iter().sum::<u32>() >= 12, "{by_interval:?}");
}

/// Guards against turns that stay promised after a pause of the daemon: a caller is not sent behind turns that are
/// past.
#[test]
fn past_turns() {
    let mut schedule = RetrySchedule::default();
    let demand = RetryDemand { capacity: 60.0, arrivals: 0.0, backlog: ms(50) };
    (0..30).for_each(|_| _ = schedule.reserve(ms(5_000), demand, ms(3_000)));
    assert_eq!(schedule.reserve(ms(9_000), demand, ms(3_000)), ms(50));
}

/// Guards against work that takes a slot and cannot end before its deadline, and against an estimate that refuses
/// requests forever: an idle upstream takes any, and refusals lower the estimate. A caller whose work cannot end is not
/// told to return in time.
#[test]
fn too_little_time() {
    let mut controller = AdmissionController::new(4);
    controller.set_retry_schedule(true);
    let now = ms(5_000);
    controller.finish(Some(ms(100)));
    assert!(controller.offer(now, request(now, ms(50))).started.is_some());
    let refused = controller.offer(now, request(now, ms(90)));
    assert_eq!((refused.started, refused.shed.len()), (None, 1));
    assert!(refused.shed[0].retry_after >= ms(90), "{refused:?}");
    assert!(controller.offer(now, request(now, ms(150))).started.is_some());
    let accepted = |_| controller.offer(now, request(now, ms(50))).started.is_some();
    assert!((0..20).any(accepted));
}

//! Arrivals by which a controller knows that its upstream is saturated.

use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::PendingRequest;
use rattanarch_types::Moment;

const SLOTS: u32 = 4;
const WORK_MS: u64 = 50;

fn request(now: Moment, objective_ms: u64) -> PendingRequest<()> {
    let (objective, deadline) = (Duration::from_millis(objective_ms), Duration::from_secs(1));
    let (objective, deadline) = (now + objective, now + deadline);
    PendingRequest { rank: 0, objective, deadline, flow: None, item: () }
}

/// Whether a request that would be late is refused at once, after 100 requests a second for 5 s (the slots serve 80) and
/// a time without any, in which the controller is called every 200 ms if the process runs.
fn refuses_late(without_ms: u64, runs: bool) -> bool {
    let mut controller = AdmissionController::new(SLOTS);
    controller.set_retry_schedule(true);
    let mut running = Vec::new();
    for ms in 5_000..10_000 {
        let now = Moment::from_millis(ms);
        if ms % 200 == 0 {
            controller.tick(now);
        }
        running.retain(|end| {
            if *end <= ms {
                controller.finish(Some(Duration::from_millis(WORK_MS)));
            }
            *end > ms
        });
        while controller.start_next(now).next.is_some() {
            running.push(ms + WORK_MS);
        }
        if ms % 10 == 0 && controller.offer(now, request(now, 400)).started.is_some() {
            running.push(ms + WORK_MS);
        }
    }
    let mut now = Moment::from_millis(10_000);
    for _ in 0..without_ms / 200 {
        now += Duration::from_millis(200);
        if runs {
            controller.tick(now);
        }
    }
    running.iter().for_each(|_| controller.finish(Some(Duration::from_millis(WORK_MS))));
    controller.retain(|()| false);
    while controller.running() < SLOTS {
        assert!(controller.offer(now, request(now, 400)).started.is_some());
    }
    !controller.offer(now, request(now, 60)).shed.is_empty()
}

/// Guards against a saturated upstream that seems to have capacity left after a pause of the daemon's process, so that late
/// requests wait and make others late; and against one that seems saturated for long when nobody sends requests.
#[test]
fn pause_without_arrivals() {
    assert!(refuses_late(0, true), "not saturated");
    for pause in [1_000, 3_000, 10_000] {
        assert!(
            refuses_late(pause, false),
            "a pause of {pause} ms counts as time without arrivals"
        );
        assert!(!refuses_late(pause, true), "{pause} ms without arrivals do not count");
    }
}

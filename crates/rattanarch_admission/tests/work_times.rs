//! Expected work of requests by class.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::PendingRequest;
use rattanarch_admission::WorkClass;
use rattanarch_types::Moment;

const SLOTS: u32 = 4;
const START_MS: u64 = 5_000;
const WORK: Duration = Duration::from_millis(50);

/// Objective and deadline of a class after its arrival, in milliseconds.
type Times = (u64, u64);

const FREQUENT: Times = (300, 1_000);
const RARE: Times = (500, 1_000);

fn class((objective, deadline): Times) -> WorkClass {
    WorkClass::new(0, Duration::from_millis(objective), Duration::from_millis(deadline))
}

/// Guards against a class of requests that is refused as late for good because its requests were slow once: at a saturated
/// upstream none of them runs, so that no response corrects the expected work.
#[test]
fn class_after_slow_period() {
    let mut controller = AdmissionController::new(SLOTS);
    controller.set_retry_schedule(true);
    let start = Moment::from_millis(START_MS);
    for _ in 0..20 {
        controller.finish_class(start, class(RARE), Some(Duration::from_secs(2)));
    }
    for _ in 0..200 {
        controller.finish_class(start, class(FREQUENT), Some(WORK));
    }
    let mut ends: BTreeMap<Moment, Vec<Times>> = BTreeMap::new();
    let (mut offered, mut served) = (0, 0);
    for ms in START_MS..START_MS + 10_000 {
        let now = Moment::from_millis(ms);
        let mut started = Vec::new();
        for times in ends.remove(&now).unwrap_or_default() {
            controller.finish_class(now, class(times), Some(WORK));
        }
        while let Some(times) = controller.start_next(now).next {
            started.push(times);
        }
        // With 80 requests a second the slots are all in use.
        let frequent = (ms % 10 == 0).then_some(FREQUENT);
        let rare = (ms % 100 == 5).then_some(RARE);
        for times in frequent.into_iter().chain(rare) {
            let pending = PendingRequest {
                rank: 0,
                objective: now + Duration::from_millis(times.0),
                deadline: now + Duration::from_millis(times.1),
                flow: None,
                item: times,
            };
            started.extend(controller.offer(now, pending).started);
            offered += u32::from(times == RARE && ms >= START_MS + 5_000);
        }
        for times in started {
            ends.entry(now + WORK).or_default().push(times);
            served += u32::from(times == RARE && ms >= START_MS + 5_000);
        }
    }
    assert!(served * 10 >= offered * 7, "{served} of {offered} served");
}

//! Offers to a copy of the admission controller.

use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::OfferResult;
use rattanarch_admission::PendingRequest;
use rattanarch_types::Moment;

const START: Moment = Duration::from_secs(9);

fn request(item: u32) -> PendingRequest<u32> {
    let (objective, deadline) =
        (START + Duration::from_millis(400), START + Duration::from_millis(1_000));
    PendingRequest { rank: 2, objective, deadline, flow: None, item }
}

/// A controller of four slots, all of which are taken, with `waiting` requests in its queue.
fn busy(waiting: u32) -> AdmissionController<u32> {
    let mut controller = AdmissionController::new(4);
    for item in 0..4 + waiting {
        controller.offer(START, request(item));
    }
    controller
}

/// Guards against an explanation that differs from the decision, or that changes it: an offer to a copy has the result
/// that the next real offer has, for free, waiting and full controllers, also after many explanations. One explanation
/// that takes a token, reserves a turn or counts an arrival would change `Retry-After` or the outcome.
#[test]
fn same_as_real_offer() {
    let mut outcomes = [0; 3];
    for waiting in 0..24 {
        let mut controller = busy(waiting);
        let before = format!("{controller:?}");
        let preview = |controller: &AdmissionController<u32>| -> OfferResult<u32> {
            controller.copy_with(|item| Some(*item)).offer(START, request(99))
        };
        let expected = preview(&controller);
        for _ in 0..50 {
            assert_eq!(preview(&controller), expected);
        }
        assert_eq!(format!("{controller:?}"), before, "the controller has changed");
        assert_eq!(controller.offer(START, request(99)), expected, "{waiting} waiting");
        let is_shed = expected.shed.iter().any(|shed| shed.item == 99);
        outcomes[if expected.started.is_some() { 0 } else { 1 + usize::from(is_shed) }] += 1;
    }
    let free = AdmissionController::<u32>::new(4);
    assert_eq!(free.copy_with(|item| Some(*item)).offer(START, request(1)).started, Some(1));
    assert!(outcomes[1] > 0 && outcomes[2] > 0, "not all outcomes were seen: {outcomes:?}");
}

/// Requests of callers that have disconnected are left out, as they are dropped before a real offer.
#[test]
fn disconnected_left_out() {
    let controller = busy(3);
    assert_eq!(controller.waiting(), 3);
    assert_eq!(controller.copy_with(|item| (*item != 5).then_some(())).waiting(), 2);
}

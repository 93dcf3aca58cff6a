//! Admission controller under high load and overload, without and with the retry schedule.

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::PendingRequest;
use rattanarch_types::Moment;
use rattanarch_types::Rank;

/// Slots of the upstream.
const SLOTS: u32 = 18;
/// Mean service time of a request, with which the slots serve 90 requests a second.
const MEAN_WORK_MS: u64 = 200;
/// Objective and deadline of each request, from its arrival.
const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: Moment,
    rank: Rank,
}

/// Service time of the request `id`: between half and one and a half times the mean.
fn service_time(id: u64) -> Duration {
    let draw = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    Duration::from_millis(MEAN_WORK_MS / 2 + draw % MEAN_WORK_MS)
}

/// What happened to the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Longest time that a request waited before it was refused.
    refused_after: Duration,
}

/// Simulates `rates` (requests a second by rank) for `seconds` against an upstream with `SLOTS`, without and with the retry
/// schedule.
fn simulate(rates: [u32; 3], seconds: u64) -> [[Counts; 3]; 2] {
    [false, true].map(|scheduled| simulate_callers(rates, seconds, false, scheduled))
}

/// As [`simulate`]. With `retrying`, refused callers retry when they were told to, as long as there is time for their
/// request.
fn simulate_callers(rates: [u32; 3], seconds: u64, retrying: bool, scheduled: bool) -> [Counts; 3] {
    let mut controller: AdmissionController<Request> = AdmissionController::new(SLOTS);
    controller.set_retry_schedule(scheduled);
    let mut counts = [Counts::default(); 3];
    let mut ends: BinaryHeap<std::cmp::Reverse<(Moment, u64)>> = BinaryHeap::new();
    let mut running = BTreeMap::new();
    let mut retries: BTreeMap<(Moment, u64), Request> = BTreeMap::new();
    let (mut count, mut retry_count) = (0, 0);
    for ms in 0..seconds * 1_000 {
        let now = Duration::from_millis(ms);
        let mut started = Vec::new();
        let mut shed = Vec::new();
        while ends.peek().is_some_and(|end| end.0.0 <= now) {
            let Some(std::cmp::Reverse((_, id))) = ends.pop() else { break };
            let (request, began): (Request, Moment) =
                running.remove(&id).expect("the request is running");
            let counts = &mut counts[usize::from(request.rank)];
            if now <= request.arrived + OBJECTIVE {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
            controller.finish(Some(now - began));
        }
        loop {
            let popped = controller.start_next(now);
            shed.extend(popped.shed);
            let Some(request) = popped.next else { break };
            started.push(request);
        }
        let mut arriving = Vec::new();
        for (rank, rate) in rates.iter().enumerate() {
            let due = |ms: u64| ms * u64::from(*rate) / 1_000;
            let rank = rank as Rank;
            arriving.extend((due(ms)..due(ms + 1)).map(|_| Request { arrived: now, rank }));
        }
        arriving.iter().for_each(|request| counts[usize::from(request.rank)].offered += 1);
        while let Some(retry) = retries.first_entry().filter(|retry| retry.key().0 <= now) {
            arriving.push(retry.remove());
        }
        for request in arriving {
            let deadline = request.arrived + DEADLINE;
            let objective = deadline.min(now + OBJECTIVE);
            let rank = request.rank;
            let pending = PendingRequest { rank, objective, deadline, flow: None, item: request };
            let offered = controller.offer(now, pending);
            started.extend(offered.started);
            shed.extend(offered.shed);
        }
        for request in started {
            count += 1;
            ends.push(std::cmp::Reverse((now + service_time(count), count)));
            running.insert(count, (request, now));
        }
        assert!(running.len() <= SLOTS as usize);
        for shed in shed {
            let counts = &mut counts[usize::from(shed.item.rank)];
            counts.refused += 1;
            counts.refused_after = counts.refused_after.max(now - shed.item.arrived);
            assert!(shed.retry_after > Duration::ZERO);
            let retry_at = now + shed.retry_after;
            if retrying
                && retry_at + Duration::from_millis(MEAN_WORK_MS) < shed.item.arrived + DEADLINE
            {
                retry_count += 1;
                retries.insert((retry_at, retry_count), shed.item);
            }
        }
    }
    counts
}

/// At twice the capacity, the slots stay busy, the served requests meet their objective and the others are refused.
#[test]
fn double_load() {
    for [_, counts, _] in simulate([0, 180, 0], 20) {
        assert!(counts.in_time >= 90 * 20 * 85 / 100, "{counts:?}");
        assert!(counts.late * 10 <= counts.in_time, "{counts:?}");
        assert!(counts.refused >= counts.offered * 40 / 100, "{counts:?}");
    }
}

/// At two thirds of the capacity, no request is refused or late.
#[test]
fn moderate_load() {
    for [_, counts, _] in simulate([0, 60, 0], 10) {
        assert_eq!(counts.refused, 0, "{counts:?}");
        assert_eq!(counts.late, 0, "{counts:?}");
    }
}

/// The most urgent requests go first, and the others share the remaining capacity.
#[test]
fn ranks_in_order() {
    for [urgent, normal, rest] in simulate([30, 40, 60], 20) {
        assert_eq!(urgent.refused, 0, "{urgent:?}");
        assert!(normal.refused * 20 <= normal.offered, "{normal:?}");
        assert!(rest.refused > 0, "{rest:?}");
        assert!(rest.in_time > 0, "{rest:?}");
        let served_percent = |counts: Counts| (counts.in_time + counts.late) * 100 / counts.offered;
        assert!(served_percent(normal) >= served_percent(rest), "{normal:?} {rest:?}");
    }
}

/// Under lasting overload, requests are refused when they arrive, not after they have waited.
#[test]
fn refused_at_once() {
    for [_, counts, _] in simulate([0, 270, 0], 10) {
        assert!(counts.refused_after <= OBJECTIVE, "{counts:?}");
    }
}

/// A cold upstream gets no more than its rate limit, however many requests arrive.
#[test]
fn cold_rate_limit() {
    let mut controller = AdmissionController::new(SLOTS);
    let start = Duration::from_secs(5);
    controller.set_cold(start, Duration::from_secs(3), 28.0);
    let mut sent = 0;
    for ms in 0..1_000 {
        let now = start + Duration::from_millis(ms);
        let request = PendingRequest {
            rank: 1,
            objective: now + OBJECTIVE,
            deadline: now + DEADLINE,
            flow: None,
            item: (),
        };
        sent += u32::from(controller.offer(now, request).started.is_some());
        while controller.start_next(now).next.is_some() {
            sent += 1;
        }
        controller.finish(None);
    }
    assert!((25..=36).contains(&sent), "{sent}");
}

/// A waiting request starts when the rate limit of a cold upstream allows it, without any other event.
#[test]
fn cold_wake() {
    let mut controller = AdmissionController::new(SLOTS);
    let now = Duration::from_secs(5);
    controller.set_cold(now, Duration::from_secs(3), 10.0);
    let request = || PendingRequest {
        rank: 1,
        objective: now + OBJECTIVE,
        deadline: now + DEADLINE,
        flow: None,
        item: (),
    };
    assert!(controller.offer(now, request()).started.is_some());
    assert!(controller.offer(now, request()).started.is_none());
    let start = controller.next_start().expect("a request waits for the rate limit");
    assert!(start > now && start <= now + Duration::from_millis(100));
    assert!(controller.start_next(start + Duration::from_millis(1)).next.is_some());
}

/// A burst of requests, to a controller that was created before the upstream's slots were known: it queues as many
/// as the slots can serve in time.
#[test]
fn burst_after_set_slots() {
    let mut controller = AdmissionController::new(1);
    controller.set_slots(SLOTS);
    let start = Duration::from_secs(5);
    controller.finish(Some(Duration::from_millis(25)));
    let request = PendingRequest {
        rank: 0,
        objective: start + OBJECTIVE,
        deadline: start + DEADLINE,
        flow: None,
        item: (),
    };
    let offers: Vec<_> = (0..SLOTS * 3).map(|_| controller.offer(start, request.clone())).collect();
    assert_eq!(offers.iter().map(|offered| offered.shed.len()).sum::<usize>(), 0);
    assert_eq!((controller.running(), controller.waiting()), (SLOTS, SLOTS * 2));
}

/// Under lasting overload, callers are told to retry when there may be room, not when the queue is still full: no fewer
/// are served, and those that are not served are refused twice at most.
#[test]
fn few_futile_retries() {
    for (rate, scheduled) in [(140, false), (140, true), (220, false), (220, true)] {
        let [_, counts, _] = simulate_callers([0, rate, 0], 20, true, scheduled);
        let (served, refusals) = (counts.in_time + counts.late, counts.refused);
        let unserved = counts.offered - served;
        assert!(served >= 90 * 20 * 90 / 100, "{rate}: {served} served, {refusals} refusals");
        assert!(refusals <= unserved * 2, "{rate}: {served} served, {refusals} refusals");
    }
}

/// Requests that more urgent ones delay are refused while their callers still have time to retry, not at their
/// deadline.
#[test]
fn refused_early() {
    for rates in [[70, 0, 25], [80, 10, 10], [85, 20, 20]] {
        for counts in simulate(rates, 20).into_iter().flatten() {
            assert!(
                counts.refused_after <= DEADLINE / 2 + Duration::from_millis(10),
                "{rates:?}: {counts:?}"
            );
        }
    }
}

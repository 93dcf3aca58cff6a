//! The gate under the load of heavy days.

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rattanarch_admission::AdmissionController;
use rattanarch_admission::PendingRequest;
use rattanarch_types::Moment;
use rattanarch_types::Rank;

/// Slots of the upstream.
const SLOTS: u32 = 18;
/// Mean work of a request: the slots do 90 a second.
const WORK_MS: u64 = 200;
/// Objective and deadline of each request, from its arrival.
const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct Request {
    came: Moment,
    rank: Rank,
}

/// Work of the request `id`: between half and one and a half of the mean.
fn work(id: u64) -> Duration {
    let draw = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    Duration::from_millis(WORK_MS / 2 + draw % WORK_MS)
}

/// What callers of one rank got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Longest time that a refused request was held.
    held: Duration,
}

/// Plays `rates` (requests a second by rank) for `seconds` against an upstream with `SLOTS`.
fn play(rates: [u32; 3], seconds: u64) -> [Got; 3] {
    play_callers(rates, seconds, false)
}

/// The same; callers may be `returning`, when they were told to, as long as there is time for their work.
fn play_callers(rates: [u32; 3], seconds: u64, returning: bool) -> [Got; 3] {
    let mut gate: AdmissionController<Request> = AdmissionController::new(SLOTS);
    let mut got = [Got::default(); 3];
    let mut ends: BinaryHeap<std::cmp::Reverse<(Moment, u64)>> = BinaryHeap::new();
    let mut running = BTreeMap::new();
    let mut returns: BTreeMap<(Moment, u64), Request> = BTreeMap::new();
    let (mut count, mut returned) = (0, 0);
    for ms in 0..seconds * 1_000 {
        let now = Duration::from_millis(ms);
        let mut started = Vec::new();
        let mut shed = Vec::new();
        while ends.peek().is_some_and(|end| end.0.0 <= now) {
            let Some(std::cmp::Reverse((_, id))) = ends.pop() else { break };
            let (request, began): (Request, Moment) = running.remove(&id).expect("it runs");
            let answer = &mut got[usize::from(request.rank)];
            if now <= request.came + OBJECTIVE {
                answer.in_time += 1;
            } else {
                answer.late += 1;
            }
            gate.finish(Some(now - began));
        }
        loop {
            let popped = gate.start_next(now);
            shed.extend(popped.shed);
            let Some(request) = popped.next else { break };
            started.push(request);
        }
        let mut come = Vec::new();
        for (rank, rate) in rates.iter().enumerate() {
            let due = |ms: u64| ms * u64::from(*rate) / 1_000;
            let rank = rank as Rank;
            come.extend((due(ms)..due(ms + 1)).map(|_| Request { came: now, rank }));
        }
        come.iter().for_each(|request| got[usize::from(request.rank)].asked += 1);
        while let Some(back) = returns.first_entry().filter(|back| back.key().0 <= now) {
            come.push(back.remove());
        }
        for request in come {
            let deadline = request.came + DEADLINE;
            let objective = deadline.min(now + OBJECTIVE);
            let wish = PendingRequest { rank: request.rank, objective, deadline, item: request };
            let offered = gate.offer(now, wish);
            started.extend(offered.started);
            shed.extend(offered.shed);
        }
        for request in started {
            count += 1;
            ends.push(std::cmp::Reverse((now + work(count), count)));
            running.insert(count, (request, now));
        }
        assert!(running.len() <= SLOTS as usize);
        for shed in shed {
            let answer = &mut got[usize::from(shed.item.rank)];
            answer.refused += 1;
            answer.held = answer.held.max(now - shed.item.came);
            assert!(shed.retry_after > Duration::ZERO);
            let back = now + shed.retry_after;
            if returning && back + Duration::from_millis(WORK_MS) < shed.item.came + DEADLINE {
                returned += 1;
                returns.insert((back, returned), shed.item);
            }
        }
    }
    got
}

/// Twice as much as the slots can do: those that are served are served in time, at the rate that the
/// slots allow, and the others are told at once.
#[test]
fn double_load() {
    let [_, got, _] = play([0, 180, 0], 20);
    assert!(got.in_time >= 90 * 20 * 85 / 100, "{got:?}");
    assert!(got.late * 10 <= got.in_time, "{got:?}");
    assert!(got.refused >= got.asked * 40 / 100, "{got:?}");
}

/// A burst of half a second above what the slots can do is served whole, some of it late.
#[test]
fn short_burst() {
    let calm = play([0, 60, 0], 10)[1];
    assert_eq!(calm.refused, 0, "{calm:?}");
    assert_eq!(calm.late, 0, "{calm:?}");
}

/// The most urgent go first, and the others get what is left.
#[test]
fn ranks_in_order() {
    let [urgent, usual, rest] = play([30, 40, 60], 20);
    assert_eq!(urgent.refused, 0, "{urgent:?}");
    assert!(usual.refused * 20 <= usual.asked, "{usual:?}");
    assert!(rest.refused > 0, "{rest:?}");
    assert!(rest.in_time > 0, "{rest:?}");
    let share = |got: Got| (got.in_time + got.late) * 100 / got.asked;
    assert!(share(usual) >= share(rest), "{usual:?} {rest:?}");
}

/// What is refused under lasting overload is refused when it comes, not after it has waited.
#[test]
fn refused_at_once() {
    let [_, got, _] = play([0, 270, 0], 10);
    assert!(got.held <= OBJECTIVE, "{got:?}");
}

/// Upstreams that are cold get no more than their pace, whatever is offered.
#[test]
fn cold_pace_holds() {
    let mut gate = AdmissionController::new(SLOTS);
    let start = Duration::from_secs(5);
    gate.set_cold(start, Duration::from_secs(3), 28.0);
    let mut sent = 0;
    for ms in 0..1_000 {
        let now = start + Duration::from_millis(ms);
        let wish = PendingRequest {
            rank: 1,
            objective: now + OBJECTIVE,
            deadline: now + DEADLINE,
            item: (),
        };
        sent += u32::from(gate.offer(now, wish).started.is_some());
        while gate.start_next(now).next.is_some() {
            sent += 1;
        }
        gate.finish(None);
    }
    assert!((25..=36).contains(&sent), "{sent}");
}

/// A waiting request is started when the pace of a cold upstream allows it, without any other event.
#[test]
fn cold_wake() {
    let mut gate = AdmissionController::new(SLOTS);
    let now = Duration::from_secs(5);
    gate.set_cold(now, Duration::from_secs(3), 10.0);
    let wish = || PendingRequest {
        rank: 1,
        objective: now + OBJECTIVE,
        deadline: now + DEADLINE,
        item: (),
    };
    assert!(gate.offer(now, wish()).started.is_some());
    assert!(gate.offer(now, wish()).started.is_none());
    let wake = gate.next_start(now).expect("a request waits for the pace");
    assert!(wake > now && wake <= now + Duration::from_millis(100));
    assert!(gate.start_next(wake + Duration::from_millis(1)).next.is_some());
}

/// Plays the load of calls, which come in bursts: a gate that was made before the upstream's slots were
/// known holds as many requests as they can serve in time.
#[test]
fn burst_of_calls() {
    let mut gate = AdmissionController::new(1);
    gate.set_slots(SLOTS);
    let start = Duration::from_secs(5);
    gate.finish(Some(Duration::from_millis(25)));
    let wish = PendingRequest {
        rank: 0,
        objective: start + OBJECTIVE,
        deadline: start + DEADLINE,
        item: (),
    };
    let offers: Vec<_> = (0..SLOTS * 3).map(|_| gate.offer(start, wish.clone())).collect();
    assert_eq!(offers.iter().map(|offered| offered.shed.len()).sum::<usize>(), 0);
    assert_eq!((gate.running(), gate.waiting()), (SLOTS, SLOTS * 2));
}

/// Under lasting overload callers are told to come back when there may be room, rather than to the same full
/// queue: no fewer are served, and those who are not have asked in vain twice at most.
#[test]
fn few_in_vain() {
    for rate in [140, 220] {
        let [_, got, _] = play_callers([0, rate, 0], 20, true);
        let (served, refusals) = (got.in_time + got.late, got.refused);
        let unserved = got.asked - served;
        assert!(served >= 90 * 20 * 90 / 100, "{rate}: {served} served, {refusals} refusals");
        assert!(refusals <= unserved * 2, "{rate}: {served} served, {refusals} refusals");
    }
}

/// Requests of a low rank that others push back are refused while their callers have time to come back, not at
/// the end of it.
#[test]
fn never_held_long() {
    for rates in [[70, 0, 25], [80, 10, 10], [85, 20, 20]] {
        for got in play(rates, 20) {
            assert!(got.held <= DEADLINE / 2 + Duration::from_millis(10), "{rates:?}: {got:?}");
        }
    }
}

//! Downloads over a link that is slower than the slots produce them.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_admission::UplinkBacklog;

const MS: Duration = Duration::from_millis(1);
const SIZE: usize = 90_000;
const WORK: Duration = Duration::from_millis(220);
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Link rate. About 17 responses of `SIZE` a second use up the share for large responses.
const MEGABITS: f64 = 15.0;

/// Simulates `rate` downloads a second for 20 s. With `limited`, requests that would be late are refused.
/// Returns the numbers of responses in time, late responses and refused requests.
fn simulate(rate: u32, limited: bool) -> (u32, u32, u32) {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    let bytes_per_ms = MEGABITS * 1e6 / 8.0 * 0.85 / 1e3;
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    let mut working: VecDeque<Duration> = VecDeque::new();
    let mut sending: VecDeque<(Duration, f64)> = VecDeque::new();
    let (mut due, mut now) = (0.0, Duration::ZERO);
    while now < Duration::from_secs(20) {
        now += MS;
        due += f64::from(rate) / 1e3;
        while due >= 1.0 {
            due -= 1.0;
            // Responses of requests that still run will be sent before this one too, but are not queued yet.
            if limited && backlog.retry_after(now, WORK, now + OBJECTIVE).is_some() {
                refused += 1;
            } else {
                working.push_back(now);
            }
        }
        while working.front().is_some_and(|arrived| *arrived + WORK <= now) {
            let arrived = working.pop_front().expect("the queue was checked above");
            backlog.enqueue(SIZE);
            sending.push_back((arrived, SIZE as f64));
        }
        let mut remaining = bytes_per_ms;
        while let Some((arrived, left)) = sending.front_mut() {
            if *left == SIZE as f64 {
                backlog.start_sending(now, SIZE);
            }
            let sent = remaining.min(*left);
            *left -= sent;
            remaining -= sent;
            if *left > 0.5 {
                break;
            }
            let count = if now <= *arrived + OBJECTIVE { &mut in_time } else { &mut late };
            *count += 1;
            sending.pop_front();
        }
    }
    (in_time, late, refused)
}

/// At one and a half times the link capacity, responses are in time and the link stays busy.
#[test]
fn late_downloads_refused() {
    let (in_time, late, refused) = simulate(26, true);
    assert!(late * 10 <= in_time, "{in_time} in time, {late} late, {refused} refused");
    assert!(in_time > 17 * 20 * 8 / 10, "{in_time} in time, {late} late, {refused} refused");
    let (without, _, _) = simulate(26, false);
    assert!(without * 3 < in_time, "{without} in time without a limit, {in_time} with it");
}

/// Below the link capacity, no request is refused.
#[test]
fn none_refused() {
    let (in_time, late, refused) = simulate(15, true);
    assert_eq!((late, refused), (0, 0));
    assert!(in_time > 14 * 20);
}

/// Responses that have had the time to be sent are not counted, even if a late daemon has done nothing since.
#[test]
fn late_daemon() {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    for _ in 0..15 {
        backlog.enqueue(SIZE);
        backlog.start_sending(MS, SIZE);
    }
    assert!(backlog.retry_after(MS, WORK, MS + OBJECTIVE).is_some(), "the link is full");
    let later = MS * 201;
    assert_eq!(
        backlog.retry_after(later, WORK, later + OBJECTIVE),
        None,
        "three responses have been sent"
    );
}

/// Sends queued responses of `size` for 20 s, each `late` after its delay. Returns the ratio of the link that they use,
/// and the longest time for which responses in flight occupy it.
fn send_queued(size: usize, late: Duration) -> (f64, Duration) {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    let (mut now, mut count, mut longest) = (Duration::ZERO, 0, Duration::ZERO);
    while now < Duration::from_secs(20) {
        backlog.enqueue(size);
        let delay = backlog.send_delay(now, size);
        if !delay.is_zero() {
            now += delay + late;
        }
        backlog.start_sending(now, size);
        longest = longest.max(backlog.time_to_clear(now));
        count += 1;
    }
    let bytes = f64::from(count) * size as f64;
    (bytes / (MEGABITS * 1e6 / 8.0 * 0.85 * now.as_secs_f64()), longest)
}

/// Queued responses fill the link, even if the daemon sends them late, and those in flight never exceed the window.
#[test]
fn queued_fill_link() {
    for (size, late) in [(SIZE, 0), (SIZE, 40), (SIZE / 2, 0), (SIZE / 2, 70)] {
        let (used, longest) = send_queued(size, MS * late);
        assert!(used > 0.99, "{used} of the link used by {size} bytes, {late} ms late");
        assert!(longest <= MS * 100, "{longest:?} with {size} bytes, {late} ms late");
    }
    let (used, longest) = send_queued(SIZE * 4, Duration::ZERO);
    assert!(used > 0.99, "{used} of the link used by responses that are larger than the window");
    assert!(longest < MS * 227, "{longest:?}: large responses are sent one at a time");
}

/// A link whose rate is not known limits nothing.
#[test]
fn unknown_rate() {
    let mut backlog = UplinkBacklog::new(0.0);
    backlog.enqueue(SIZE * 1_000);
    assert_eq!(backlog.time_to_clear(MS), Duration::ZERO);
    backlog.start_sending(MS, SIZE * 1_000);
    assert_eq!(backlog.time_to_clear(MS), Duration::ZERO);
    assert_eq!(backlog.send_delay(MS, SIZE * 1_000), Duration::ZERO);
    assert_eq!(backlog.retry_after(MS, WORK, MS + OBJECTIVE), None);
}

/// Queued responses stay in the backlog until they are sent or cancelled.
#[test]
fn queued_counted() {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    for _ in 0..15 {
        backlog.enqueue(SIZE);
    }
    let (full, later) = (backlog.time_to_clear(MS), MS * 10_001);
    assert_eq!(backlog.time_to_clear(later), full);
    assert!(backlog.retry_after(later, WORK, later + OBJECTIVE).is_some());
    for _ in 0..14 {
        backlog.cancel(SIZE);
    }
    backlog.start_sending(later, SIZE);
    let last = backlog.time_to_clear(later);
    assert!(last * 14 < full && full < last * 16, "{last:?} of {full:?}");
    assert_eq!(backlog.time_to_clear(later + last), Duration::ZERO);
}

/// A link that was idle carries no more than its rate afterwards.
#[test]
fn idle_time_not_saved() {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    let waits = [MS, MS * 10_001].map(|now| {
        backlog.enqueue(SIZE);
        backlog.start_sending(now, SIZE);
        backlog.time_to_clear(now)
    });
    assert_eq!(waits[0], waits[1]);
}

/// A request that would be late by a moment is told to retry after the time of a whole response, not after that moment.
#[test]
fn shortest_retry_after() {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    while backlog.retry_after(MS, WORK, MS + OBJECTIVE).is_none() {
        backlog.enqueue(SIZE);
    }
    let delay = backlog.retry_after(MS, WORK, MS + OBJECTIVE).expect("the request would be late");
    assert!(delay * 18 >= Duration::from_secs(1), "{delay:?}");
    let mut backlog = UplinkBacklog::new(MEGABITS);
    backlog.enqueue(SIZE);
    backlog.start_sending(MS, SIZE);
    let almost = MS + backlog.time_to_clear(MS) - MS / 2;
    let delay = backlog
        .retry_after(almost, OBJECTIVE, almost + OBJECTIVE)
        .expect("the request would be late");
    assert!(delay * 18 >= Duration::from_secs(1), "{delay:?} when half a millisecond is left");
}

/// Traffic between daemons is sent before queued large responses, and does not count in their mean size.
#[test]
fn daemon_traffic_first() {
    let mut backlog = UplinkBacklog::new(MEGABITS);
    backlog.enqueue(SIZE);
    let one = backlog.time_to_clear(MS);
    backlog.send_immediately(MS, SIZE * 10);
    assert_eq!(backlog.time_to_clear(MS).as_millis(), (one * 11).as_millis());
    assert_eq!(
        backlog.expected_time(MS).as_millis(),
        (one * 12).as_millis(),
        "the mean size has not changed"
    );
    assert!(backlog.retry_after(MS, WORK, MS + one * 11).is_some());
    assert!(backlog.send_delay(MS, SIZE) > one * 8, "the response waits for that traffic");
    assert_eq!(backlog.time_to_clear(MS + one * 10).as_millis(), one.as_millis());
}

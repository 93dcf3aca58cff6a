//! Downloads over a link that bears less than the slots produce.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_admission::UplinkBacklog;

const MS: Duration = Duration::from_millis(1);
const SIZE: usize = 90_000;
const WORK: Duration = Duration::from_millis(220);
const AIM: Duration = Duration::from_secs(1);
/// Of 15 Mbit/s; 17 such answers a second fill the part for large answers.
const MEGABITS: f64 = 15.0;

/// Plays `rate` downloads a second for 20 s; `limited` says whether what would be late is refused.
/// Returns how many were answered in time, late, and refused.
fn play(rate: u32, limited: bool) -> (u32, u32, u32) {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    let bytes_a_ms = MEGABITS * 1e6 / 8.0 * 0.85 / 1e3;
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    let mut working: VecDeque<Duration> = VecDeque::new();
    let mut sending: VecDeque<(Duration, f64)> = VecDeque::new();
    let (mut due, mut now) = (0.0, Duration::ZERO);
    while now < Duration::from_secs(20) {
        now += MS;
        due += f64::from(rate) / 1e3;
        while due >= 1.0 {
            due -= 1.0;
            // What runs will have to be sent before it as well.
            if limited && uplink.retry_after(now, WORK, now + AIM).is_some() {
                refused += 1;
            } else {
                working.push_back(now);
            }
        }
        while working.front().is_some_and(|came| *came + WORK <= now) {
            let came = working.pop_front().expect("it was just seen");
            uplink.enqueue(SIZE);
            sending.push_back((came, SIZE as f64));
        }
        let mut room = bytes_a_ms;
        while let Some((came, left)) = sending.front_mut() {
            if *left == SIZE as f64 {
                uplink.start_sending(now, SIZE);
            }
            let part = room.min(*left);
            *left -= part;
            room -= part;
            if *left > 0.5 {
                break;
            }
            let count = if now <= *came + AIM { &mut in_time } else { &mut late };
            *count += 1;
            sending.pop_front();
        }
    }
    (in_time, late, refused)
}

/// At one and a half times what the link bears, what is sent is in time, and the link is never idle.
#[test]
fn late_ones_refused() {
    let (in_time, late, refused) = play(26, true);
    assert!(late * 10 <= in_time, "{in_time} in time, {late} late, {refused} refused");
    assert!(in_time > 17 * 20 * 8 / 10, "{in_time} in time, {late} late, {refused} refused");
    let (without, _, _) = play(26, false);
    assert!(without * 3 < in_time, "{without} in time without a limit, {in_time} with it");
}

/// Below that, none is refused.
#[test]
fn room_used() {
    let (in_time, late, refused) = play(15, true);
    assert_eq!((late, refused), (0, 0));
    assert!(in_time > 14 * 20);
}

/// What has had the time to leave is not counted, also if a late daemon has done nothing since.
#[test]
fn late_daemon() {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    for _ in 0..15 {
        uplink.enqueue(SIZE);
        uplink.start_sending(MS, SIZE);
    }
    assert!(uplink.retry_after(MS, WORK, MS + AIM).is_some(), "it is full");
    let later = MS * 201;
    assert_eq!(uplink.retry_after(later, WORK, later + AIM), None, "three have left");
}

/// Lets answers of `size` that wait have their turns for 20 s; each is noticed `late`. Returns the part of the link
/// that they fill, and the longest time that those in flight fill it for.
fn take_turns(size: usize, late: Duration) -> (f64, Duration) {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    let (mut now, mut count, mut longest) = (Duration::ZERO, 0, Duration::ZERO);
    while now < Duration::from_secs(20) {
        uplink.enqueue(size);
        let pause = uplink.send_delay(now, size);
        if !pause.is_zero() {
            now += pause + late;
        }
        uplink.start_sending(now, size);
        longest = longest.max(uplink.time_to_clear(now));
        count += 1;
    }
    let bytes = f64::from(count) * size as f64;
    (bytes / (MEGABITS * 1e6 / 8.0 * 0.85 * now.as_secs_f64()), longest)
}

/// Answers that wait fill the link, also if their turns are noticed late, and no more than the window.
#[test]
fn turns_fill_link() {
    for (size, late) in [(SIZE, 0), (SIZE, 40), (SIZE / 2, 0), (SIZE / 2, 70)] {
        let (filled, longest) = take_turns(size, MS * late);
        assert!(filled > 0.99, "{filled} filled by {size} bytes, {late} ms late");
        assert!(longest <= MS * 100, "{longest:?} with {size} bytes, {late} ms late");
    }
    let (filled, longest) = take_turns(SIZE * 4, Duration::ZERO);
    assert!(filled > 0.99, "{filled} filled by answers that are larger than the window");
    assert!(longest < MS * 227, "{longest:?}: one at a time");
}

/// A link whose rate is not known binds nothing.
#[test]
fn rate_unknown() {
    let mut uplink = UplinkBacklog::new(0.0);
    uplink.enqueue(SIZE * 1_000);
    assert_eq!(uplink.time_to_clear(MS), Duration::ZERO);
    uplink.start_sending(MS, SIZE * 1_000);
    assert_eq!(uplink.time_to_clear(MS), Duration::ZERO);
    assert_eq!(uplink.send_delay(MS, SIZE * 1_000), Duration::ZERO);
    assert_eq!(uplink.retry_after(MS, WORK, MS + AIM), None);
}

/// An answer that waits for its turn has not begun to leave, and one that is dropped meanwhile never will.
#[test]
fn waiting_counted() {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    for _ in 0..15 {
        uplink.enqueue(SIZE);
    }
    let (full, later) = (uplink.time_to_clear(MS), MS * 10_001);
    assert_eq!(uplink.time_to_clear(later), full);
    assert!(uplink.retry_after(later, WORK, later + AIM).is_some());
    for _ in 0..14 {
        uplink.cancel(SIZE);
    }
    uplink.start_sending(later, SIZE);
    let last = uplink.time_to_clear(later);
    assert!(last * 14 < full && full < last * 16, "{last:?} of {full:?}");
    assert_eq!(uplink.time_to_clear(later + last), Duration::ZERO);
}

/// A link that has idled carries no more than its rate afterwards.
#[test]
fn idle_time_gone() {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    let waits = [MS, MS * 10_001].map(|now| {
        uplink.enqueue(SIZE);
        uplink.start_sending(now, SIZE);
        uplink.time_to_clear(now)
    });
    assert_eq!(waits[0], waits[1]);
}

/// What comes a moment too late is told to stay away until an answer has left, not for that moment.
#[test]
fn pause_of_an_answer() {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    while uplink.retry_after(MS, WORK, MS + AIM).is_none() {
        uplink.enqueue(SIZE);
    }
    let pause = uplink.retry_after(MS, WORK, MS + AIM).expect("it is late");
    assert!(pause * 18 >= Duration::from_secs(1), "{pause:?}");
    let mut uplink = UplinkBacklog::new(MEGABITS);
    uplink.enqueue(SIZE);
    uplink.start_sending(MS, SIZE);
    let almost = MS + uplink.time_to_clear(MS) - MS / 2;
    let pause = uplink.retry_after(almost, AIM, almost + AIM).expect("it is late");
    assert!(pause * 18 >= Duration::from_secs(1), "{pause:?} when half a millisecond is left");
}

/// What daemons tell each other takes its part of the link from large answers, and does not count as one of them.
#[test]
fn control_first() {
    let mut uplink = UplinkBacklog::new(MEGABITS);
    uplink.enqueue(SIZE);
    let one = uplink.time_to_clear(MS);
    uplink.send_immediately(MS, SIZE * 10);
    assert_eq!(uplink.time_to_clear(MS).as_millis(), (one * 11).as_millis());
    assert_eq!(
        uplink.expected_time(MS).as_millis(),
        (one * 12).as_millis(),
        "the mean answer is as large as before"
    );
    assert!(uplink.retry_after(MS, WORK, MS + one * 11).is_some());
    assert!(uplink.send_delay(MS, SIZE) > one * 8, "it waits for them");
    assert_eq!(uplink.time_to_clear(MS + one * 10).as_millis(), one.as_millis());
}

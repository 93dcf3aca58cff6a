//! Downloads over a link that bears less than the slots produce.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_admission::Uplink;

const MS: Duration = Duration::from_millis(1);
const SIZE: usize = 90_000;
const WORK: Duration = Duration::from_millis(220);
const AIM: Duration = Duration::from_secs(1);
/// Of 15 Mbit/s; 17 such answers a second fill the part for large answers.
const MEGABITS: f64 = 15.0;

/// Plays `rate` downloads a second for 20 s; `limited` says whether what would be late is refused.
/// Returns how many were answered in time, late, and refused.
fn play(rate: u32, limited: bool) -> (u32, u32, u32) {
    let mut uplink = Uplink::new(MEGABITS);
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
            if limited && uplink.is_late(now, WORK, now + AIM).is_some() {
                refused += 1;
            } else {
                working.push_back(now);
            }
        }
        while working.front().is_some_and(|came| *came + WORK <= now) {
            let came = working.pop_front().expect("it was just seen");
            uplink.begin(SIZE);
            sending.push_back((came, SIZE as f64));
        }
        let mut room = bytes_a_ms;
        while let Some((came, left)) = sending.front_mut() {
            let part = room.min(*left);
            *left -= part;
            room -= part;
            if *left > 0.5 {
                break;
            }
            uplink.end(SIZE);
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

/// A link whose rate is not known binds nothing.
#[test]
fn rate_unknown() {
    let mut uplink = Uplink::new(0.0);
    uplink.begin(SIZE * 1_000);
    assert_eq!(uplink.wait(), Duration::ZERO);
    assert_eq!(uplink.window(), None);
    assert_eq!(uplink.is_late(MS, WORK, MS + AIM), None);
}

/// What comes a moment too late is told to stay away until an answer has left, not for that moment.
#[test]
fn pause_of_an_answer() {
    let mut uplink = Uplink::new(MEGABITS);
    while uplink.is_late(MS, WORK, MS + AIM).is_none() {
        uplink.begin(SIZE);
    }
    let pause = uplink.is_late(MS, WORK, MS + AIM).expect("it is late");
    assert!(pause * 18 >= Duration::from_secs(1), "{pause:?}");
}

/// What daemons tell each other takes its part of the link from large answers, and does not count as one of them.
#[test]
fn control_first() {
    let mut uplink = Uplink::new(MEGABITS);
    uplink.begin(SIZE);
    let one = uplink.wait();
    uplink.begin_control(SIZE * 10);
    assert_eq!(uplink.wait().as_millis(), (one * 11).as_millis());
    assert_eq!(
        uplink.expected().as_millis(),
        (one * 12).as_millis(),
        "the mean answer is as large as before"
    );
    assert!(uplink.is_late(MS, WORK, MS + one * 11).is_some());
    uplink.end(SIZE * 10);
    assert_eq!(uplink.wait(), one);
}

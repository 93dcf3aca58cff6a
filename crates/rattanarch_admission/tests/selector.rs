//! Selection among upstreams, and hedging.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::HedgeBudget;
use rattanarch_admission::Selector;
use rattanarch_admission::UpstreamKey;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends `count` requests one after another. Returns how many of them `watched` got.
fn send(
    selector: &mut Selector,
    now: &mut Duration,
    count: u32,
    watched: UpstreamKey,
    outcome: impl Fn(UpstreamKey) -> AttemptOutcome,
) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut hits = 0;
    for _ in 0..count {
        let random = [rng.next_u64(), rng.next_u64()];
        let Some(key) = selector.choose(*now, random, None) else {
            panic!("no upstream can be chosen")
        };
        selector.start(key);
        *now += ms(1);
        selector.end(*now, key, outcome(key));
        hits += u32::from(key == watched);
    }
    hits
}

#[test]
fn even_spread() {
    let mut selector = Selector::default();
    let keys: Vec<_> = (0..8).map(|_| selector.insert()).collect();
    for key in &keys {
        selector.start(*key);
        selector.end(ms(0), *key, AttemptOutcome::Responded(ms(5)));
    }
    let mut now = ms(1);
    let hits = send(&mut selector, &mut now, 8_000, keys[3], |_| AttemptOutcome::Responded(ms(5)));
    assert!((800..1_200).contains(&hits), "{hits} of 8000 for one of eight");
}

#[test]
fn straggler_ejected() {
    let mut selector = Selector::default();
    let keys: Vec<_> = (0..6).map(|_| selector.insert()).collect();
    let bad = keys[0];
    let mut now = ms(1);
    let slow = |key| AttemptOutcome::Responded(if key == bad { ms(100) } else { ms(5) });
    for key in keys.iter().copied().cycle().take(36) {
        selector.start(key);
        selector.end(now, key, slow(key));
    }
    assert_eq!(selector.ejected(), 1);
    // Delays of 0.5, 1, 2 and 4 s allow three probes in four seconds.
    let hits = send(&mut selector, &mut now, 4_000, bad, slow);
    assert!(hits <= 4, "an ejected upstream got {hits} requests");
    now += ms(16_000);
    let hits = send(&mut selector, &mut now, 4_000, bad, |_| AttemptOutcome::Responded(ms(5)));
    assert_eq!(selector.ejected(), 0);
    assert!(hits > 300, "{hits} of 4000 after its recovery");
}

#[test]
fn ejected_skipped() {
    let mut selector = Selector::default();
    let keys: Vec<_> = (0..3).map(|_| selector.insert()).collect();
    for _ in 0..5 {
        for key in &keys {
            selector.start(*key);
            let millis = if *key == keys[0] { 100 } else { 5 };
            selector.end(ms(1), *key, AttemptOutcome::Responded(ms(millis)));
        }
    }
    assert_eq!(selector.ejected(), 1);
    // The others are so loaded that the ejected one has the lowest expected latency.
    for key in &keys[1..] {
        for _ in 0..50 {
            selector.start(*key);
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..100 {
        let random = [rng.next_u64(), rng.next_u64()];
        assert_ne!(selector.choose(ms(2), random, None), Some(keys[0]));
    }
}

#[test]
fn bounded_ejection() {
    let mut selector = Selector::default();
    let keys: Vec<_> = (0..9).map(|_| selector.insert()).collect();
    let time = |index: usize| if index < 4 { ms(500) } else { ms(5) };
    for _ in 0..10 {
        for (index, key) in keys.iter().enumerate() {
            selector.start(*key);
            selector.end(ms(1), *key, AttemptOutcome::Responded(time(index)));
        }
    }
    assert_eq!(selector.ejected(), 3);
}

#[test]
fn failing_upstream() {
    let mut selector = Selector::default();
    let keys: Vec<_> = (0..4).map(|_| selector.insert()).collect();
    for _ in 0..10 {
        for key in &keys {
            selector.start(*key);
            let outcome = if *key == keys[1] {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Responded(ms(5))
            };
            selector.end(ms(1), *key, outcome);
        }
    }
    assert_eq!(selector.ejected(), 1);
}

#[test]
fn busy_avoided() {
    let mut selector = Selector::default();
    let (busy, idle) = (selector.insert(), selector.insert());
    for key in [busy, idle] {
        selector.start(key);
        selector.end(ms(1), key, AttemptOutcome::Responded(ms(5)));
    }
    selector.start(busy);
    assert_eq!(selector.choose(ms(2), [0, 0], None), Some(idle));
    assert_eq!(selector.choose(ms(2), [u64::MAX, 0], None), Some(idle));
    selector.remove(idle);
    assert_eq!(selector.choose(ms(2), [0, 0], None), Some(busy));
    assert_eq!(selector.choose(ms(2), [0, 0], Some(busy)), None);
}

#[test]
fn hedge_limit() {
    let mut hedges = HedgeBudget::default();
    let mut sent = 0;
    for _ in 0..10_000 {
        hedges.deposit();
        // All upstreams are slow, so that every request exceeds the delay.
        sent += u32::from(hedges.try_withdraw());
    }
    assert!((500..=505).contains(&sent), "{sent} hedges of 10000 requests");
}

#[test]
fn hedge_delay() {
    let mut hedges = HedgeBudget::default();
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut exceeded = 0;
    for index in 0..40_000 {
        let time = Duration::from_micros(1_000 + rng.next_u64() % 9_000);
        exceeded += u32::from(index >= 20_000 && time > hedges.delay());
        hedges.observe(time);
    }
    assert!((200..700).contains(&exceeded), "{exceeded} of 20000 exceed the 98th percentile");
}

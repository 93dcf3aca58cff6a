//! A warm upstream whose service times vary, with and without [`AdmissionController::set_adaptive_pace`].

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_admission::AdmissionController;
use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::PaceState;
use rattanarch_admission::PendingRequest;
use rattanarch_admission::ShedRequest;
use rattanarch_types::Moment;

const SLOTS: u32 = 12;
const SECONDS: u64 = 120;
/// Mean work of a request outside of slow periods.
const WORK_MS: f64 = 100.0;
/// Factor by which work takes longer in a slow period.
const SLOWDOWN: f64 = 3.0;
/// Share of the time that is in slow periods.
const SLOW_RATIO: f64 = 0.2;
/// Mean length of a slow period.
const SLOW_PERIOD_MS: f64 = 400.0;
const OBJECTIVE_MS: u64 = 600;
const DEADLINE_MS: u64 = 1_800;
/// Jitter that the daemon adds to the time after which a refused caller returns.
const JITTER: f64 = 0.4;

/// Distribution of the work of requests.
#[derive(Clone, Copy, Debug)]
enum Work {
    Exponential,
    Lognormal,
}

/// What a slow period slows down.
#[derive(Clone, Copy, Debug)]
enum Slow {
    /// All that runs during it.
    Running,
    /// What starts during it.
    Started,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: u64,
    /// Milliseconds of work.
    work: f64,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u32,
    in_time: u32,
    served: u32,
    refused: u32,
    timed_out: u32,
    /// Milliseconds in which the upstream was not taken as warm.
    limited_ms: u32,
}

/// Number from 0 to 1, excluding both.
fn random(rng: &mut ChaCha8Rng) -> f64 {
    (f64::from(rng.next_u32()) + 0.5) / 4_294_967_296.0
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -random(rng).ln()
}

impl Work {
    /// Work of a request in milliseconds.
    fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        const SIGMA: f64 = 0.8;
        match self {
            Self::Exponential => WORK_MS * exponential(rng),
            Self::Lognormal => {
                let (radius, angle) = ((2.0 * exponential(rng)).sqrt(), random(rng));
                let normal = radius * (angle * std::f64::consts::TAU).cos();
                WORK_MS * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
            }
        }
    }
}

impl Slow {
    /// Requests a second that the upstream can serve.
    fn capacity(self) -> f64 {
        let mean_speed = 1.0 - SLOW_RATIO + SLOW_RATIO / SLOWDOWN;
        let mean_factor = 1.0 - SLOW_RATIO + SLOW_RATIO * SLOWDOWN;
        let share = match self {
            Self::Running => mean_speed,
            Self::Started => 1.0 / mean_factor,
        };
        f64::from(SLOTS) / (WORK_MS / 1e3) * share
    }
}

/// Whether each millisecond is in a slow period.
fn slow_periods(rng: &mut ChaCha8Rng) -> Vec<bool> {
    let total = (SECONDS * 1_000) as usize;
    let mut slow = Vec::with_capacity(total);
    let mut is_slow = false;
    while slow.len() < total {
        let mean = if is_slow { SLOW_PERIOD_MS } else { SLOW_PERIOD_MS * (1.0 / SLOW_RATIO - 1.0) };
        // From half of the mean to one and a half.
        let length = (mean * (0.5 + random(rng))) as usize;
        slow.extend(std::iter::repeat_n(is_slow, length));
        is_slow = !is_slow;
    }
    slow.truncate(total);
    slow
}

/// Plays callers that send `load` times the capacity and return once if they are refused.
fn play(work: Work, slow: Slow, load: f64, seed: u64, adaptive: bool) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slow_periods = slow_periods(&mut rng);
    let mut arrivals: BTreeMap<u64, Vec<Request>> = BTreeMap::new();
    let mut at = 0.0;
    let mut counts = Counts::default();
    loop {
        at += exponential(&mut rng) * 1e3 / (slow.capacity() * load);
        let arrived = at as u64;
        if arrived >= SECONDS * 1_000 - DEADLINE_MS {
            break;
        }
        let request = Request { arrived, work: work.draw(&mut rng), attempts: 0 };
        arrivals.entry(arrived).or_default().push(request);
        counts.offered += 1;
    }
    let mut jitter = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut controller = AdmissionController::new(SLOTS);
    controller.set_adaptive_pace(adaptive);
    // Requests, when they were sent, and the milliseconds of work that are left.
    let mut running: Vec<(Request, u64, f64)> = Vec::new();
    for ms in 0..SECONDS * 1_000 {
        let now = Moment::from_millis(ms);
        let is_slow = slow_periods[ms as usize];
        let speed = if is_slow && matches!(slow, Slow::Running) { 1.0 / SLOWDOWN } else { 1.0 };
        let (mut started, mut shed) = (Vec::new(), Vec::new());
        let mut index = 0;
        while index < running.len() {
            running[index].2 -= speed;
            let (request, sent, left) = running[index];
            let is_late = ms >= request.arrived + DEADLINE_MS;
            if left > 0.0 && !is_late {
                index += 1;
                continue;
            }
            running.remove(index);
            let sent_at = Moment::from_millis(sent);
            if left > 0.0 {
                counts.timed_out += 1;
                let allowed = Duration::from_millis(request.arrived + DEADLINE_MS - sent);
                // As the daemon does: one that had little time says nothing about the upstream.
                if allowed >= controller.mean_service_time() * 4 {
                    controller.observe(now, sent_at, AttemptOutcome::Failed);
                }
                controller.finish(None);
            } else {
                counts.served += 1;
                counts.in_time += u32::from(ms <= request.arrived + OBJECTIVE_MS);
                let time = now - sent_at;
                controller.observe(now, sent_at, AttemptOutcome::Responded(time));
                controller.finish(Some(time));
            }
        }
        loop {
            let popped = controller.start_next(now);
            shed.extend(popped.shed);
            let Some(next) = popped.next else { break };
            started.push(next);
        }
        for mut item in arrivals.remove(&ms).unwrap_or_default() {
            item.attempts += 1;
            let offered = controller.offer(
                now,
                PendingRequest {
                    rank: 0,
                    objective: Moment::from_millis(item.arrived + OBJECTIVE_MS),
                    deadline: Moment::from_millis(item.arrived + DEADLINE_MS),
                    flow: None,
                    item,
                },
            );
            started.extend(offered.started);
            shed.extend(offered.shed);
        }
        for request in started {
            let factor = if is_slow && matches!(slow, Slow::Started) { SLOWDOWN } else { 1.0 };
            running.push((request, ms, request.work * factor));
        }
        for ShedRequest { item, deadline, retry_after } in shed {
            if item.attempts > 1 {
                counts.refused += 1;
                continue;
            }
            let told = retry_after.mul_f64(1.0 + JITTER * random(&mut jitter));
            let delay = told.min(deadline.saturating_sub(now) / 3).as_millis() as u64;
            arrivals.entry(ms + delay.max(1)).or_default().push(item);
        }
        counts.limited_ms += u32::from(controller.forecast(now).state != PaceState::Warm);
    }
    counts
}

/// The plays of one kind of load in which fewer were served in time with the adaptive pace.
fn losses(work: Work, slow: Slow) -> Vec<String> {
    let mut losses = Vec::new();
    for load in [0.7, 0.8, 0.9, 1.0, 1.1] {
        for seed in 1..=3 {
            let [fixed, adaptive] =
                [false, true].map(|adaptive| play(work, slow, load, seed, adaptive));
            assert!(fixed.in_time * 2 > fixed.offered, "hardly any are served: {fixed:?}");
            if adaptive.in_time < fixed.in_time {
                let named = format!("{work:?}, slow {slow:?}, load {load}, seed {seed}");
                losses.push(format!("{named}: {adaptive:?}, without {fixed:?}"));
            }
        }
    }
    losses
}

/// Guards against limits for an upstream that is warm and only varies: with the adaptive pace, no fewer callers are served
/// in time than without it.
#[test]
fn warm_and_varying() {
    let kinds = [Work::Exponential, Work::Lognormal]
        .map(|work| [Slow::Running, Slow::Started].map(|slow| (work, slow)));
    let losses: Vec<_> = thread::scope(|scope| {
        let plays = kinds.as_flattened().iter();
        let plays: Vec<_> =
            plays.map(|(work, slow)| scope.spawn(|| losses(*work, *slow))).collect();
        plays.into_iter().flat_map(|play| play.join().expect("the plays end")).collect()
    });
    assert!(losses.is_empty(), "{} of 60\n{}", losses.len(), losses.join("\n"));
}

//! Which instance of a service without keys serves a request.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

use crate::Candidate;

/// How many times as long a small answer of a local instance may take before a remote one is better:
/// crossing costs a round trip and a few kilobytes.
const SMALL_FACTOR: f64 = 1.6;

/// The same for a large answer: traffic between data centres is paid for by the byte, and small
/// answers that go elsewhere leave room for it.
const LARGE_FACTOR: f64 = 6.0;

/// How large the answer to a request is expected to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseSize {
    /// A few kilobytes.
    Small,
    /// Tens of kilobytes and more.
    Large,
}

/// A candidate of which nothing is known is taken to be as fast as this.
const UNKNOWN_MEAN: Duration = Duration::from_millis(50);

/// How much worse a candidate is that failed all of the last requests: worse than any queue.
const FAILING_FACTOR: f64 = 20.0;

/// How much worse a cold candidate is: it refuses most of what it gets.
const COLD_FACTOR: f64 = 3.0;

/// Picks a candidate by expected latency, local ones first unless they are far slower, the more so the
/// larger the answer.
///
/// Answers two loads. On a heavy day on few instances of unequal speed in several data centres, each
/// sender knows the load of all of them from its last answers. In a large service a sender hears of each
/// instance once in seconds: if all took the one that seems best, the fastest of each data centre would get
/// more than its link and processor bear. So two of each side are drawn, the faster the likelier, and only
/// loads that are known to be recent decide between them.
///
/// `draw` is a random number. Returns an index into `candidates`; `None` if there is none.
pub fn choose_instance(candidates: &[Candidate], size: ResponseSize, draw: u64) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(draw);
    let local = draw_one(candidates, size, true, &mut random);
    let remote = draw_one(candidates, size, false, &mut random);
    let (Some(near), Some(far)) = (local, remote) else {
        return local.or(remote).map(|drawn| drawn.index);
    };
    let stays = near.cost <= far.cost * distance(size);
    Some(if stays { near } else { far }.index)
}

/// A candidate that was drawn.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    index: usize,
    cost: f64,
    /// Its place among the others: the least number wins.
    lot: f64,
}

/// One of the candidates that are `local` or not: the better of two, if both loads are recent.
fn draw_one(
    candidates: &[Candidate],
    size: ResponseSize,
    local: bool,
    random: &mut ChaCha8Rng,
) -> Option<Drawn> {
    let drawn = |(index, candidate): (usize, &Candidate)| {
        let cost = cost(candidate, size);
        // The least of exponentially distributed numbers is drawn in proportion to their rates.
        let uniform = (random.next_u64() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        Drawn { index, cost, lot: -uniform.ln() * cost }
    };
    let side = candidates.iter().enumerate().filter(|(_, candidate)| candidate.local == local);
    let mut drawn: Vec<Drawn> = side.map(drawn).collect();
    drawn.sort_by(|a, b| a.lot.total_cmp(&b.lot));
    match drawn[..] {
        [] => None,
        [first] => Some(first),
        [first, second, ..] => {
            let known = candidates[first.index].recent_load && candidates[second.index].recent_load;
            Some(if known && second.cost < first.cost { second } else { first })
        }
    }
}

/// How many times as much a local candidate may cost as a remote one.
fn distance(size: ResponseSize) -> f64 {
    match size {
        ResponseSize::Small => SMALL_FACTOR,
        ResponseSize::Large => LARGE_FACTOR,
    }
}

fn cost(candidate: &Candidate, size: ResponseSize) -> f64 {
    let failing = 1.0 + candidate.failure_ratio * FAILING_FACTOR;
    let cold = if candidate.cold { COLD_FACTOR } else { 1.0 };
    candidate.expected(UNKNOWN_MEAN, size) * failing * cold
}

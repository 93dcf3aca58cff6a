//! Which instance of a service without keys serves a request.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;

use crate::Candidate;

/// Ratio of local to remote cost up to which a small response comes from a local instance: a remote
/// one costs a round trip and a few kilobytes between data centres.
const SMALL_LOCAL_RATIO: f64 = 1.6;

/// The same ratio for a large response: traffic between data centres is billed by the byte, and small
/// responses that come from elsewhere leave local capacity for large ones.
const LARGE_LOCAL_RATIO: f64 = 6.0;

/// Expected size of the response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseSize {
    /// A few kilobytes.
    Small,
    /// Tens of kilobytes or more.
    Large,
}

/// Mean service time that is assumed for a candidate without any measurement.
const DEFAULT_MEAN_TIME: Duration = Duration::from_millis(50);

/// Cost factor that is added for a candidate that failed all of its last requests: worse than any queue.
const FAILURE_PENALTY: f64 = 20.0;

/// Cost factor of a cold candidate, which refuses most requests.
const COLD_PENALTY: f64 = 3.0;

/// Picks a candidate by expected latency. Local candidates are preferred unless they are far slower, and
/// more strongly so for large responses.
///
/// Covers two cases. With few instances of unequal speed in several data centres under heavy load, each
/// sender knows the load of all of them from their last responses. In a large service a sender gets a report
/// from each instance only every few seconds: if all senders took the instance that seems best, the fastest
/// one of each data centre would get more requests than its link and CPU can handle. So two local and two
/// remote candidates are drawn with probabilities inverse to their cost, and only recent loads decide between
/// the two.
///
/// `draw` is a random number. Returns an index into `candidates`, or `None` if it is empty.
pub fn choose_instance(candidates: &[Candidate], size: ResponseSize, draw: u64) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(draw);
    let local = draw_candidate(candidates, size, true, &mut random);
    let remote = draw_candidate(candidates, size, false, &mut random);
    let (Some(near), Some(far)) = (local, remote) else {
        return local.or(remote).map(|drawn| drawn.index);
    };
    let stays_local = near.cost <= far.cost * max_local_ratio(size);
    Some(if stays_local { near } else { far }.index)
}

/// A candidate that was drawn.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    index: usize,
    cost: f64,
    /// Exponentially distributed random number; the candidate with the smallest one is drawn first.
    sample: f64,
}

/// Draws two of the candidates that are `local` or not. Returns the cheaper one if both loads are recent, or
/// else the first one drawn.
fn draw_candidate(
    candidates: &[Candidate],
    size: ResponseSize,
    local: bool,
    random: &mut ChaCha8Rng,
) -> Option<Drawn> {
    let drawn = |(index, candidate): (usize, &Candidate)| {
        let cost = cost(candidate, size);
        // The probability that one of several exponentially distributed numbers is the smallest is proportional to
        // its rate.
        let uniform = (random.next_u64() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        Drawn { index, cost, sample: -uniform.ln() * cost }
    };
    let same_side = candidates.iter().enumerate().filter(|(_, candidate)| candidate.local == local);
    let mut drawn: Vec<Drawn> = same_side.map(drawn).collect();
    drawn.sort_by(|a, b| a.sample.total_cmp(&b.sample));
    match drawn[..] {
        [] => None,
        [first] => Some(first),
        [first, second, ..] => {
            let recent =
                candidates[first.index].recent_load && candidates[second.index].recent_load;
            Some(if recent && second.cost < first.cost { second } else { first })
        }
    }
}

/// Highest ratio of the cost of a local candidate to that of a remote one at which the local one is taken.
fn max_local_ratio(size: ResponseSize) -> f64 {
    match size {
        ResponseSize::Small => SMALL_LOCAL_RATIO,
        ResponseSize::Large => LARGE_LOCAL_RATIO,
    }
}

/// Expected latency of `candidate` in seconds, times its penalties.
fn cost(candidate: &Candidate, size: ResponseSize) -> f64 {
    let failures = 1.0 + candidate.failure_ratio * FAILURE_PENALTY;
    let cold = if candidate.cold { COLD_PENALTY } else { 1.0 };
    candidate.expected_latency(DEFAULT_MEAN_TIME, size) * failures * cold
}

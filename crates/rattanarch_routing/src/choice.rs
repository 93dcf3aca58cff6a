//! Which instance of a service without keys serves a request.

use std::time::Duration;

use crate::Candidate;

/// How many times as long a small answer of a local instance may take before a remote one is better:
/// crossing costs a round trip and a few kilobytes.
const SMALL_FACTOR: f64 = 1.6;

/// The same for a large answer: traffic between data centres is paid for by the byte, and small
/// answers that go elsewhere leave room for it.
const LARGE_FACTOR: f64 = 6.0;

/// How large the answer to a request is expected to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerSize {
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

/// Picks the candidate with the least expected latency, local ones first unless they are far
/// slower, the more so the larger the answer. Answers the load of a heavy day on few instances of
/// unequal speed in several data centres. Among equals, `draw` (a random number) decides.
///
/// Returns an index into `candidates`; `None` if there is none.
pub fn choose(candidates: &[Candidate], size: AnswerSize, draw: u64) -> Option<usize> {
    let count = candidates.len();
    let first = (u128::from(draw) * count as u128) >> u64::BITS;
    let order = (0..count).map(|step| (first as usize + step) % count);
    order.min_by(|a, b| cost(&candidates[*a], size).total_cmp(&cost(&candidates[*b], size)))
}

fn cost(candidate: &Candidate, size: AnswerSize) -> f64 {
    let distance = match size {
        _ if candidate.local => 1.0,
        AnswerSize::Small => SMALL_FACTOR,
        AnswerSize::Large => LARGE_FACTOR,
    };
    let failing = 1.0 + candidate.failing * FAILING_FACTOR;
    let cold = if candidate.cold { COLD_FACTOR } else { 1.0 };
    candidate.expected(UNKNOWN_MEAN, size) * distance * failing * cold
}

//! Which instance of a service without keys serves a request.

use std::time::Duration;

use crate::Candidate;

/// How many times as long the answer of a local instance may take before a remote one is better:
/// traffic between data centres is paid for by the byte, and crossing costs a round trip.
const LOCAL_FACTOR: f64 = 2.5;

/// A candidate of which nothing is known is taken to be as fast as this.
const UNKNOWN_MEAN: Duration = Duration::from_millis(50);

/// How much worse a candidate is that failed all of the last requests: worse than any queue.
const FAILING_FACTOR: f64 = 20.0;

/// How much worse a cold candidate is: it refuses most of what it gets.
const COLD_FACTOR: f64 = 3.0;

/// Picks the candidate with the least expected latency, local ones first unless they are far
/// slower. Answers the load of a heavy day on few instances of unequal speed. Among equals, `draw`
/// (a random number) decides.
///
/// Returns an index into `candidates`; `None` if there is none.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let count = candidates.len();
    let first = (u128::from(draw) * count as u128) >> u64::BITS;
    let order = (0..count).map(|step| (first as usize + step) % count);
    order.min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
}

fn cost(candidate: &Candidate) -> f64 {
    let distance = if candidate.local { 1.0 } else { LOCAL_FACTOR };
    let failing = 1.0 + candidate.failing * FAILING_FACTOR;
    let cold = if candidate.cold { COLD_FACTOR } else { 1.0 };
    candidate.expected(UNKNOWN_MEAN) * distance * failing * cold
}

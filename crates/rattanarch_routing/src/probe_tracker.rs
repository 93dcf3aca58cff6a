//! Probes of a peer that has not responded to a request.

use std::time::Duration;

use derive_more::Display;

/// Time without a response after which a peer is probed; longer than most requests take.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(350);

/// Failed probes in a row after which a peer counts as unreachable: packets wait up to half a second
/// when callers send more than a link carries, and one probe takes a quarter of a second.
const MAX_FAILED_PROBES: u32 = 2;

/// Delay between two probes after one has failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a probe of a peer has shown.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProbeResult {
    /// The peer accepted a connection, however slowly.
    #[display("here")]
    Reachable,
    /// The peer did not accept a connection; a saturated link alone can cause this.
    #[display("missed")]
    Failed,
    /// The peer may be down: new requests, and the one that is waiting, should go elsewhere.
    #[display("gone")]
    Unreachable,
}

/// Decides when to probe a peer that has not responded to a request, and what the probes show.
///
/// When a machine or the path to it fails, the peer is silent, and a request that waits for it until its deadline
/// could have been served elsewhere. A saturated link or a busy machine can also make a probe fail, and a response may
/// still arrive, so the request keeps waiting in any case. A request that must not run twice is never sent elsewhere.
#[derive(Debug)]
pub struct ProbeTracker {
    /// Whether the request may run a second time on another instance.
    idempotent: bool,
    /// Probes that have failed in a row.
    failed: u32,
}

impl ProbeTracker {
    /// Starts when the request is sent; `idempotent` says whether it may run twice.
    pub fn new(idempotent: bool) -> Self {
        Self { idempotent, failed: 0 }
    }

    /// Delay until the next probe.
    pub fn delay(&self) -> Duration {
        if self.failed == 0 { FIRST_PROBE_DELAY } else { RETRY_DELAY }
    }

    /// Takes the result of a probe: whether the peer accepted a fresh connection. `stopping` says whether this
    /// process is shutting down, which leaves its requests no time to be sent elsewhere.
    pub fn on_probe(&mut self, reachable: bool, stopping: bool) -> ProbeResult {
        if reachable {
            self.failed = 0;
            return ProbeResult::Reachable;
        }
        self.failed += 1;
        let unreachable = self.failed >= MAX_FAILED_PROBES && self.idempotent && !stopping;
        if unreachable { ProbeResult::Unreachable } else { ProbeResult::Failed }
    }
}

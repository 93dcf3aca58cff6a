//! When a request whose peer says nothing is sent elsewhere too.

use std::time::Duration;

use derive_more::Display;

/// Time without an answer after which a peer is looked at: longer than most requests take.
const SILENCE: Duration = Duration::from_millis(350);

/// Looks in a row that have to fail before a peer may be gone: packets wait for up to half a second
/// where callers press beyond what a link bears, and each look takes a quarter of one.
const LOOKS: u32 = 2;

/// Pause between two such looks.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// What a look at a peer has shown.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProbeResult {
    /// It is there, however slow.
    #[display("here")]
    Reachable,
    /// It was not reached, which a full link alone may do.
    #[display("missed")]
    Failed,
    /// It may be gone: new requests had better go elsewhere, and this one may too.
    #[display("gone")]
    Unreachable,
}

/// Looks at a peer that was sent a request and has not answered.
///
/// Answers the loss of a machine, or of the way to it: it says nothing, and a request that waits for it until its
/// deadline could have gone elsewhere. A look may fail for a full link or a busy machine alone, and an answer may still
/// come: the request waits on in any case. One that must not run twice goes nowhere else.
#[derive(Debug)]
pub struct ProbeTracker {
    /// Whether the request may run once more elsewhere.
    repeatable: bool,
    /// Looks that have failed in a row.
    missed: u32,
}

impl ProbeTracker {
    /// Begins when the request was sent; `repeatable` says whether it may run twice.
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable, missed: 0 }
    }

    /// Time until the next look.
    pub fn delay(&self) -> Duration {
        if self.missed == 0 { SILENCE } else { LOOK_PAUSE }
    }

    /// Takes the end of a look: whether the peer took a fresh connection. `stopping` says whether the own process is:
    /// its requests have no time to go elsewhere.
    pub fn on_probe(&mut self, here: bool, stopping: bool) -> ProbeResult {
        if here {
            self.missed = 0;
            return ProbeResult::Reachable;
        }
        self.missed += 1;
        let gone = self.missed >= LOOKS && self.repeatable && !stopping;
        if gone { ProbeResult::Unreachable } else { ProbeResult::Failed }
    }
}

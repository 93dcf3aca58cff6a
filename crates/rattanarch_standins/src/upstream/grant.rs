//! The fenced grant under which an upstream executes requests.

use rattanarch_types::Fence;

/// The accepted grant with the highest fence. Times are milliseconds on the clock of the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Grant {
    /// Never decreases.
    fence: Fence,
    until: u64,
    /// Number of times that the grant had expired before the next one was accepted.
    lapses: u64,
}

/// The fence of the offered grant is lower than that of the accepted one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StaleFence;

/// Identifies the grant under which a request was admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted {
    lapses: u64,
}

impl Grant {
    pub(crate) fn fence(&self) -> Fence {
        self.fence
    }

    /// Accepts a grant with `fence` that expires at `until`.
    pub(crate) fn accept(&mut self, now: u64, fence: Fence, until: u64) -> Result<(), StaleFence> {
        if fence < self.fence {
            return Err(StaleFence);
        }
        if now >= self.until {
            self.lapses += 1;
        }
        self.fence = fence;
        self.until = until;
        Ok(())
    }

    /// Admits a request with `fence` if the grant has that fence and has not expired.
    pub(crate) fn admit(&self, now: u64, fence: Fence) -> Option<Admitted> {
        let admitted = fence == self.fence && now < self.until;
        admitted.then_some(Admitted { lapses: self.lapses })
    }

    /// Whether an admitted request may still take effect: the grant has not expired since.
    pub(crate) fn holds(&self, now: u64, admitted: Admitted) -> bool {
        now < self.until && self.lapses == admitted.lapses
    }
}

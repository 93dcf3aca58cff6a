//! The fenced grant that an upstream runs requests under.

use rattanarch_types::Fence;

/// The highest grant taken. Times are milliseconds on the upstream's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Grant {
    /// Never falls.
    fence: Fence,
    until: u64,
    /// How often the grant had ended by the time that the next one was taken.
    lapses: u64,
}

/// A grant lower than the one taken was offered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outdated;

/// Proof that a request was let in under a grant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted {
    lapses: u64,
}

impl Grant {
    pub(crate) fn fence(&self) -> Fence {
        self.fence
    }

    /// Takes a grant with `fence` that ends at `until`.
    pub(crate) fn take(&mut self, now: u64, fence: Fence, until: u64) -> Result<(), Outdated> {
        if fence < self.fence {
            return Err(Outdated);
        }
        if now >= self.until {
            self.lapses += 1;
        }
        self.fence = fence;
        self.until = until;
        Ok(())
    }

    /// Lets a request in that carries `fence`, if that is the grant's and it has not ended.
    pub(crate) fn admit(&self, now: u64, fence: Fence) -> Option<Admitted> {
        let admitted = fence == self.fence && now < self.until;
        admitted.then_some(Admitted { lapses: self.lapses })
    }

    /// Whether a request that was let in may still take effect: the grant has held all the time.
    pub(crate) fn holds(&self, now: u64, admitted: Admitted) -> bool {
        now < self.until && self.lapses == admitted.lapses
    }
}

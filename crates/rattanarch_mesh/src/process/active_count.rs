//! Counts things in progress.

use std::cell::Cell;
use std::rc::Rc;

/// Number of things in progress, such as requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveCount(Rc<Cell<usize>>);

/// One thing in progress, counted until the guard is dropped.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Rc<Cell<usize>>);

impl ActiveCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn begin(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(Rc::clone(&self.0))
    }

    /// The current number.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

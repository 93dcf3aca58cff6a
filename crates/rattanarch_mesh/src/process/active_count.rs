//! How many of something are under way.

use std::cell::Cell;
use std::rc::Rc;

/// How many of something are under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveCount(Rc<Cell<usize>>);

/// One thing under way, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Rc<Cell<usize>>);

impl ActiveCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn begin(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(Rc::clone(&self.0))
    }

    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

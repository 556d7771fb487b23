//! Requests and connections under way, for planned stops.

use std::cell::Cell;
use std::rc::Rc;

/// Requests under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

/// One request under way, until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(InFlight);

impl InFlight {
    /// Counts a request.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Requests under way now.
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &(self.0).0;
        count.set(count.get().saturating_sub(1));
    }
}

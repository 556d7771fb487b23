//! Counts requests in flight.

use std::cell::Cell;
use std::rc::Rc;

/// Shared counter of the requests in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(InFlight);

impl InFlight {
    /// Counts a request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Number of requests in flight.
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

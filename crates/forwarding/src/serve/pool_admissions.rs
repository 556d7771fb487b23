//! Admission state by pool, and records of admission decisions.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_routing::overload::{PoolAdmission, RoomAccount, WaiterId};
use dalestand_types::{MonotonicTime, PoolName};
use tokio::sync::oneshot;

/// Admission state of one node, by pool.
#[derive(Default)]
pub(crate) struct PoolAdmissions {
    pools: RefCell<HashMap<PoolName, Rc<PoolState>>>,
}

/// Admission state of one pool.
#[derive(Default)]
pub(super) struct PoolState {
    pub(super) admission: RefCell<PoolAdmission>,
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<Reservation>>>,
    pub(super) refreshed_at: Cell<Option<MonotonicTime>>,
    /// Rate of first attempts at this node, by priority.
    pub(super) first_attempts_per_s: RefCell<Vec<(u8, f64)>>,
    pub(super) is_releasing: Cell<bool>,
}

/// A place reserved for a request that has not been sent yet. Dropping it ends the reservation;
/// once sent, the request counts among those at engines.
pub(crate) struct Reservation(pub(super) Rc<PoolState>);

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.admission.borrow_mut().record_sent();
    }
}

/// The admission decision on a request, for its log line.
pub(crate) struct AdmissionRecord {
    pub(super) outcome: &'static str,
    pub(super) account: RoomAccount,
    pub(super) waiting: usize,
    pub(super) waited: Duration,
}

impl AdmissionRecord {
    /// Formats the decision for the log.
    pub(crate) fn summary(&self) -> String {
        let account = &self.account;
        format!(
            "{} after {}ms ({:.0} of {:.0} places taken, part {:.3}, {:.1} here, {:.1} a second come free here, \
             {} wait here, {:.0} at all nodes, known {}ms ago)",
            self.outcome,
            self.waited.as_millis(),
            account.taken,
            account.places,
            account.part,
            account.own_places,
            account.own_freed_per_s,
            self.waiting,
            account.waiting,
            account.age.as_millis(),
        )
    }
}

impl PoolAdmissions {
    /// For each pool: the number of waiting requests, and the places of this node.
    pub(crate) fn summaries(&self) -> Vec<(PoolName, usize, f64)> {
        let pools = self.pools.borrow();
        let summaries = pools.iter().map(|(pool, state)| {
            let admission = state.admission.borrow();
            let places = admission
                .account()
                .map_or(0.0, |account| account.own_places);
            (pool.clone(), admission.waiting(), places)
        });
        summaries.collect()
    }

    /// The state of a pool, created if missing.
    pub(super) fn pool_state(&self, pool: &PoolName) -> Rc<PoolState> {
        let mut pools = self.pools.borrow_mut();
        Rc::clone(pools.entry(pool.clone()).or_default())
    }
}

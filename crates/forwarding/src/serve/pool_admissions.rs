//! The rooms of one node: who waits for a place in which pool, and what decided about a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_routing::overload::{PoolAdmission, RoomAccount, WaiterId};
use dalestand_types::{MonotonicTime, PoolName};
use tokio::sync::oneshot;

/// The rooms of one node, by pool.
#[derive(Default)]
pub(crate) struct PoolAdmissions {
    desks: RefCell<HashMap<PoolName, Rc<Desk>>>,
}

/// One pool's room, and who waits for it.
#[derive(Default)]
pub(super) struct Desk {
    pub(super) room: RefCell<PoolAdmission>,
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<Place>>>,
    pub(super) looked_at: Cell<Option<MonotonicTime>>,
    /// First tries a second at this node, by priority.
    pub(super) asked: RefCell<Vec<(u8, f64)>>,
    pub(super) is_releasing: Cell<bool>,
}

/// A place at an engine that a request has and has not been sent to. It is given back when dropped: from the send on
/// the request counts among those at engines.
pub(crate) struct Place(pub(super) Rc<Desk>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.room.borrow_mut().note_sent();
    }
}

/// What decided about a request, for its account.
pub(crate) struct AdmissionRecord {
    pub(super) outcome: &'static str,
    pub(super) account: RoomAccount,
    pub(super) waiting: usize,
    pub(super) waited: Duration,
}

impl AdmissionRecord {
    /// The record as the log tells it.
    pub(crate) fn account(&self) -> String {
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
    /// Requests that wait, and places that this node may have, by pool that has an account.
    pub(crate) fn summaries(&self) -> Vec<(PoolName, usize, f64)> {
        let desks = self.desks.borrow();
        let summaries = desks.iter().map(|(pool, desk)| {
            let room = desk.room.borrow();
            let places = room.account().map_or(0.0, |account| account.own_places);
            (pool.clone(), room.waiting(), places)
        });
        summaries.collect()
    }

    /// The room of a pool.
    pub(super) fn desk(&self, pool: &PoolName) -> Rc<Desk> {
        let mut desks = self.desks.borrow_mut();
        Rc::clone(desks.entry(pool.clone()).or_default())
    }
}

//! The memory of the request bodies of a process, shared by all its connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

use crate::ledger::{Decision, EntryId, Ledger, Owner, Usage};

/// Bounds the memory of all request bodies of a process. Clones share it; it belongs to one thread.
#[derive(Clone)]
pub struct MemoryAccount(Rc<Shared>);

struct Shared {
    ledger: RefCell<Ledger>,
    /// Notified of each body that has to give way.
    displaced: RefCell<HashMap<EntryId, Rc<Notify>>>,
    /// Notified when memory is released.
    released: Notify,
}

/// There is no memory for a body: the bound is reached, and other bodies do not give way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for request bodies")]
pub struct NoMemory;

/// A body has to give way to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body gives way to another")]
pub struct Displaced;

impl fmt::Debug for MemoryAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("MemoryAccount")
            .field(&self.usage())
            .finish()
    }
}

impl MemoryAccount {
    /// An account of `limit_bytes` for all bodies together.
    pub fn new(limit_bytes: usize) -> Self {
        Self(Rc::new(Shared {
            ledger: RefCell::new(Ledger::new(limit_bytes)),
            displaced: RefCell::default(),
            released: Notify::new(),
        }))
    }

    /// What is held now.
    pub fn usage(&self) -> Usage {
        self.0.ledger.borrow().usage()
    }

    /// Whether a body of `bytes` that is about to arrive would get memory.
    pub fn has_room(&self, owner: Owner, bytes: usize) -> bool {
        let mut ledger = self.0.ledger.borrow_mut();
        ledger.has_room(owner, bytes, Instant::now())
    }

    /// A reservation of no bytes, for a body that is about to be received.
    pub fn open(&self, owner: Owner) -> Reservation {
        let id = self.0.ledger.borrow_mut().open(owner, Instant::now());
        let displaced = Rc::<Notify>::default();
        let mut all = self.0.displaced.borrow_mut();
        all.insert(id, Rc::clone(&displaced));
        Reservation {
            account: self.clone(),
            id,
            displaced,
        }
    }
}

/// The memory of one body, until dropped.
pub struct Reservation {
    account: MemoryAccount,
    id: EntryId,
    displaced: Rc<Notify>,
}

impl Reservation {
    /// Reserves `bytes` more. Waits while bodies that give way release theirs.
    pub async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
        let shared = &self.account.0;
        loop {
            let released = shared.released.notified();
            let decision = self.decide(bytes);
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Refused => return Err(NoMemory),
                Decision::Displaces(chosen) => {
                    let displaced = shared.displaced.borrow();
                    let chosen = chosen.iter().filter_map(|id| displaced.get(id));
                    chosen.for_each(|displaced| displaced.notify_one());
                }
            }
            tokio::select! {
                () = released => {}
                Displaced = self.displaced() => return Err(NoMemory),
            }
        }
    }

    fn decide(&self, bytes: usize) -> Decision {
        let mut ledger = self.account.0.ledger.borrow_mut();
        ledger.grow(self.id, bytes, Instant::now())
    }

    /// Records that bytes of the body have arrived.
    pub fn record_progress(&self) {
        let mut ledger = self.account.0.ledger.borrow_mut();
        ledger.record_progress(self.id, Instant::now());
    }

    /// Records that the body has been received. It no longer gives way.
    pub fn complete(&self) {
        self.account.0.ledger.borrow_mut().complete(self.id);
    }

    /// Completes when the body has to give way.
    pub async fn displaced(&self) -> Displaced {
        while !self.account.0.ledger.borrow().is_displaced(self.id) {
            self.displaced.notified().await;
        }
        Displaced
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let shared = &self.account.0;
        shared.ledger.borrow_mut().close(self.id);
        shared.displaced.borrow_mut().remove(&self.id);
        shared.released.notify_waiters();
    }
}

//! Requests of one node that wait for a place in one pool.
//!
//! Answers a burst that is over before those who came in it have run out of time: they are kept in order instead of
//! being sent to engines that refuse them.

use std::collections::{BTreeMap, BTreeSet};

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::class_scheduler::{ClassScheduler, QueueEntry};
use super::retry_after::RETURN_SHARE;

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// Place of a request among those of its class: tenants within their share first, then by when it must be sent.
type Place = (ShareStanding, MonotonicTime, WaiterId);

fn in_time_place(claim: &QueueEntry, number: WaiterId) -> Place {
    (claim.standing, claim.on_time_until, number)
}

fn late_place(claim: &QueueEntry, number: WaiterId) -> Place {
    (claim.standing, claim.expires_at, number)
}

/// Requests of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Those that a place lets be answered in time.
    in_time: BTreeSet<Place>,
    /// The same by the time that they have left: those who were refused once and came back have least.
    returning: BTreeSet<Place>,
    /// Those that it would let be answered late.
    late: BTreeSet<Place>,
    /// Part of a release that is owed to those with least time left.
    owed: f64,
}

impl ClassQueue {
    fn insert(&mut self, claim: &QueueEntry, number: WaiterId, now: MonotonicTime) {
        if claim.on_time_until > now {
            self.in_time.insert(in_time_place(claim, number));
            self.returning.insert(late_place(claim, number));
        } else {
            self.late.insert(late_place(claim, number));
        }
    }

    fn remove(&mut self, claim: &QueueEntry, number: WaiterId) {
        self.in_time.remove(&in_time_place(claim, number));
        self.returning.remove(&late_place(claim, number));
        self.late.remove(&late_place(claim, number));
    }

    fn next(&mut self) -> Option<WaiterId> {
        self.owed += RETURN_SHARE;
        let place = if self.owed >= 1.0 {
            self.owed -= 1.0;
            self.returning.first()
        } else {
            self.in_time.first()
        };
        place.or(self.late.first()).map(|place| place.2)
    }

    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<u8, ClassQueue>,
    claims: BTreeMap<WaiterId, QueueEntry>,
    turns: ClassScheduler,
    next_number: u64,
}

/// Requests that stand before a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedAhead {
    /// Those before it if it can be answered in time.
    pub in_time: usize,
    /// Those before it if it can, and goes by the time that it has left.
    pub returning: usize,
    /// Those before it if it cannot.
    pub late: usize,
}

impl AdmissionQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Requests of one class that wait.
    pub fn waiting(&self, priority: u8) -> usize {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.in_time.len() + class.late.len())
    }

    /// Requests that stand before a claim that is made now.
    pub fn ahead(&self, claim: &QueueEntry) -> QueuedAhead {
        let urgent = self.classes.range(..claim.priority);
        let urgent: usize = urgent
            .map(|(_, class)| class.in_time.len() + class.late.len())
            .sum();
        let Some(class) = self.classes.get(&claim.priority) else {
            return QueuedAhead {
                in_time: urgent,
                returning: urgent,
                late: urgent,
            };
        };
        let last = WaiterId(u64::MAX);
        let in_time = class.in_time.range(..in_time_place(claim, last));
        let returning = class.returning.range(..late_place(claim, last));
        let late = class.late.range(..late_place(claim, last));
        QueuedAhead {
            in_time: urgent + in_time.count(),
            returning: urgent + returning.count(),
            late: urgent + class.in_time.len() + late.count(),
        }
    }

    /// Takes a request in.
    pub fn enter(&mut self, now: MonotonicTime, claim: QueueEntry) -> WaiterId {
        let number = WaiterId(self.next_number);
        self.next_number += 1;
        let class = self.classes.entry(claim.priority).or_default();
        class.insert(&claim, number, now);
        self.claims.insert(number, claim);
        number
    }

    /// Takes a request out that no longer waits.
    pub fn leave(&mut self, number: WaiterId) {
        let Some(claim) = self.claims.remove(&number) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&claim.priority) {
            class.remove(&claim, number);
            if class.is_empty() {
                self.classes.remove(&claim.priority);
            }
        }
    }

    /// The request that takes the next place. Those for which it would be too late are passed over.
    pub fn release(&mut self, now: MonotonicTime) -> Option<WaiterId> {
        self.sort_out(now);
        let waiting: Vec<u8> = self.classes.keys().copied().collect();
        let priority = self.turns.next(&waiting)?;
        let number = self.classes.get_mut(&priority)?.next()?;
        self.leave(number);
        Some(number)
    }

    /// Puts those that can no longer be answered in time behind, and takes those out that no place helps any more.
    fn sort_out(&mut self, now: MonotonicTime) {
        let hopeless = self.claims.iter();
        let hopeless = hopeless.filter(|(_, claim)| claim.expires_at <= now);
        for number in hopeless.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.leave(number);
        }
        for class in self.classes.values_mut() {
            let late = class.in_time.iter().filter(|place| place.1 <= now);
            for place in late.copied().collect::<Vec<_>>() {
                if let Some(claim) = self.claims.get(&place.2) {
                    class.remove(claim, place.2);
                    class.insert(claim, place.2, now);
                }
            }
        }
    }
}

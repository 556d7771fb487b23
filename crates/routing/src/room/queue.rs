//! Requests of one node that wait for a place in one pool.
//!
//! Answers a burst that is over before those who came in it have run out of time: they are kept in order instead of
//! being sent to engines that refuse them.

use std::collections::{BTreeMap, BTreeSet};

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::order::{Claim, ClassTurns};

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitNumber(u64);

/// Place of a request among those of its class.
type Place = (ShareStanding, MonotonicTime, WaitNumber);

/// Requests of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Those that a place lets be answered in time.
    in_time: BTreeSet<Place>,
    /// Those that it would let be answered late.
    late: BTreeSet<Place>,
}

impl ClassQueue {
    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct RoomQueue {
    classes: BTreeMap<u8, ClassQueue>,
    claims: BTreeMap<WaitNumber, Claim>,
    turns: ClassTurns,
    next_number: u64,
}

/// Requests that stand before a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Those before it if it can be answered in time.
    pub in_time: usize,
    /// Those before it if it cannot.
    pub late: usize,
}

impl RoomQueue {
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
    pub fn ahead(&self, claim: &Claim) -> Ahead {
        let urgent = self.classes.range(..claim.priority);
        let urgent: usize = urgent
            .map(|(_, class)| class.in_time.len() + class.late.len())
            .sum();
        let Some(class) = self.classes.get(&claim.priority) else {
            return Ahead {
                in_time: urgent,
                late: urgent,
            };
        };
        let place = (claim.standing, claim.hopeless_from, WaitNumber(u64::MAX));
        Ahead {
            in_time: urgent + class.in_time.range(..place).count(),
            late: urgent + class.in_time.len() + class.late.range(..place).count(),
        }
    }

    /// Takes a request in.
    pub fn enter(&mut self, now: MonotonicTime, claim: Claim) -> WaitNumber {
        let number = WaitNumber(self.next_number);
        self.next_number += 1;
        let class = self.classes.entry(claim.priority).or_default();
        let place = (claim.standing, claim.hopeless_from, number);
        if claim.in_time_until > now {
            class.in_time.insert(place);
        } else {
            class.late.insert(place);
        }
        self.claims.insert(number, claim);
        number
    }

    /// Takes a request out that no longer waits.
    pub fn leave(&mut self, number: WaitNumber) {
        let Some(claim) = self.claims.remove(&number) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&claim.priority) {
            let place = (claim.standing, claim.hopeless_from, number);
            class.in_time.remove(&place);
            class.late.remove(&place);
            if class.is_empty() {
                self.classes.remove(&claim.priority);
            }
        }
    }

    /// The request that takes the next place. Those for which it would be too late are passed over.
    pub fn release(&mut self, now: MonotonicTime) -> Option<WaitNumber> {
        self.sort_out(now);
        let waiting: Vec<u8> = self.classes.keys().copied().collect();
        let priority = self.turns.next(&waiting)?;
        let class = self.classes.get(&priority)?;
        let (_, _, number) = *class.in_time.first().or(class.late.first())?;
        self.leave(number);
        Some(number)
    }

    /// Puts those that can no longer be answered in time behind, and takes those out that no place helps any more.
    fn sort_out(&mut self, now: MonotonicTime) {
        let hopeless = self.claims.iter();
        let hopeless = hopeless.filter(|(_, claim)| claim.hopeless_from <= now);
        for number in hopeless.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.leave(number);
        }
        for class in self.classes.values_mut() {
            let is_late = |place: &Place| {
                let claim = self.claims.get(&place.2);
                claim.is_none_or(|claim| claim.in_time_until <= now)
            };
            let late: Vec<Place> = class.in_time.iter().copied().filter(is_late).collect();
            for place in late {
                class.in_time.remove(&place);
                class.late.insert(place);
            }
        }
    }
}

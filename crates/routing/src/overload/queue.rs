//! Queue of the requests that wait for a place in one pool at one node.
//!
//! It absorbs bursts that end before the requests expire, instead of sending them to engines that would refuse them.

use std::collections::{BTreeMap, BTreeSet};

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::class_scheduler::{ClassScheduler, QueueEntry};
use super::retry_after::RETRY_SHARE;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// Sort key within a class: requests within their tenant's share first, then by latest start time.
type SortKey = (ShareStanding, MonotonicTime, WaiterId);

fn objective_key(entry: &QueueEntry, waiter: WaiterId) -> SortKey {
    (entry.standing, entry.on_time_until, waiter)
}

fn expiry_key(entry: &QueueEntry, waiter: WaiterId) -> SortKey {
    (entry.standing, entry.expires_at, waiter)
}

/// Queued requests of one priority class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Requests that can still meet their objective, by [`objective_key`].
    on_time: BTreeSet<SortKey>,
    /// The same requests by [`expiry_key`]. Retries come first here: they have the least time left.
    by_expiry: BTreeSet<SortKey>,
    /// Requests that can only meet their deadline, by [`expiry_key`].
    late: BTreeSet<SortKey>,
    /// Credit of the first request of `by_expiry`, in places.
    expiry_credit: f64,
}

impl ClassQueue {
    fn insert(&mut self, entry: &QueueEntry, waiter: WaiterId, now: MonotonicTime) {
        if entry.on_time_until > now {
            self.on_time.insert(objective_key(entry, waiter));
            self.by_expiry.insert(expiry_key(entry, waiter));
        } else {
            self.late.insert(expiry_key(entry, waiter));
        }
    }

    fn remove(&mut self, entry: &QueueEntry, waiter: WaiterId) {
        self.on_time.remove(&objective_key(entry, waiter));
        self.by_expiry.remove(&expiry_key(entry, waiter));
        self.late.remove(&expiry_key(entry, waiter));
    }

    fn next(&mut self) -> Option<WaiterId> {
        self.expiry_credit += RETRY_SHARE;
        let key = if self.expiry_credit >= 1.0 {
            self.expiry_credit -= 1.0;
            self.by_expiry.first()
        } else {
            self.on_time.first()
        };
        key.or(self.late.first()).map(|key| key.2)
    }

    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }
}

/// Requests that wait for a place, by priority class.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<u8, ClassQueue>,
    entries: BTreeMap<WaiterId, QueueEntry>,
    scheduler: ClassScheduler,
    next_id: u64,
}

/// Numbers of queued requests ahead of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedAhead {
    /// Ahead of it if it can meet its objective, by latest start time.
    pub on_time: usize,
    /// Ahead of it if it can meet its objective, by expiry.
    pub by_expiry: usize,
    /// Ahead of it if it can only meet its deadline.
    pub late: usize,
}

impl AdmissionQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of queued requests of one class.
    pub fn waiting(&self, priority: u8) -> usize {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.on_time.len() + class.late.len())
    }

    /// Numbers of requests that would be ahead of `entry` if it were queued now.
    pub fn ahead(&self, entry: &QueueEntry) -> QueuedAhead {
        let urgent = self.classes.range(..entry.priority);
        let urgent: usize = urgent
            .map(|(_, class)| class.on_time.len() + class.late.len())
            .sum();
        let Some(class) = self.classes.get(&entry.priority) else {
            return QueuedAhead {
                on_time: urgent,
                by_expiry: urgent,
                late: urgent,
            };
        };
        let last = WaiterId(u64::MAX);
        let on_time = class.on_time.range(..objective_key(entry, last));
        let by_expiry = class.by_expiry.range(..expiry_key(entry, last));
        let late = class.late.range(..expiry_key(entry, last));
        QueuedAhead {
            on_time: urgent + on_time.count(),
            by_expiry: urgent + by_expiry.count(),
            late: urgent + class.on_time.len() + late.count(),
        }
    }

    /// Queues a request.
    pub fn insert(&mut self, now: MonotonicTime, entry: QueueEntry) -> WaiterId {
        let waiter = WaiterId(self.next_id);
        self.next_id += 1;
        let class = self.classes.entry(entry.priority).or_default();
        class.insert(&entry, waiter, now);
        self.entries.insert(waiter, entry);
        waiter
    }

    /// Removes a request; does nothing if it is not queued.
    pub fn remove(&mut self, waiter: WaiterId) {
        let Some(entry) = self.entries.remove(&waiter) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&entry.priority) {
            class.remove(&entry, waiter);
            if class.is_empty() {
                self.classes.remove(&entry.priority);
            }
        }
    }

    /// Removes and returns the request that gets the next place. Expired requests are dropped.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<WaiterId> {
        self.expire(now);
        let waiting: Vec<u8> = self.classes.keys().copied().collect();
        let priority = self.scheduler.next(&waiting)?;
        let waiter = self.classes.get_mut(&priority)?.next()?;
        self.remove(waiter);
        Some(waiter)
    }

    /// Drops expired requests, and moves those that can no longer meet their objective to the late ones.
    fn expire(&mut self, now: MonotonicTime) {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, entry)| entry.expires_at <= now);
        for waiter in expired.map(|(waiter, _)| *waiter).collect::<Vec<_>>() {
            self.remove(waiter);
        }
        for class in self.classes.values_mut() {
            let late = class.on_time.iter().filter(|key| key.1 <= now);
            for key in late.copied().collect::<Vec<_>>() {
                if let Some(entry) = self.entries.get(&key.2) {
                    class.remove(entry, key.2);
                    class.insert(entry, key.2, now);
                }
            }
        }
    }
}

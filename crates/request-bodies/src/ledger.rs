//! Decides which bodies get memory; pure.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Longest body that may use all of the memory. Longer ones leave a part to these.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// The memory is divided into this many parts, one of which longer bodies leave free.
const PARTS: usize = 4;

/// A body of which nothing has arrived for this long makes no progress.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Shortest time over which the pace of a body is taken.
const MIN_PACE_TIME: Duration = Duration::from_millis(100);

/// Pace of a body that makes no progress.
const STALLED_PACE: f64 = -1.0;

/// On whose account a body is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// The caller's tenant, by its code.
    Tenant(u64),
    /// The caller's address, where callers have no tenants.
    Address(IpAddr),
    /// Unknown.
    Unknown,
}

/// Identifies a body among those of a ledger.
pub(crate) type EntryId = u64;

/// What becomes of a body that needs more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It has the memory.
    Granted,
    /// It has to wait until bodies that give way have released theirs. Those of them that were chosen now.
    Displaces(Vec<EntryId>),
    /// It must give way itself.
    Refused,
}

/// What the bodies of a process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bound for all bodies, in bytes.
    pub limit_bytes: usize,
    /// Bytes held.
    pub bytes: usize,
    /// Number of bodies.
    pub bodies: usize,
    /// Bodies that gave way to others so far.
    pub displaced: u64,
    /// Bodies that got no memory so far.
    pub refused: u64,
}

struct Entry {
    owner: Owner,
    bytes: usize,
    /// Whether it is still being received, so that its request has not run.
    is_receiving: bool,
    is_displaced: bool,
    started_at: Instant,
    progressed_at: Instant,
}

impl Entry {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }

    /// Bytes per second; below that of a body of which nothing has arrived yet, if it makes no progress.
    fn pace(&self, now: Instant) -> f64 {
        if now.saturating_duration_since(self.progressed_at) >= STALL_TIME {
            return STALLED_PACE;
        }
        let age = now.saturating_duration_since(self.started_at);
        self.bytes as f64 / age.max(MIN_PACE_TIME).as_secs_f64()
    }
}

/// The memory of all bodies of a process.
pub(crate) struct Ledger {
    limit: usize,
    used: usize,
    /// Bytes of large bodies among those used.
    used_by_large: usize,
    next_id: EntryId,
    entries: BTreeMap<EntryId, Entry>,
    displaced: u64,
    refused: u64,
}

/// Bytes held by bodies.
#[derive(Clone, Copy, Default)]
struct Held {
    total: usize,
    /// Of large bodies.
    large: usize,
}

/// Bytes that are missing for a body.
#[derive(Clone, Copy)]
struct Shortage {
    /// Bytes that any body may release.
    total: usize,
    /// Bytes that large bodies must release.
    large: usize,
}

impl Shortage {
    fn is_none(self) -> bool {
        self.total == 0 && self.large == 0
    }
}

impl Ledger {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            used_by_large: 0,
            next_id: 0,
            entries: BTreeMap::new(),
            displaced: 0,
            refused: 0,
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        Usage {
            limit_bytes: self.limit,
            bytes: self.used,
            bodies: self.entries.len(),
            displaced: self.displaced,
            refused: self.refused,
        }
    }

    pub(crate) fn open(&mut self, owner: Owner, now: Instant) -> EntryId {
        self.next_id += 1;
        let entry = Entry {
            owner,
            bytes: 0,
            is_receiving: true,
            is_displaced: false,
            started_at: now,
            progressed_at: now,
        };
        self.entries.insert(self.next_id, entry);
        self.next_id
    }

    /// Records that bytes of a body have arrived.
    pub(crate) fn record_progress(&mut self, id: EntryId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progressed_at = now;
        }
    }

    /// Records that a body has been received. It no longer gives way.
    pub(crate) fn complete(&mut self, id: EntryId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_receiving = false;
        }
    }

    pub(crate) fn is_displaced(&self, id: EntryId) -> bool {
        self.entries.get(&id).is_none_or(|entry| entry.is_displaced)
    }

    pub(crate) fn close(&mut self, id: EntryId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.bytes;
            if entry.is_large() {
                self.used_by_large -= entry.bytes;
            }
        }
    }

    /// Whether a body of `bytes` that is about to arrive would get memory.
    pub(crate) fn has_room(&mut self, owner: Owner, bytes: usize, now: Instant) -> bool {
        let id = self.open(owner, now);
        let missing = self.shortage(id, bytes, self.held_after_release());
        let has_room =
            missing.is_none() || self.choose_displaced(id, bytes, missing, now).is_some();
        self.close(id);
        has_room
    }

    /// Gives `bytes` more to a body, or chooses those that give way to it.
    pub(crate) fn grow(&mut self, id: EntryId, bytes: usize, now: Instant) -> Decision {
        if self.is_displaced(id) {
            return Decision::Refused;
        }
        let used = Held {
            total: self.used,
            large: self.used_by_large,
        };
        if self.shortage(id, bytes, used).is_none() {
            self.add(id, bytes);
            return Decision::Granted;
        }
        let missing = self.shortage(id, bytes, self.held_after_release());
        let Some(chosen) = self.choose_displaced(id, bytes, missing, now) else {
            self.refused += 1;
            return Decision::Refused;
        };
        self.displaced += chosen.len() as u64;
        for displaced in &chosen {
            if let Some(entry) = self.entries.get_mut(displaced) {
                entry.is_displaced = true;
            }
        }
        Decision::Displaces(chosen)
    }

    fn add(&mut self, id: EntryId, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let was_large = entry.is_large();
        entry.bytes += bytes;
        self.used += bytes;
        match (was_large, entry.is_large()) {
            (true, _) => self.used_by_large += bytes,
            (false, true) => self.used_by_large += entry.bytes,
            (false, false) => {}
        }
    }

    /// What is held once the displaced bodies have released theirs.
    fn held_after_release(&self) -> Held {
        let mut held = Held::default();
        for entry in self.entries.values().filter(|entry| !entry.is_displaced) {
            held.total += entry.bytes;
            if entry.is_large() {
                held.large += entry.bytes;
            }
        }
        held
    }

    /// What a body lacks for `bytes` more while others hold what they do.
    fn shortage(&self, id: EntryId, bytes: usize, held: Held) -> Shortage {
        let total = (held.total + bytes).saturating_sub(self.limit);
        let own = self.entries.get(&id).map_or(0, |entry| entry.bytes);
        if own + bytes <= SMALL_BODY_BYTES {
            return Shortage { total, large: 0 };
        }
        let newly_large = if own > SMALL_BODY_BYTES { 0 } else { own };
        let large_limit = self.limit - self.limit / PARTS;
        let large = (held.large + newly_large + bytes).saturating_sub(large_limit);
        Shortage { total, large }
    }

    /// The bodies that give way to a body that lacks memory; `None` if not enough of them are worse off than it.
    fn choose_displaced(
        &self,
        id: EntryId,
        bytes: usize,
        mut missing: Shortage,
        now: Instant,
    ) -> Option<Vec<EntryId>> {
        let own = self.entries.get(&id)?;
        let held = self.held_by_owner();
        let held = |owner: Owner| held.get(&owner).copied().unwrap_or_default();
        let (own_held, own_pace) = (held(own.owner) + bytes, own.pace(now));
        let gives_way = |entry: &Entry| {
            if entry.owner == own.owner {
                entry.pace(now) < own_pace
            } else {
                held(entry.owner) > own_held
            }
        };
        let candidates = self.entries.iter().filter(|(other, entry)| {
            **other != id && entry.is_receiving && !entry.is_displaced && gives_way(entry)
        });
        let mut candidates: Vec<(&EntryId, &Entry)> = candidates.collect();
        candidates.sort_by(|(_, first), (_, second)| {
            let by_owner = held(second.owner).cmp(&held(first.owner));
            let by_pace = first.pace(now).total_cmp(&second.pace(now));
            let by_quiet = first.progressed_at.cmp(&second.progressed_at);
            by_owner.then(by_pace).then(by_quiet)
        });
        let mut chosen = Vec::new();
        for (candidate, entry) in candidates {
            if missing.is_none() {
                break;
            }
            let helps = missing.total > 0 || entry.is_large();
            if entry.bytes == 0 || !helps {
                continue;
            }
            missing.total = missing.total.saturating_sub(entry.bytes);
            if entry.is_large() {
                missing.large = missing.large.saturating_sub(entry.bytes);
            }
            chosen.push(*candidate);
        }
        missing.is_none().then_some(chosen)
    }

    fn held_by_owner(&self) -> HashMap<Owner, usize> {
        let mut held = HashMap::new();
        for entry in self.entries.values().filter(|entry| !entry.is_displaced) {
            *held.entry(entry.owner).or_default() += entry.bytes;
        }
        held
    }
}

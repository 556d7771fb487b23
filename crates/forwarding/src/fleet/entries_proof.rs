//! How current the known engine entries are.

use std::cell::Cell;
use std::time::Duration;

use dalestand_clock::BootInstant;

/// Records up to when the known entries are proved complete, and removals that are held back.
#[derive(Debug, Default)]
pub(crate) struct EntriesProof {
    confirmed_at: Cell<Option<BootInstant>>,
    held_removals: Cell<usize>,
}

impl EntriesProof {
    /// Records that the entries include every change that the key-value service had acknowledged at `at`,
    /// unless removals are held back.
    pub(crate) fn confirm(&self, at: BootInstant) {
        if self.held_removals.get() > 0 {
            return;
        }
        self.confirmed_at.set(self.confirmed_at.get().max(Some(at)));
    }

    /// Time since the last proof; `None` if there was none.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(BootInstant::elapsed)
    }

    /// Records that `count` removals are held back.
    pub(crate) fn hold(&self, count: usize) {
        self.held_removals.set(self.held_removals.get() + count);
    }

    /// Records that `count` held removals were applied.
    pub(crate) fn release(&self, count: usize) {
        let held = self.held_removals.get();
        self.held_removals.set(held.saturating_sub(count));
    }

    /// Number of removals that are held back.
    pub(crate) fn held_removals(&self) -> usize {
        self.held_removals.get()
    }
}

//! Limits log lines on what many callers may do at once.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Shortest time between two log lines of one kind.
pub(crate) const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// The last line of each kind, and the number of cases since.
#[derive(Debug)]
pub(crate) struct LineLimit<K>(RefCell<HashMap<K, (MonotonicTime, u64)>>);

impl<K> Default for LineLimit<K> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<K: Eq + Hash> LineLimit<K> {
    /// Whether a case may be logged now: the number of those of its kind since the last line that were not.
    pub(crate) fn admit(&self, now: MonotonicTime, kind: K) -> Option<u64> {
        let mut lines = self.0.borrow_mut();
        let Some((logged_at, unlogged)) = lines.get_mut(&kind) else {
            lines.insert(kind, (now, 0));
            return Some(0);
        };
        if now < *logged_at + LOG_INTERVAL {
            *unlogged += 1;
            return None;
        }
        *logged_at = now;
        Some(std::mem::take(unlogged))
    }
}

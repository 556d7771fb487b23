//! Fixed-length windows of wall-clock time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Index of a window: window `k` starts `k` window lengths after the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowIndex(pub u64);

/// Divides Unix time into windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageWindows {
    length: Duration,
}

impl UsageWindows {
    /// Creates windows of `length`, which is at least one millisecond.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
        }
    }

    /// The window that contains `unix_time`.
    pub fn at(&self, unix_time: Duration) -> WindowIndex {
        let window = unix_time.as_millis() / self.length.as_millis();
        WindowIndex(u64::try_from(window).unwrap_or(u64::MAX))
    }

    /// Unix time at which a window ends.
    pub fn end(&self, window: WindowIndex) -> Duration {
        let length_ms = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(window.0.saturating_add(1).saturating_mul(length_ms))
    }
}

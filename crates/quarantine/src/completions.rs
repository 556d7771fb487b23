//! Recently completed requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::fingerprint::RequestFingerprint;

/// How long a completion clears a request of suspicion. A request that is sent often is present at
/// several engines when many crash at once, but also completes more often than this. A longer
/// window would delay stopping a request that has started to crash engines, for example after a
/// software update.
const COMPLETION_VALIDITY: Duration = Duration::from_secs(60);

/// Maximum number of completions kept: 160 KB at 40 bytes each.
const MAX_COMPLETIONS: usize = 4_096;

/// Completions, with the latest time for each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    latest: HashMap<RequestFingerprint, MonotonicTime>,
    /// Insertion order, for expiry; may contain a request several times.
    order: VecDeque<(RequestFingerprint, MonotonicTime)>,
}

impl Completions {
    /// Records that a request has completed, and drops expired completions.
    pub(crate) fn record(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        self.latest.insert(fingerprint, now);
        self.order.push_back((fingerprint, now));
        while self.order.len() > MAX_COMPLETIONS || self.oldest_has_expired(now) {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            if self.latest.get(&oldest) == Some(&at) {
                self.latest.remove(&oldest);
            }
        }
    }

    /// Whether a request has completed within [`COMPLETION_VALIDITY`].
    pub(crate) fn contains(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let latest = self.latest.get(&fingerprint);
        latest.is_some_and(|at| now.since(*at) < COMPLETION_VALIDITY)
    }

    fn oldest_has_expired(&self, now: MonotonicTime) -> bool {
        let oldest = self.order.front();
        oldest.is_some_and(|(_, at)| now.since(*at) >= COMPLETION_VALIDITY)
    }
}

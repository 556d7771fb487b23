//! Requests that completed a short time ago.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::fingerprint::RequestFingerprint;

/// For how long a completion speaks for a request. It protects requests that come often and are at
/// several engines of a fleet that crashes as a whole: each comes more often than this. Longer would
/// let a request run on that has begun to end engines, as after a change of their software.
const COUNTS_FOR: Duration = Duration::from_secs(60);

/// Completions that are kept: with 40 bytes each, 160 KB.
const MAX_COMPLETIONS: usize = 4_096;

/// Completions, the newest of each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    newest: HashMap<RequestFingerprint, MonotonicTime>,
    /// In the order in which they came; a request may stand here several times.
    order: VecDeque<(RequestFingerprint, MonotonicTime)>,
}

impl Completions {
    /// Notes that a request has completed.
    pub(crate) fn note(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        self.newest.insert(fingerprint, now);
        self.order.push_back((fingerprint, now));
        while self.order.len() > MAX_COMPLETIONS || self.oldest_is_over(now) {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            if self.newest.get(&oldest) == Some(&at) {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Whether a request has completed lately.
    pub(crate) fn has(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let newest = self.newest.get(&fingerprint);
        newest.is_some_and(|at| now.since(*at) < COUNTS_FOR)
    }

    fn oldest_is_over(&self, now: MonotonicTime) -> bool {
        let oldest = self.order.front();
        oldest.is_some_and(|(_, at)| now.since(*at) >= COUNTS_FOR)
    }
}

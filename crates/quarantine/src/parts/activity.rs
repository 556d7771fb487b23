//! How often parts were requested at this node lately, and when requests with them last completed.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::fingerprint::PartFingerprint;

/// Length of a generation; two are kept.
const GENERATION_TIME: Duration = Duration::from_secs(30);

/// Maximum number of parts in a generation: 0.3 MB at 64 bytes each. A fuller one ends early, after which only parts that
/// are requested again are known.
const MAX_PARTS_PER_GENERATION: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    arrivals: u16,
    /// Begin of the latest completed run.
    completed_begin: Option<MonotonicTime>,
}

/// Recent activity by part.
#[derive(Clone, Debug, Default)]
pub struct PartActivity {
    current: HashMap<PartFingerprint, Activity>,
    previous: HashMap<PartFingerprint, Activity>,
    current_since: MonotonicTime,
}

impl PartActivity {
    /// Records a request with these parts.
    pub fn record_arrival(&mut self, now: MonotonicTime, parts: &[PartFingerprint]) {
        for part in parts {
            let activity = self.entry(now, *part);
            activity.arrivals = activity.arrivals.saturating_add(1);
        }
    }

    /// Records that a run of a request with this part has completed.
    pub fn record_completion(
        &mut self,
        now: MonotonicTime,
        part: PartFingerprint,
        begin: MonotonicTime,
    ) {
        let activity = self.entry(now, part);
        activity.completed_begin = activity.completed_begin.max(Some(begin));
    }

    /// Number of recent requests with the part.
    pub fn arrivals(&self, part: PartFingerprint) -> u16 {
        let generations = [&self.current, &self.previous];
        let known = generations.iter().filter_map(|one| one.get(&part));
        known.fold(0, |sum, activity| sum.saturating_add(activity.arrivals))
    }

    /// Begin of the latest recent run with the part that completed.
    pub fn completed_begin(&self, part: PartFingerprint) -> Option<MonotonicTime> {
        let generations = [&self.current, &self.previous];
        let known = generations.iter().filter_map(|one| one.get(&part));
        known.filter_map(|activity| activity.completed_begin).max()
    }

    fn entry(&mut self, now: MonotonicTime, part: PartFingerprint) -> &mut Activity {
        let is_full = self.current.len() >= MAX_PARTS_PER_GENERATION;
        if is_full || now.since(self.current_since) >= GENERATION_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.entry(part).or_default()
    }
}

//! Outstanding work at each engine: this node's own, and that of other nodes as last reported.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::EngineKey;

/// Reports older than this are dropped. A source that is alive reports more often.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Outstanding work at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineWork {
    /// Requests sent that have not ended.
    pub requests: u32,
    /// Requests among them whose response has not started.
    pub starting: u32,
    /// Prompt tokens sent that are not prefilled yet.
    pub unprefilled_tokens: u64,
}

impl EngineWork {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.starting += other.starting;
        self.unprefilled_tokens += other.unprefilled_tokens;
    }

    /// Subtracts `other`, saturating at zero: the two may stem from reports of different ages.
    pub fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.starting = self.starting.saturating_sub(other.starting);
        self.unprefilled_tokens = self
            .unprefilled_tokens
            .saturating_sub(other.unprefilled_tokens);
    }
}

/// The sender of a report of other nodes' work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// The member with this node number, reporting to this relay.
    Member(u64),
    /// The relay with this node number, reporting the sums over its members.
    Relay(u64),
    /// The relay that this node follows, reporting the sums over the whole fleet.
    Fleet,
}

/// One of several slices of the engines. A source with more engines than fit into a message reports each
/// slice in its own message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSlice {
    /// Index of the slice.
    pub slice: u16,
    /// Number of slices.
    pub slices: u16,
}

impl ReportSlice {
    /// A single slice with all engines.
    pub const WHOLE: Self = Self {
        slice: 0,
        slices: 1,
    };
}

#[derive(Clone, Debug)]
struct ReportedWork {
    reported_at: MonotonicTime,
    /// Number of slices into which the source divided the engines.
    slices: u16,
    engines: HashMap<EngineKey, EngineWork>,
}

/// Work summed over several sources, as one node forwards it to others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SummedWork {
    /// Work by engine.
    pub engines: HashMap<EngineKey, EngineWork>,
    /// Mean age of the summed reports.
    pub age: Duration,
}

/// Work of this node and of the others at all engines.
///
/// Invariant: `sums` is the sum over `reported`, so that a lookup does not depend on the number of
/// nodes.
#[derive(Clone, Debug, Default)]
pub struct WorkTable {
    own: HashMap<EngineKey, EngineWork>,
    /// Reports by source and slice index.
    reported: BTreeMap<(LoadSource, u16), ReportedWork>,
    sums: HashMap<EngineKey, EngineWork>,
}

impl WorkTable {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, engine: EngineKey, unprefilled_tokens: u32) {
        let work = self.own.entry(engine).or_default();
        work.requests += 1;
        work.starting += 1;
        work.unprefilled_tokens += u64::from(unprefilled_tokens);
    }

    /// Records that `tokens` of a prompt were prefilled.
    pub fn record_prefilled(&mut self, engine: EngineKey, tokens: u32) {
        if let Some(work) = self.own.get_mut(&engine) {
            work.unprefilled_tokens = work.unprefilled_tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Records that a response has started, or that its request failed before.
    pub fn record_started(&mut self, engine: EngineKey) {
        if let Some(work) = self.own.get_mut(&engine) {
            work.starting = work.starting.saturating_sub(1);
        }
    }

    /// Records that a request has ended.
    pub fn record_ended(&mut self, engine: EngineKey) {
        let Some(work) = self.own.get_mut(&engine) else {
            return;
        };
        work.requests = work.requests.saturating_sub(1);
        if work.requests == 0 {
            self.own.remove(&engine);
        }
    }

    /// This node's work at an engine.
    pub fn own(&self, engine: EngineKey) -> EngineWork {
        self.own.get(&engine).copied().unwrap_or_default()
    }

    /// This node's work at all engines.
    pub fn own_work(&self) -> impl Iterator<Item = (EngineKey, EngineWork)> {
        self.own.iter().map(|(engine, work)| (*engine, *work))
    }

    /// Replaces everything that `source` reported by `work`, as of `reported_at`.
    pub fn set_reported(
        &mut self,
        reported_at: MonotonicTime,
        source: LoadSource,
        work: impl IntoIterator<Item = (EngineKey, EngineWork)>,
    ) {
        self.set_reported_slice(reported_at, source, ReportSlice::WHOLE, work);
    }

    /// Replaces what `source` reported for one slice of the engines. Reports by another number of slices
    /// are dropped.
    pub fn set_reported_slice(
        &mut self,
        reported_at: MonotonicTime,
        source: LoadSource,
        slice: ReportSlice,
        work: impl IntoIterator<Item = (EngineKey, EngineWork)>,
    ) {
        let previous = self.reported.range((source, 0)..=(source, u16::MAX));
        let replaced = previous
            .filter(|((_, index), report)| *index == slice.slice || report.slices != slice.slices);
        for key in replaced.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.drop_report(key);
        }
        let engines: HashMap<EngineKey, EngineWork> = work.into_iter().collect();
        for (engine, work) in &engines {
            self.sums.entry(*engine).or_default().add(work);
        }
        let reported = ReportedWork {
            reported_at,
            slices: slice.slices,
            engines,
        };
        self.reported.insert((source, slice.slice), reported);
    }

    /// Drops all reports of `source`.
    pub fn forget_source(&mut self, source: LoadSource) {
        let reports = self.reported.range((source, 0)..=(source, u16::MAX));
        for key in reports.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.drop_report(key);
        }
    }

    fn drop_report(&mut self, key: (LoadSource, u16)) {
        let Some(reported) = self.reported.remove(&key) else {
            return;
        };
        for (engine, work) in &reported.engines {
            if let Some(sum) = self.sums.get_mut(engine) {
                sum.subtract(work);
                if *sum == EngineWork::default() {
                    self.sums.remove(engine);
                }
            }
        }
    }

    /// All known work at an engine.
    pub fn total(&self, engine: EngineKey) -> EngineWork {
        let mut total = self.own(engine);
        if let Some(sum) = self.sums.get(&engine) {
            total.add(sum);
        }
        total
    }

    /// Work of this node plus the reports of the sources that `includes` selects, with their mean age.
    ///
    /// Only the selected reports count for the age. If relays included the ages of each other's reports,
    /// the ages would grow with each exchange until all reports expire.
    pub fn summed(&self, now: MonotonicTime, includes: impl Fn(LoadSource) -> bool) -> SummedWork {
        let mut engines = self.own.clone();
        let included = self
            .reported
            .iter()
            .filter(|((source, _), _)| includes(*source));
        for (engine, work) in included.flat_map(|(_, reported)| &reported.engines) {
            engines.entry(*engine).or_default().add(work);
        }
        let age = self.mean_report_age(now, includes);
        SummedWork { engines, age }
    }

    /// Mean age of the reports of the sources that `includes` selects; zero if there are none.
    pub fn mean_report_age(
        &self,
        now: MonotonicTime,
        includes: impl Fn(LoadSource) -> bool,
    ) -> Duration {
        let included = self
            .reported
            .iter()
            .filter(|((source, _), _)| includes(*source));
        let ages = included.map(|(_, reported)| now.since(reported.reported_at));
        let count = ages.clone().count().max(1) as u32;
        ages.sum::<Duration>() / count
    }

    /// Drops expired reports.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        let expired = self
            .reported
            .iter()
            .filter(|(_, reported)| now.since(reported.reported_at) >= REPORT_TTL);
        for key in expired.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.drop_report(key);
        }
    }
}

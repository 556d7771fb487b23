//! Sums over all nodes of figures that each node counts for itself.
//!
//! Members report their own figures to a relay, relays exchange the sums of their members, and members hear the
//! sums of the fleet. Each row stands by itself and lapses by itself: a report that is lost costs the news of its
//! rows only, and what a node that is gone reported is forgotten.

use std::collections::HashMap;
use std::hash::Hash;
use std::ops::AddAssign;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::LoadSource;

/// Summable that add up.
pub trait Summable: Clone + Default + for<'a> AddAssign<&'a Self> {}

impl<T: Clone + Default + for<'a> AddAssign<&'a Self>> Summable for T {}

/// Rows of figures by key: this node's own, those that others reported, and the sums of all.
#[derive(Clone, Debug)]
pub struct SourceSums<K, V> {
    counts_for: Duration,
    own: HashMap<K, V>,
    reported: HashMap<LoadSource, HashMap<K, (V, MonotonicTime)>>,
    totals: HashMap<K, V>,
}

impl<K: Clone + Eq + Hash, V: Summable> SourceSums<K, V> {
    /// No figures; a reported row counts for `counts_for`.
    pub fn new(counts_for: Duration) -> Self {
        Self {
            counts_for,
            own: HashMap::new(),
            reported: HashMap::new(),
            totals: HashMap::new(),
        }
    }

    /// Replaces this node's own rows.
    pub fn set_own(&mut self, rows: impl IntoIterator<Item = (K, V)>) {
        self.own = rows.into_iter().collect();
    }

    /// This node's own rows.
    pub fn own(&self) -> &HashMap<K, V> {
        &self.own
    }

    /// Takes rows in that `source` reported. Its rows of other keys stand until they lapse.
    pub fn reported(
        &mut self,
        now: MonotonicTime,
        source: LoadSource,
        rows: impl IntoIterator<Item = (K, V)>,
    ) {
        let known = self.reported.entry(source).or_default();
        known.extend(rows.into_iter().map(|(key, figures)| (key, (figures, now))));
    }

    /// Forgets what a source reported.
    pub fn forget(&mut self, source: LoadSource) {
        self.reported.remove(&source);
    }

    /// Own rows and those of the sources that `counts` names, added up.
    pub fn sum_of(&self, now: MonotonicTime, counts: impl Fn(LoadSource) -> bool) -> HashMap<K, V> {
        let mut sums = self.own.clone();
        let counted = self.reported.iter().filter(|(source, _)| counts(**source));
        for (key, (figures, reported_at)) in counted.flat_map(|(_, rows)| rows) {
            if now.since(*reported_at) < self.counts_for {
                *sums.entry(key.clone()).or_default() += figures;
            }
        }
        sums
    }

    /// Forgets rows that have lapsed, and adds up the totals anew. The sums of the fleet have this node's own
    /// figures in them: where they are known, they are the totals.
    pub fn refresh(&mut self, now: MonotonicTime) {
        let counts_for = self.counts_for;
        for rows in self.reported.values_mut() {
            rows.retain(|_, (_, reported_at)| now.since(*reported_at) < counts_for);
        }
        self.reported.retain(|_, rows| !rows.is_empty());
        self.totals = match self.reported.get(&LoadSource::Fleet) {
            Some(rows) => {
                let fleet = rows.iter().map(|(key, (figures, _))| (key, figures));
                let all = self.own.iter().chain(fleet);
                all.map(|(key, figures)| (key.clone(), figures.clone()))
                    .collect()
            }
            None => self.sum_of(now, |_| true),
        };
    }

    /// Sources of which rows count at `now`, with the age of the newest one of each.
    pub fn heard(&self, now: MonotonicTime) -> impl Iterator<Item = (LoadSource, Duration)> + '_ {
        self.reported.iter().filter_map(move |(source, rows)| {
            let newest = rows.values().map(|(_, reported_at)| *reported_at).max()?;
            let age = now.since(newest);
            (age < self.counts_for).then_some((*source, age))
        })
    }

    /// The total of one key, as of the last [`Self::refresh`].
    pub fn total(&self, key: &K) -> Option<&V> {
        self.totals.get(key)
    }

    /// All totals, as of the last [`Self::refresh`].
    pub fn totals(&self) -> &HashMap<K, V> {
        &self.totals
    }
}

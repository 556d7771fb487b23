//! Sums, over all nodes, of figures that each node counts for itself.
//!
//! Members report their figures to a relay, relays exchange the sums of their members, and members receive the sums of
//! the fleet. Each row expires separately, so a lost report only delays the update of its rows, and rows of nodes that
//! have left disappear.

use std::collections::HashMap;
use std::hash::Hash;
use std::ops::AddAssign;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::LoadSource;

/// Figures that can be added.
pub trait Summable: Clone + Default + for<'a> AddAssign<&'a Self> {}

impl<T: Clone + Default + for<'a> AddAssign<&'a Self>> Summable for T {}

/// Rows of figures by key: this node's own, those reported by other sources, and the totals.
#[derive(Clone, Debug)]
pub struct SourceSums<K, V> {
    row_lifetime: Duration,
    own: HashMap<K, V>,
    reported: HashMap<LoadSource, HashMap<K, (V, MonotonicTime)>>,
    totals: HashMap<K, V>,
}

impl<K: Clone + Eq + Hash, V: Summable> SourceSums<K, V> {
    /// No rows yet. Reported rows expire after `row_lifetime`.
    pub fn new(row_lifetime: Duration) -> Self {
        Self {
            row_lifetime,
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

    /// Inserts or replaces rows that `source` reported. Its rows with other keys stay until they expire.
    pub fn set_reported(
        &mut self,
        now: MonotonicTime,
        source: LoadSource,
        rows: impl IntoIterator<Item = (K, V)>,
    ) {
        let known = self.reported.entry(source).or_default();
        known.extend(rows.into_iter().map(|(key, figures)| (key, (figures, now))));
    }

    /// Removes all rows that a source reported.
    pub fn forget_source(&mut self, source: LoadSource) {
        self.reported.remove(&source);
    }

    /// Sums this node's own rows and those of the sources for which `is_included` returns true.
    pub fn sum_of(
        &self,
        now: MonotonicTime,
        is_included: impl Fn(LoadSource) -> bool,
    ) -> HashMap<K, V> {
        let mut sums = self.own.clone();
        let included = self
            .reported
            .iter()
            .filter(|(source, _)| is_included(**source));
        for (key, (figures, reported_at)) in included.flat_map(|(_, rows)| rows) {
            if now.since(*reported_at) < self.row_lifetime {
                *sums.entry(key.clone()).or_default() += figures;
            }
        }
        sums
    }

    /// Removes expired rows and recomputes the totals. If sums of the whole fleet were reported, they are the totals,
    /// because they include this node's figures.
    pub fn refresh(&mut self, now: MonotonicTime) {
        let row_lifetime = self.row_lifetime;
        for rows in self.reported.values_mut() {
            rows.retain(|_, (_, reported_at)| now.since(*reported_at) < row_lifetime);
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

    /// Sources with rows that are valid at `now`, each with the age of its newest row.
    pub fn active_sources(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (LoadSource, Duration)> + '_ {
        self.reported.iter().filter_map(move |(source, rows)| {
            let newest = rows.values().map(|(_, reported_at)| *reported_at).max()?;
            let age = now.since(newest);
            (age < self.row_lifetime).then_some((*source, age))
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

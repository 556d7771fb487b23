//! The engines of one pool, indexed for sampling and rendezvous hashing.
//!
//! Updates and lookups take logarithmic time, so the cost of a choice depends on the number of engines
//! compared and not on the size of the pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dalestand_types::ZoneName;
use rand::Rng;
use rand::seq::index;

use super::{EngineKey, Stage, StagedEngine};
use crate::prefix::rendezvous_weight;

/// Number of neighbours on the hash ring among which rendezvous hashing picks a part's affinity target.
/// Evens out the unequal arcs of the ring to about a quarter (the square root of 1/16). In a stage with at
/// most so many engines it is plain rendezvous hashing.
const AFFINITY_CANDIDATES: usize = 16;

/// An engine with its position in the list of its stage and zone.
#[derive(Clone, Debug)]
struct IndexedEngine {
    engine: StagedEngine,
    position: usize,
}

/// Engines of one stage.
#[derive(Clone, Debug, Default)]
struct StageEngines {
    zones: BTreeMap<ZoneName, Vec<EngineKey>>,
    /// Engines ordered by a hash of their keys.
    ring: BTreeSet<(u64, EngineKey)>,
}

/// Engines of one pool.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    engines: HashMap<EngineKey, IndexedEngine>,
    stages: HashMap<Stage, StageEngines>,
}

/// Limits on the number of engines that one choice compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSize {
    /// Maximum number of engines in total.
    pub engines: usize,
    /// Maximum number of engines of the preferred zone, exceeded only if other zones have too few.
    pub preferred_zone: usize,
}

impl PartialEq for EnginePool {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len()
            && self
                .iter()
                .all(|engine| other.get(engine.key) == Some(engine))
    }
}

impl FromIterator<StagedEngine> for EnginePool {
    fn from_iter<I: IntoIterator<Item = StagedEngine>>(engines: I) -> Self {
        let mut pool = Self::default();
        for engine in engines {
            pool.insert(engine);
        }
        pool
    }
}

impl EnginePool {
    /// Adds an engine, replacing the one with the same key.
    pub fn insert(&mut self, engine: StagedEngine) {
        self.remove(engine.key);
        let stage = self.stages.entry(engine.stage).or_default();
        let zone = stage.zones.entry(engine.zone.clone()).or_default();
        let position = zone.len();
        zone.push(engine.key);
        stage.ring.insert(ring_position(engine.key));
        self.engines
            .insert(engine.key, IndexedEngine { engine, position });
    }

    /// Removes an engine.
    pub fn remove(&mut self, key: EngineKey) -> Option<StagedEngine> {
        let IndexedEngine { engine, position } = self.engines.remove(&key)?;
        let stage = self.stages.get_mut(&engine.stage)?;
        stage.ring.remove(&ring_position(key));
        if let Some(zone) = stage.zones.get_mut(&engine.zone) {
            zone.swap_remove(position);
            if let Some(moved) = zone.get(position).and_then(|key| self.engines.get_mut(key)) {
                moved.position = position;
            }
            if zone.is_empty() {
                stage.zones.remove(&engine.zone);
            }
        }
        Some(engine)
    }

    /// The engine with this key.
    pub fn get(&self, key: EngineKey) -> Option<&StagedEngine> {
        self.engines.get(&key).map(|indexed| &indexed.engine)
    }

    /// All engines, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &StagedEngine> {
        self.engines.values().map(|indexed| &indexed.engine)
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Engines of a stage, in hash order.
    pub fn keys(&self, stage: Stage) -> impl Iterator<Item = EngineKey> {
        let stage = self.stages.get(&stage).into_iter();
        stage.flat_map(|stage| stage.ring.iter().map(|(_, key)| *key))
    }

    /// Number of engines of a stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.stages.get(&stage).map_or(0, |stage| stage.ring.len())
    }

    /// Whether the pool has prefill or decode engines.
    pub fn serves_prompts(&self) -> bool {
        self.count(Stage::Prefill) + self.count(Stage::Decode) > 0
    }

    /// The engine of `stage` that every node computes for a prompt part, among those that `may_take` selects.
    /// Nodes that know different sets of engines disagree only on the parts of the differing engines.
    pub fn affinity_target(
        &self,
        stage: Stage,
        part: u64,
        may_take: impl Fn(EngineKey) -> bool,
    ) -> Option<EngineKey> {
        let ring = &self.stages.get(&stage)?.ring;
        let start = (rendezvous_weight(part, 0), EngineKey(0));
        let after = ring.range(start..);
        let before = ring.range(..start);
        let clockwise = after.chain(before).map(|(_, key)| *key);
        clockwise
            .filter(|key| may_take(*key))
            .take(AFFINITY_CANDIDATES)
            .max_by_key(|key| rendezvous_weight(part, key.0))
    }

    /// A random sample of the engines of `stage`, without repetition and in random order. Contains all of
    /// them if `size` allows it.
    pub fn sample(
        &self,
        random: &mut impl Rng,
        stage: Stage,
        preferred: &ZoneName,
        size: SampleSize,
    ) -> Vec<&StagedEngine> {
        let Some(stage) = self.stages.get(&stage) else {
            return Vec::new();
        };
        let own = stage.zones.get(preferred).map_or(&[][..], Vec::as_slice);
        let others = stage.ring.len() - own.len();
        let from_others = others.min(size.engines - size.preferred_zone.min(own.len()));
        let from_own = own.len().min(size.engines - from_others);
        let drawn_own = index::sample(random, own.len(), from_own);
        let mut keys: Vec<EngineKey> = drawn_own
            .into_iter()
            .map(|position| own[position])
            .collect();
        let drawn_others = index::sample(random, others, from_others);
        keys.extend(drawn_others.into_iter().filter_map(|position| {
            let zones = stage.zones.iter().filter(|(zone, _)| *zone != preferred);
            nth(zones.map(|(_, keys)| keys.as_slice()), position)
        }));
        keys.iter().filter_map(|key| self.get(*key)).collect()
    }
}

/// The engine at `position` in the concatenation of all lists.
fn nth<'a>(lists: impl Iterator<Item = &'a [EngineKey]>, position: usize) -> Option<EngineKey> {
    let mut position = position;
    for keys in lists {
        if let Some(key) = keys.get(position) {
            return Some(*key);
        }
        position -= keys.len();
    }
    None
}

/// Position of an engine on the hash ring. The key is hashed again because keys of engines with similar
/// names are close to each other.
fn ring_position(key: EngineKey) -> (u64, EngineKey) {
    (rendezvous_weight(key.0, 0), key)
}

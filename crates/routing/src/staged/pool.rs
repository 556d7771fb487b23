//! The engines of one pool, kept in the orders in which choices look at them.
//!
//! Every change and every look costs the logarithm of the number of engines at most, so that a choice
//! costs by the engines it compares and not by those there are.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dalestand_types::ZoneName;
use rand::Rng;
use rand::seq::index;

use super::{EngineKey, Stage, StagedEngine};
use crate::prefix::rendezvous_weight;

/// Engines among which the affinity target of a part is chosen by rendezvous. The arcs of a ring of
/// engines differ by a factor of ten and more; the best of sixteen neighbours evens them out to a
/// quarter (the square root of one in sixteen). Up to so many engines it is plain rendezvous.
const TARGET_NEIGHBOURS: usize = 16;

/// An engine with its place among those of its stage and zone.
#[derive(Clone, Debug)]
struct Placed {
    engine: StagedEngine,
    place: usize,
}

/// Engines of one stage.
#[derive(Clone, Debug, Default)]
struct StageEngines {
    zones: BTreeMap<ZoneName, Vec<EngineKey>>,
    /// Engines by a hash of their keys.
    ring: BTreeSet<(u64, EngineKey)>,
}

/// Engines of one pool.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    engines: HashMap<EngineKey, Placed>,
    stages: HashMap<Stage, StageEngines>,
}

/// How many engines a choice compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSize {
    /// Most engines in all.
    pub engines: usize,
    /// Most engines of the preferred zone; more only where the other zones have too few.
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
    /// Adds an engine, in place of the one with the same key.
    pub fn insert(&mut self, engine: StagedEngine) {
        self.remove(engine.key);
        let stage = self.stages.entry(engine.stage).or_default();
        let zone = stage.zones.entry(engine.zone.clone()).or_default();
        let place = zone.len();
        zone.push(engine.key);
        stage.ring.insert(ring_place(engine.key));
        self.engines.insert(engine.key, Placed { engine, place });
    }

    /// Takes an engine out.
    pub fn remove(&mut self, key: EngineKey) -> Option<StagedEngine> {
        let Placed { engine, place } = self.engines.remove(&key)?;
        let stage = self.stages.get_mut(&engine.stage)?;
        stage.ring.remove(&ring_place(key));
        if let Some(zone) = stage.zones.get_mut(&engine.zone) {
            zone.swap_remove(place);
            if let Some(moved) = zone.get(place).and_then(|key| self.engines.get_mut(key)) {
                moved.place = place;
            }
            if zone.is_empty() {
                stage.zones.remove(&engine.zone);
            }
        }
        Some(engine)
    }

    /// The engine of this key.
    pub fn get(&self, key: EngineKey) -> Option<&StagedEngine> {
        self.engines.get(&key).map(|placed| &placed.engine)
    }

    /// All engines, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &StagedEngine> {
        self.engines.values().map(|placed| &placed.engine)
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Engines of a stage, in an order that says nothing.
    pub fn keys(&self, stage: Stage) -> impl Iterator<Item = EngineKey> {
        let stage = self.stages.get(&stage).into_iter();
        stage.flat_map(|stage| stage.ring.iter().map(|(_, key)| *key))
    }

    /// Number of engines of a stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.stages.get(&stage).map_or(0, |stage| stage.ring.len())
    }

    /// Whether its engines serve prompts.
    pub fn serves_prompts(&self) -> bool {
        self.count(Stage::Prefill) + self.count(Stage::Decode) > 0
    }

    /// The engine of `stage` that all nodes agree on for a part of prompts, of those that `may_take`
    /// it. Nodes that know different engines disagree for the few parts which these engines take.
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
        let around = after.chain(before).map(|(_, key)| *key);
        around
            .filter(|key| may_take(*key))
            .take(TARGET_NEIGHBOURS)
            .max_by_key(|key| rendezvous_weight(part, key.0))
    }

    /// Engines of `stage` drawn at random and in random order, each at most once: all of them where
    /// they are no more than `size` allows.
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
        let mut keys: Vec<EngineKey> = drawn_own.into_iter().map(|place| own[place]).collect();
        let drawn_others = index::sample(random, others, from_others);
        keys.extend(drawn_others.into_iter().filter_map(|place| {
            let zones = stage.zones.iter().filter(|(zone, _)| *zone != preferred);
            nth(zones.map(|(_, keys)| keys.as_slice()), place)
        }));
        keys.iter().filter_map(|key| self.get(*key)).collect()
    }
}

/// The engine at `place`, counted through all lists.
fn nth<'a>(lists: impl Iterator<Item = &'a [EngineKey]>, place: usize) -> Option<EngineKey> {
    let mut place = place;
    for keys in lists {
        if let Some(key) = keys.get(place) {
            return Some(*key);
        }
        place -= keys.len();
    }
    None
}

/// Where an engine stands on the ring: keys of engines with similar names are close to each other,
/// their hashes are not.
fn ring_place(key: EngineKey) -> (u64, EngineKey) {
    (rendezvous_weight(key.0, 0), key)
}

//! A map by engine with a bounded number of entries.

use std::collections::{HashMap, VecDeque};

use super::EngineKey;

/// Maximum number of engines in a map. Larger than the number of engines that can end while outdated entries of
/// them may still arrive from the key-value service or from relays. Some 200 KB for each map.
const MAX_ENGINES: usize = 16_384;

/// A map by engine that evicts the engine that was added first.
#[derive(Clone, Debug)]
pub(super) struct BoundedMap<V> {
    values: HashMap<EngineKey, V>,
    /// Engines in order of insertion.
    order: VecDeque<EngineKey>,
}

impl<V> Default for BoundedMap<V> {
    fn default() -> Self {
        Self {
            values: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> BoundedMap<V> {
    pub(super) fn get(&self, engine: EngineKey) -> Option<&V> {
        self.values.get(&engine)
    }

    pub(super) fn iter(&self) -> impl ExactSizeIterator<Item = (EngineKey, &V)> {
        self.values.iter().map(|(engine, value)| (*engine, value))
    }

    /// Sets the value of an engine. Returns whether the engine had none before.
    pub(super) fn set(&mut self, engine: EngineKey, value: V) -> bool {
        if self.values.insert(engine, value).is_some() {
            return false;
        }
        self.order.push_back(engine);
        if self.order.len() > MAX_ENGINES
            && let Some(oldest) = self.order.pop_front()
        {
            self.values.remove(&oldest);
        }
        true
    }

    pub(super) fn remove(&mut self, engine: EngineKey) {
        if self.values.remove(&engine).is_some() {
            self.order.retain(|known| *known != engine);
        }
    }
}

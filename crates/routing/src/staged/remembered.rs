//! What is remembered of engines, as many as may matter at once.

use std::collections::{HashMap, VecDeque};

use super::EngineKey;

/// Engines of which something is remembered, the newest: more than end while an older entry of one may still
/// come from a reading, a relay or a restored service. 200 KB for each thing that is remembered.
const MOST_REMEMBERED: usize = 16_384;

/// What is remembered of the engines of which it was learnt last.
#[derive(Clone, Debug)]
pub(super) struct Remembered<V> {
    values: HashMap<EngineKey, V>,
    /// In the order in which they were learnt.
    order: VecDeque<EngineKey>,
}

impl<V> Default for Remembered<V> {
    fn default() -> Self {
        Self {
            values: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> Remembered<V> {
    pub(super) fn get(&self, engine: EngineKey) -> Option<&V> {
        self.values.get(&engine)
    }

    pub(super) fn iter(&self) -> impl ExactSizeIterator<Item = (EngineKey, &V)> {
        self.values.iter().map(|(engine, value)| (*engine, value))
    }

    /// Sets a value; whether there was none.
    pub(super) fn set(&mut self, engine: EngineKey, value: V) -> bool {
        if self.values.insert(engine, value).is_some() {
            return false;
        }
        self.order.push_back(engine);
        if self.order.len() > MOST_REMEMBERED
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

//! The engines that began recent streams.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::binding::StreamOrigin;
use crate::pool_versions::STREAM_LIFETIME;

/// Streams in a table, some 100 bytes each: two minutes of a hundred a second. The newest are kept.
const MAX_STREAMS: usize = 16_384;

/// A hash of the id of the caller's attempt that brought a stream's first event, equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that the attempt with this id began.
    pub fn of(attempt: &str) -> Self {
        Self(EngineKey::of(attempt).0)
    }
}

/// An origin and when its stream began.
#[derive(Clone, Debug)]
struct RecordedOrigin {
    origin: StreamOrigin,
    began_at: MonotonicTime,
}

/// The origins of recent streams. The first origin of a stream is kept.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    origins: HashMap<StreamKey, RecordedOrigin>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Records the origin of a stream that began at `began_at`, unless one is known.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        stream: StreamKey,
        origin: StreamOrigin,
        began_at: MonotonicTime,
    ) {
        self.remove_expired(now);
        if self.origins.contains_key(&stream) || is_expired(now, began_at) {
            return;
        }
        let recorded = RecordedOrigin { origin, began_at };
        self.origins.insert(stream, recorded);
        self.order.push_back(stream);
        if self.order.len() > MAX_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.origins.remove(&oldest);
        }
    }

    /// The origin of a stream, and how long ago the stream began.
    pub fn get(&self, now: MonotonicTime, stream: StreamKey) -> Option<(&StreamOrigin, Duration)> {
        let recorded = self.origins.get(&stream)?;
        let age = now.since(recorded.began_at);
        (!is_expired(now, recorded.began_at)).then_some((&recorded.origin, age))
    }

    /// Streams that have not expired, the latest recorded first, with their origins and ages.
    pub fn newest(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (StreamKey, &StreamOrigin, Duration)> {
        let streams = self.order.iter().rev();
        streams.filter_map(move |stream| {
            let (origin, age) = self.get(now, *stream)?;
            Some((*stream, origin, age))
        })
    }

    /// Number of streams, perhaps with some that have expired.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        while let Some(oldest) = self.order.front()
            && let Some(recorded) = self.origins.get(oldest)
            && is_expired(now, recorded.began_at)
        {
            self.origins.remove(oldest);
            self.order.pop_front();
        }
    }
}

fn is_expired(now: MonotonicTime, began_at: MonotonicTime) -> bool {
    now.since(began_at) >= STREAM_LIFETIME
}

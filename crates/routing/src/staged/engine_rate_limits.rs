//! Rate limits that overloaded engines state in their responses, as received by this node or reported by others.
//!
//! Responses carry no sequence number, so the limit received last by any node applies. Nodes therefore send the age
//! of a limit along with it.

use std::time::Duration;

use dalestand_types::{LimitSignal, MonotonicTime, RequestRate};

use super::EngineKey;
use super::bounded_map::BoundedMap;

/// Minimum relative difference from the last announced limit for a new announcement. Engines may state a slightly
/// different limit in each response. Permit requests carry the newest limit in any case.
const MIN_ANNOUNCED_CHANGE: f64 = 0.1;

/// The last known limit of an engine. Kept after the limit has ended, to recognize older reports of it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct KnownLimit {
    /// `None` once it has ended.
    rate: Option<RequestRate>,
    received_at: MonotonicTime,
    /// The limit last announced to other nodes.
    announced: Option<RequestRate>,
}

/// A change of an engine's limit that is to be announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit announced before; `None` if there was none.
    pub previous: Option<RequestRate>,
    /// The new limit; `None` if it has ended.
    pub current: Option<RequestRate>,
}

/// The known rate limits of engines.
#[derive(Clone, Debug, Default)]
pub struct EngineRateLimits {
    known: BoundedMap<KnownLimit>,
}

impl EngineRateLimits {
    /// Records the limit in a response received at `now`. `request_sent_at` is the time at which the request was
    /// sent, if the response accepts it.
    ///
    /// A response without a limit ends a known one only if it accepts a request sent after the limit was received.
    /// The response to an earlier request may predate the limit, and refusals need not state it.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        signal: LimitSignal,
        request_sent_at: Option<MonotonicTime>,
    ) -> Option<LimitChange> {
        match signal {
            LimitSignal::Rate(rate) => self.set(engine, Some(rate), now),
            LimitSignal::Absent => {
                let known = self.known.get(engine)?;
                let is_newer = request_sent_at.is_some_and(|sent_at| sent_at >= known.received_at);
                if known.rate.is_none() || !is_newer {
                    return None;
                }
                self.set(engine, None, now)
            }
            LimitSignal::Invalid => None,
        }
    }

    /// Records a limit, or its end, that another node received at `received_at`.
    pub fn record_peer(
        &mut self,
        engine: EngineKey,
        rate: Option<RequestRate>,
        received_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let known = self.known.get(engine);
        if known.is_some_and(|known| received_at <= known.received_at) {
            return None;
        }
        self.set(engine, rate, received_at)
    }

    /// The engine's limit and the time at which it was received; `None` if it has none.
    pub fn get(&self, engine: EngineKey) -> Option<(RequestRate, MonotonicTime)> {
        let known = self.known.get(engine)?;
        Some((known.rate?, known.received_at))
    }

    /// Engines with a limit, and the time at which it was received.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, RequestRate, MonotonicTime)> {
        let known = self.known.iter();
        known.filter_map(|(engine, known)| Some((engine, known.rate?, known.received_at)))
    }

    /// Time since the engine's limit, or its end, was received; zero if none is known.
    pub fn age(&self, now: MonotonicTime, engine: EngineKey) -> Duration {
        let known = self.known.get(engine);
        known.map_or(Duration::ZERO, |known| now.since(known.received_at))
    }

    /// Drops the limit of an engine that has restarted.
    pub fn forget(&mut self, engine: EngineKey) {
        self.known.remove(engine);
    }

    fn set(
        &mut self,
        engine: EngineKey,
        rate: Option<RequestRate>,
        received_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let previous = self.known.get(engine).and_then(|known| known.announced);
        let is_announced = is_significant_change(previous, rate);
        let known = KnownLimit {
            rate,
            received_at,
            announced: if is_announced { rate } else { previous },
        };
        self.known.set(engine, known);
        is_announced.then_some(LimitChange {
            previous,
            current: rate,
        })
    }
}

fn is_significant_change(previous: Option<RequestRate>, current: Option<RequestRate>) -> bool {
    match (previous, current) {
        (None, None) => false,
        (Some(previous), Some(current)) => {
            let (previous, current) = (previous.as_per_second(), current.as_per_second());
            (previous - current).abs() > previous * MIN_ANNOUNCED_CHANGE
        }
        _ => true,
    }
}

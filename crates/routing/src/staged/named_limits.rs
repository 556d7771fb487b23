//! How many requests a second engines in need take, as this node read it in their answers or was told.
//!
//! An answer has no number by which two of them could be ordered, so what was heard last holds, wherever it was
//! heard: nodes tell each other how long ago that was.

use std::time::Duration;

use dalestand_types::{LimitSignal, MonotonicTime, RequestRate};

use super::EngineKey;
use super::remembered::Remembered;

/// A limit that differs by less than this share from the one last announced is not announced anew. An engine
/// may name another figure in each answer; whoever asks to call it tells the newest one anyway.
const ANNOUNCED_CHANGE: f64 = 0.1;

/// What is known of one engine's limit. One that has ended is kept: what others heard before its end is older.
#[derive(Clone, Copy, Debug, PartialEq)]
struct KnownLimit {
    /// `None` once it has ended.
    rate: Option<RequestRate>,
    heard_at: MonotonicTime,
    /// The one that was last announced.
    announced: Option<RequestRate>,
}

/// A change of an engine's limit that is worth telling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before; `None` where there was none.
    pub previous: Option<RequestRate>,
    /// The limit now; `None` where it has ended.
    pub current: Option<RequestRate>,
}

/// The limits of engines, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct EngineRateLimits {
    known: Remembered<KnownLimit>,
}

impl EngineRateLimits {
    /// Notes what an answer says that was heard at `now`. `request_sent_at` is when the request went out that
    /// it takes up, if it takes one up.
    ///
    /// An answer that names no limit ends a known one only if it takes up a request that went out after the
    /// limit was heard: an older one may have been answered before the engine was in need, and a refusal or an
    /// answer to a question need not name it.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        said: LimitSignal,
        request_sent_at: Option<MonotonicTime>,
    ) -> Option<LimitChange> {
        match said {
            LimitSignal::Named(rate) => self.set(engine, Some(rate), now),
            LimitSignal::Absent => {
                let known = self.known.get(engine)?;
                let is_newer = request_sent_at.is_some_and(|sent_at| sent_at >= known.heard_at);
                if known.rate.is_none() || !is_newer {
                    return None;
                }
                self.set(engine, None, now)
            }
            LimitSignal::Unreadable => None,
        }
    }

    /// Notes what another node heard at `heard_at`: a limit, or that it has ended.
    pub fn record_peer(
        &mut self,
        engine: EngineKey,
        rate: Option<RequestRate>,
        heard_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let known = self.known.get(engine);
        if known.is_some_and(|known| heard_at <= known.heard_at) {
            return None;
        }
        self.set(engine, rate, heard_at)
    }

    /// The engine's limit, with when it was heard; `None` where it has none.
    pub fn get(&self, engine: EngineKey) -> Option<(RequestRate, MonotonicTime)> {
        let known = self.known.get(engine)?;
        Some((known.rate?, known.heard_at))
    }

    /// Engines with a limit, with when it was heard.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, RequestRate, MonotonicTime)> {
        let known = self.known.iter();
        known.filter_map(|(engine, known)| Some((engine, known.rate?, known.heard_at)))
    }

    /// How long ago the engine's limit, or its end, was heard.
    pub fn age(&self, now: MonotonicTime, engine: EngineKey) -> Duration {
        let known = self.known.get(engine);
        known.map_or(Duration::ZERO, |known| now.since(known.heard_at))
    }

    /// Forgets an engine's limit: it started again.
    pub fn forget(&mut self, engine: EngineKey) {
        self.known.remove(engine);
    }

    fn set(
        &mut self,
        engine: EngineKey,
        rate: Option<RequestRate>,
        heard_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let former = self.known.get(engine).and_then(|known| known.announced);
        let is_news = is_worth_telling(former, rate);
        let known = KnownLimit {
            rate,
            heard_at,
            announced: if is_news { rate } else { former },
        };
        self.known.set(engine, known);
        is_news.then_some(LimitChange {
            previous: former,
            current: rate,
        })
    }
}

fn is_worth_telling(former: Option<RequestRate>, now: Option<RequestRate>) -> bool {
    match (former, now) {
        (None, None) => false,
        (Some(former), Some(now)) => {
            let (former, now) = (former.as_per_second(), now.as_per_second());
            (former - now).abs() > former * ANNOUNCED_CHANGE
        }
        _ => true,
    }
}

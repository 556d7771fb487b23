//! Whether a pool is short of room, of what, and how much room there is.
//!
//! The load: demand rises over what engines serve within seconds, and engines come, go and turn slow meanwhile. What
//! they serve and which tries fail says how much room there is; no figure of what they could do is needed.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::class_meter::RATE_TIME_S;
use crate::figures::WorkRate;

/// Part of all tries that fails in a pool that is short: above it a caller that tries twice is refused twice more
/// than once in 400 requests.
const SHORT_FROM: f64 = 0.05;

/// Room that is tried beyond what engines serve while no try fails, as a part of that: engines that come are in use
/// within the three seconds in which demand turns.
const MOST_GROWTH: f64 = 0.5;

/// Room is not taken for less than this part of the most that engines served since the pool turned short: tries may
/// fail for other reasons than load.
const LEAST_ROOM: f64 = 0.5;

/// Time over which failed tries count. Longer, a pool would be taken for full after its tenants were cut.
const TRIES_COUNT: Duration = Duration::from_secs(1);

/// Part of a pool's slots from which they are what it is short of.
const SLOTS_SHORT_FROM: f64 = 0.9;

/// What a pool is short of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityUnit {
    /// Time of its engines' slots.
    #[default]
    SlotTime,
    /// Prompt tokens that its engines prefill.
    PromptTokens,
}

impl CapacityUnit {
    /// The unit of a pool with so many slots of which so many are taken.
    pub fn of_pool(serves_prompts: bool, busy_slots: f64, slots: f64) -> Self {
        if serves_prompts && busy_slots < slots * SLOTS_SHORT_FROM {
            Self::PromptTokens
        } else {
            Self::SlotTime
        }
    }

    /// Whether slots of a pool that serves no prompts stand empty: what its engines refuse meanwhile they refuse for the
    /// moment at which it came, and another engine has room for it. Prompts are short of more than slots.
    pub fn has_idle_slots(serves_prompts: bool, busy_slots: f64, slots: f64) -> bool {
        !serves_prompts && busy_slots < slots * SLOTS_SHORT_FROM
    }

    pub(super) fn of(self, work: WorkRate) -> f64 {
        f64::from(match self {
            Self::SlotTime => work.slots,
            Self::PromptTokens => work.prompt_tokens_per_s,
        })
    }
}

/// How requests of a pool fare, by all nodes, as means over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptRates {
    /// Requests a second that engines began.
    pub begun_per_s: f64,
    /// Requests a second that no engine took and that would have been late. Calls that an engine refused and another
    /// took don't count: they follow from the choice of engines as well.
    pub failed_per_s: f64,
    /// Whether slots of engines stand empty all the same.
    pub has_idle_slots: bool,
}

impl AttemptRates {
    /// What came since the rates were `former`, a time `passed` ago.
    fn since(self, former: Self, passed: Duration) -> Self {
        let kept = (-passed.as_secs_f64() / RATE_TIME_S).exp();
        Self {
            begun_per_s: (self.begun_per_s - former.begun_per_s * kept).max(0.0),
            failed_per_s: (self.failed_per_s - former.failed_per_s * kept).max(0.0),
            has_idle_slots: self.has_idle_slots,
        }
    }

    fn failing_part(self) -> f64 {
        let all = self.begun_per_s + self.failed_per_s;
        if all > 0.0 {
            self.failed_per_s / all
        } else {
            0.0
        }
    }

    /// Room for one unit that is served: more the fewer tries fail, and the most while slots stand empty. Requests of a
    /// tenant that is cut try one engine only, so that a few engines which refuse would keep it cut for ever.
    fn growth(self) -> f64 {
        if self.has_idle_slots {
            return 1.0 + MOST_GROWTH;
        }
        1.0 + MOST_GROWTH * (1.0 - self.failing_part() / SHORT_FROM).max(0.0)
    }
}

/// Follows whether a pool is short.
#[derive(Clone, Debug, Default)]
pub struct ShortageDetector {
    /// Tries of the last time.
    seen: VecDeque<(MonotonicTime, AttemptRates)>,
    /// The most units a second that engines served since the pool turned short; `None` while it isn't.
    most_begun: Option<f64>,
}

impl ShortageDetector {
    /// The room of the pool in units a second, if it is short. `begun` are the units a second that engines serve.
    pub fn room(&mut self, now: MonotonicTime, tries: AttemptRates, begun: f64) -> Option<f64> {
        let newest = self.newest_tries(now, tries);
        // Nothing served says nothing of how much could be.
        if begun <= 0.0 {
            self.ends();
            return None;
        }
        let is_short = self.most_begun.is_some() || newest.failing_part() > SHORT_FROM;
        if !is_short {
            return None;
        }
        let most = self.most_begun.map_or(begun, |most| most.max(begun));
        self.most_begun = Some(most);
        Some((begun * newest.growth()).max(most * LEAST_ROOM))
    }

    /// Notes that there is room for all that is asked.
    pub fn ends(&mut self) {
        self.most_begun = None;
    }

    /// The tries of the last time out of the means over a longer one.
    fn newest_tries(&mut self, now: MonotonicTime, tries: AttemptRates) -> AttemptRates {
        let is_old = |seen: &(MonotonicTime, AttemptRates)| now.since(seen.0) > TRIES_COUNT;
        while self.seen.front().is_some_and(is_old) {
            self.seen.pop_front();
        }
        let oldest = self.seen.front().copied();
        self.seen.push_back((now, tries));
        match oldest {
            Some((at, former)) => tries.since(former, now.since(at)),
            None => tries,
        }
    }
}

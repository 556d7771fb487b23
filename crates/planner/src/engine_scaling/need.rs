//! The engines that a pool's demand needs, over time: its level, its trend and the waves that were seen.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::demand::{Smoothed, SmoothingTimes};

/// What comes in is a mean over two seconds; it is smoothed no further than that a trend can be told from noise.
const NEED_TIMES: SmoothingTimes = SmoothingTimes {
    level_s: 0.5,
    trend_s: 2.0,
};

/// Without a sample for so long the history counts from anew: figures lapse after this time, and a process that
/// stood still does not know what came meanwhile.
const LONGEST_GAP: Duration = Duration::from_secs(3);

/// Time of which one highest value is kept.
const SLOT: Duration = Duration::from_secs(1);

/// Waves are remembered for this long at most.
pub(crate) const MEMORY: Duration = Duration::from_secs(120);

/// Highest needs from this long ago on back are those of earlier waves; later ones are of the rise under way.
const RISE: Duration = Duration::from_secs(5);

/// A rise that is past the highest wave by this factor is a new one, and may go on.
const PAST_WAVES: f64 = 1.1;

/// More engines than any fleet has; a need above it is an error of the figures.
const MOST_ENGINES: f64 = 1e5;

#[derive(Clone, Copy, Debug)]
struct Highest {
    from: MonotonicTime,
    needed: f64,
    /// What was needed or expected.
    planned: f64,
}

impl Highest {
    fn rise_to(&mut self, other: &Self) {
        self.needed = self.needed.max(other.needed);
        self.planned = self.planned.max(other.planned);
    }
}

#[derive(Clone, Debug)]
struct History {
    since: MonotonicTime,
    sampled_at: MonotonicTime,
    smoothed: Smoothed,
    highest: VecDeque<Highest>,
}

/// Follows the need of one pool.
#[derive(Clone, Debug, Default)]
pub struct NeedTracker {
    history: Option<History>,
}

impl NeedTracker {
    /// Takes in the engines needed at `now`, where orders take effect after `ahead`. What is no number of engines is
    /// passed over, and so is what is older than the last.
    pub fn observe(&mut self, now: MonotonicTime, engines: f64, ahead: Duration) {
        if !(0.0..=MOST_ENGINES).contains(&engines) {
            return;
        }
        match &mut self.history {
            Some(history) if now < history.sampled_at => {}
            Some(history) if now.since(history.sampled_at) <= LONGEST_GAP => {
                history.observe(now, engines, ahead);
            }
            _ => self.history = Some(History::beginning(now, engines)),
        }
    }

    /// Time for which the need was followed without a gap; `None` if it is not known now.
    pub fn known_for(&self, now: MonotonicTime) -> Option<Duration> {
        let history = self.current(now)?;
        Some(now.since(history.since))
    }

    /// Engines needed after `ahead`; none where nothing is known.
    pub fn forecast(&self, now: MonotonicTime, ahead: Duration) -> f64 {
        let history = self.current(now);
        history.map_or(0.0, |history| history.forecast(ahead))
    }

    /// Most engines that were needed or expected within the last `window`.
    pub fn highest_within(&self, now: MonotonicTime, window: Duration) -> f64 {
        let highest = self.current(now).into_iter().flat_map(|history| {
            let highest = history.highest.iter();
            highest.filter(move |one| now.since(one.from) <= window + SLOT)
        });
        highest.map(|one| one.planned).fold(0.0, f64::max)
    }

    fn current(&self, now: MonotonicTime) -> Option<&History> {
        let history = self.history.as_ref()?;
        (now.since(history.sampled_at) <= LONGEST_GAP).then_some(history)
    }
}

impl History {
    fn beginning(now: MonotonicTime, engines: f64) -> Self {
        Self {
            since: now,
            sampled_at: now,
            smoothed: Smoothed::at(engines, NEED_TIMES),
            highest: VecDeque::from([Highest {
                from: now,
                needed: engines,
                planned: engines,
            }]),
        }
    }

    /// A rise within the waves that were seen goes no further than these.
    fn forecast(&self, ahead: Duration) -> f64 {
        let (level, expected) = (
            self.smoothed.after(0.0),
            self.smoothed.after(ahead.as_secs_f64()),
        );
        let earlier = self
            .highest
            .iter()
            .filter(|one| self.sampled_at.since(one.from) > RISE);
        let wave = earlier.map(|one| one.needed).fold(0.0, f64::max);
        if level > wave * PAST_WAVES {
            expected
        } else {
            expected.min(level.max(wave))
        }
    }

    fn observe(&mut self, now: MonotonicTime, engines: f64, ahead: Duration) {
        let elapsed = now.since(self.sampled_at);
        if elapsed.is_zero() {
            return;
        }
        self.smoothed.update(engines, elapsed.as_secs_f64());
        self.sampled_at = now;
        let seen = Highest {
            from: now,
            needed: engines,
            planned: engines.max(self.forecast(ahead)),
        };
        match self.highest.back_mut() {
            Some(last) if now.since(last.from) < SLOT => last.rise_to(&seen),
            _ => self.highest.push_back(seen),
        }
        let is_old = |one: &Highest| now.since(one.from) > MEMORY + SLOT;
        while self.highest.front().is_some_and(is_old) {
            self.highest.pop_front();
        }
    }
}

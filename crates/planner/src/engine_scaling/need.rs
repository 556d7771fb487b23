//! Tracks how many engines a pool's demand needs: level, trend and recent peaks.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::demand::{Smoothed, SmoothingTimes};

/// Time constants of the need. The input is already a two-second average and only needs enough smoothing to separate
/// a trend from noise.
const NEED_TIMES: SmoothingTimes = SmoothingTimes {
    level_s: 0.5,
    trend_s: 2.0,
};

/// Longest gap between two samples. After a longer one the history starts over: load figures expire after this time,
/// and a stalled process has missed what happened meanwhile.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(3);

/// Interval over which one peak is kept.
const PEAK_INTERVAL: Duration = Duration::from_secs(1);

/// How long peaks are kept.
pub(crate) const HISTORY_DURATION: Duration = Duration::from_secs(120);

/// Peaks older than this belong to earlier waves of load; younger ones may belong to the current rise.
const CURRENT_RISE_WINDOW: Duration = Duration::from_secs(5);

/// A rise that exceeds all earlier peaks by this factor is forecast to continue beyond them.
const NEW_PEAK_FACTOR: f64 = 1.1;

/// Upper bound of a plausible need; higher values are treated as measurement errors.
const MAX_ENGINES: f64 = 1e5;

/// Highest values within one [`PEAK_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Peak {
    start: MonotonicTime,
    needed: f64,
    /// Maximum of the need and its forecast.
    planned: f64,
}

impl Peak {
    fn raise_to(&mut self, other: &Self) {
        self.needed = self.needed.max(other.needed);
        self.planned = self.planned.max(other.planned);
    }
}

#[derive(Clone, Debug)]
struct History {
    since: MonotonicTime,
    sampled_at: MonotonicTime,
    smoothed: Smoothed,
    peaks: VecDeque<Peak>,
}

/// Tracks the need of one pool.
#[derive(Clone, Debug, Default)]
pub struct NeedTracker {
    history: Option<History>,
}

impl NeedTracker {
    /// Records the number of engines needed at `now`. `ahead` is the time until an order takes effect. Invalid numbers
    /// and samples older than the last one are ignored.
    pub fn observe(&mut self, now: MonotonicTime, engines: f64, ahead: Duration) {
        if !(0.0..=MAX_ENGINES).contains(&engines) {
            return;
        }
        match &mut self.history {
            Some(history) if now < history.sampled_at => {}
            Some(history) if now.since(history.sampled_at) <= MAX_SAMPLE_GAP => {
                history.observe(now, engines, ahead);
            }
            _ => self.history = Some(History::starting_at(now, engines)),
        }
    }

    /// Length of the history without a gap; `None` if there is no current sample.
    pub fn known_for(&self, now: MonotonicTime) -> Option<Duration> {
        let history = self.current(now)?;
        Some(now.since(history.since))
    }

    /// Forecast of the engines needed after `ahead`; 0 without a current sample.
    pub fn forecast(&self, now: MonotonicTime, ahead: Duration) -> f64 {
        let history = self.current(now);
        history.map_or(0.0, |history| history.forecast(ahead))
    }

    /// Highest need or forecast within the last `window`.
    pub fn peak_within(&self, now: MonotonicTime, window: Duration) -> f64 {
        let peaks = self.current(now).into_iter().flat_map(|history| {
            let peaks = history.peaks.iter();
            peaks.filter(move |peak| now.since(peak.start) <= window + PEAK_INTERVAL)
        });
        peaks.map(|peak| peak.planned).fold(0.0, f64::max)
    }

    fn current(&self, now: MonotonicTime) -> Option<&History> {
        let history = self.history.as_ref()?;
        (now.since(history.sampled_at) <= MAX_SAMPLE_GAP).then_some(history)
    }
}

impl History {
    fn starting_at(now: MonotonicTime, engines: f64) -> Self {
        Self {
            since: now,
            sampled_at: now,
            smoothed: Smoothed::at(engines, NEED_TIMES),
            peaks: VecDeque::from([Peak {
                start: now,
                needed: engines,
                planned: engines,
            }]),
        }
    }

    /// Forecast after `ahead`. While the level stays within earlier peaks, they cap the forecast.
    fn forecast(&self, ahead: Duration) -> f64 {
        let (level, expected) = (
            self.smoothed.after(0.0),
            self.smoothed.after(ahead.as_secs_f64()),
        );
        let earlier = self
            .peaks
            .iter()
            .filter(|peak| self.sampled_at.since(peak.start) > CURRENT_RISE_WINDOW);
        let earlier_peak = earlier.map(|peak| peak.needed).fold(0.0, f64::max);
        if level > earlier_peak * NEW_PEAK_FACTOR {
            expected
        } else {
            expected.min(level.max(earlier_peak))
        }
    }

    fn observe(&mut self, now: MonotonicTime, engines: f64, ahead: Duration) {
        let elapsed = now.since(self.sampled_at);
        if elapsed.is_zero() {
            return;
        }
        self.smoothed.update(engines, elapsed.as_secs_f64());
        self.sampled_at = now;
        let sample = Peak {
            start: now,
            needed: engines,
            planned: engines.max(self.forecast(ahead)),
        };
        match self.peaks.back_mut() {
            Some(last) if now.since(last.start) < PEAK_INTERVAL => last.raise_to(&sample),
            _ => self.peaks.push_back(sample),
        }
        let is_expired = |peak: &Peak| now.since(peak.start) > HISTORY_DURATION + PEAK_INTERVAL;
        while self.peaks.front().is_some_and(is_expired) {
            self.peaks.pop_front();
        }
    }
}

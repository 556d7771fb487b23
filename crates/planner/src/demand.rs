//! Token demand with its trend.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Time constants for the token demand, which is sampled once per [`SAMPLE_INTERVAL`].
const TOKEN_TIMES: SmoothingTimes = SmoothingTimes {
    level_s: 4.0,
    trend_s: 12.0,
};

/// Fraction of the trend used in a forecast; below 1 to damp overshoot.
const TREND_WEIGHT: f64 = 0.5;

/// Maximum change in a forecast, as a fraction of the level.
const MAX_FORECAST_CHANGE: f64 = 0.5;

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of samples kept.
const HISTORY_SAMPLES: usize = 180;

/// Requested tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens not found in a cache.
    pub prefill_tokens_per_s: f64,
    /// Output tokens.
    pub decode_tokens_per_s: f64,
}

/// Time constants of double exponential smoothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothingTimes {
    /// Time constant of the level, in seconds.
    pub(crate) level_s: f64,
    /// Time constant of the trend, in seconds.
    pub(crate) trend_s: f64,
}

/// Double exponential smoothing (Holt's method) with a damped trend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Smoothed {
    times: SmoothingTimes,
    level: f64,
    trend: f64,
}

impl Smoothed {
    /// Starts at `level` with no trend.
    pub(crate) fn at(level: f64, times: SmoothingTimes) -> Self {
        Self {
            times,
            level,
            trend: 0.0,
        }
    }

    /// Adds a value observed `elapsed_s` seconds after the previous one.
    pub(crate) fn update(&mut self, value: f64, elapsed_s: f64) {
        let level_gain = 1.0 - (-elapsed_s / self.times.level_s).exp();
        let trend_gain = 1.0 - (-elapsed_s / self.times.trend_s).exp();
        let expected = self.level + self.trend * elapsed_s;
        let level = (expected + level_gain * (value - expected)).max(0.0);
        let slope = (level - self.level) / elapsed_s;
        self.trend += trend_gain * (slope - self.trend);
        self.level = level;
    }

    /// Forecast after `seconds`; 0 gives the current level.
    pub(crate) fn after(&self, seconds: f64) -> f64 {
        let change = TREND_WEIGHT * self.trend * seconds;
        let bound = MAX_FORECAST_CHANGE * self.level;
        (self.level + change.clamp(-bound, bound)).max(0.0)
    }
}

/// Smoothed demand of the planned engines, with a history.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimate {
    prefill: Smoothed,
    decode: Smoothed,
    sampled_at: Option<MonotonicTime>,
    history: VecDeque<Demand>,
}

impl Default for DemandEstimate {
    fn default() -> Self {
        let zero = Smoothed::at(0.0, TOKEN_TIMES);
        Self {
            prefill: zero,
            decode: zero,
            sampled_at: None,
            history: VecDeque::new(),
        }
    }
}

impl DemandEstimate {
    /// Adds the measured demand if [`SAMPLE_INTERVAL`] has passed. Returns whether it was added.
    pub(crate) fn sample(&mut self, now: MonotonicTime, measured: Demand) -> bool {
        let Some(sampled_at) = self.sampled_at else {
            self.sampled_at = Some(now);
            self.prefill.level = measured.prefill_tokens_per_s;
            self.decode.level = measured.decode_tokens_per_s;
            return true;
        };
        let elapsed = now.since(sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return false;
        }
        let elapsed_s = elapsed.as_secs_f64();
        self.prefill
            .update(measured.prefill_tokens_per_s, elapsed_s);
        self.decode.update(measured.decode_tokens_per_s, elapsed_s);
        self.sampled_at = Some(now);
        self.history.push_back(self.forecast(Duration::ZERO));
        if self.history.len() > HISTORY_SAMPLES {
            self.history.pop_front();
        }
        true
    }

    /// Forecast of the demand after `ahead`.
    pub(crate) fn forecast(&self, ahead: Duration) -> Demand {
        let seconds = ahead.as_secs_f64();
        Demand {
            prefill_tokens_per_s: self.prefill.after(seconds),
            decode_tokens_per_s: self.decode.after(seconds),
        }
    }

    /// Smoothed demand of the last [`HISTORY_SAMPLES`] samples, oldest first.
    pub(crate) fn history(&self) -> impl Iterator<Item = &Demand> {
        self.history.iter()
    }
}

//! Demand in tokens of both kinds, with its trend.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Time constants of the demand in tokens, which is sampled once a second.
const TOKEN_TIMES: SmoothingTimes = SmoothingTimes {
    level_s: 4.0,
    trend_s: 12.0,
};

/// Share of the trend that is believed in a forecast.
const TREND_TRUST: f64 = 0.5;

/// Largest change that is forecast, as a share of the level.
const LARGEST_FORECAST_CHANGE: f64 = 0.5;

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples kept, one a [`SAMPLE_INTERVAL`].
const HISTORY_SAMPLES: usize = 180;

/// Tokens asked for in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens that no cache holds.
    pub prefill_tokens_per_s: f64,
    /// Output tokens.
    pub decode_tokens_per_s: f64,
}

/// How quickly a level and its trend follow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothingTimes {
    /// Time constant of the level, in seconds.
    pub(crate) level_s: f64,
    /// Time constant of the trend, in seconds.
    pub(crate) trend_s: f64,
}

/// Level and trend by double exponential smoothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Smoothed {
    times: SmoothingTimes,
    level: f64,
    trend: f64,
}

impl Smoothed {
    /// A level that does not move yet.
    pub(crate) fn at(level: f64, times: SmoothingTimes) -> Self {
        Self {
            times,
            level,
            trend: 0.0,
        }
    }

    /// Takes in a value, `elapsed_s` after the one before.
    pub(crate) fn update(&mut self, value: f64, elapsed_s: f64) {
        let level_gain = 1.0 - (-elapsed_s / self.times.level_s).exp();
        let trend_gain = 1.0 - (-elapsed_s / self.times.trend_s).exp();
        let expected = self.level + self.trend * elapsed_s;
        let level = (expected + level_gain * (value - expected)).max(0.0);
        let slope = (level - self.level) / elapsed_s;
        self.trend += trend_gain * (slope - self.trend);
        self.level = level;
    }

    /// The value expected after so many seconds.
    pub(crate) fn after(&self, seconds: f64) -> f64 {
        let change = TREND_TRUST * self.trend * seconds;
        let bound = LARGEST_FORECAST_CHANGE * self.level;
        (self.level + change.clamp(-bound, bound)).max(0.0)
    }
}

/// Follows the demand of the engines under a plan.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimate {
    prefill: Smoothed,
    decode: Smoothed,
    sampled_at: Option<MonotonicTime>,
    history: VecDeque<Demand>,
}

impl Default for DemandEstimate {
    fn default() -> Self {
        let none = Smoothed::at(0.0, TOKEN_TIMES);
        Self {
            prefill: none,
            decode: none,
            sampled_at: None,
            history: VecDeque::new(),
        }
    }
}

impl DemandEstimate {
    /// Takes in the demand as measured now; yields whether it was due.
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

    /// The demand expected after `ahead`.
    pub(crate) fn forecast(&self, ahead: Duration) -> Demand {
        let seconds = ahead.as_secs_f64();
        Demand {
            prefill_tokens_per_s: self.prefill.after(seconds),
            decode_tokens_per_s: self.decode.after(seconds),
        }
    }

    /// Samples of the last minutes, oldest first.
    pub(crate) fn history(&self) -> impl Iterator<Item = &Demand> {
        self.history.iter()
    }
}

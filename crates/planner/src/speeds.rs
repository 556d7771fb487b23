//! Learns the time an engine needs per token from its counters.

use dalestand_types::Role;

/// Assumed batch size of a well utilized decode engine, in sequences.
const DECODE_BATCH: f64 = 48.0;

/// Variance of a sample, relative to its square.
const SAMPLE_VARIANCE: f64 = 0.02;

/// Variance added per sample for drift of a parameter, relative to its square.
const DRIFT_VARIANCE: f64 = 2e-5;

/// Variance of the prior, relative to the square of each parameter.
const PRIOR_VARIANCE: f64 = 0.25;

/// Smallest factor of a parameter relative to the prior; the largest is its inverse.
const MIN_SCALE: f64 = 0.02;

/// Engine time after which the learned speeds are checked against it, in seconds.
const CHECK_INTERVAL_S: f64 = 20.0;

/// Ratio of estimated work to engine time above which the speeds are corrected.
const MAX_WORK_RATIO: f64 = 1.1;

/// Minimum fraction of time spent on prefill in a sample from which `mixed_loss` is learned.
const MIN_PREFILL_SHARE: f64 = 0.1;

/// Upper bound of `mixed_loss`.
const MAX_MIXED_LOSS: f64 = 3.0;

/// Weight of a new sample in the moving average of `mixed_loss`.
const MIXED_LOSS_WEIGHT: f64 = 0.03;

/// Time costs of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeeds {
    /// Time per prompt token, in seconds.
    pub prefill_token_s: f64,
    /// Fixed time of a decode step, in seconds.
    pub decode_step_s: f64,
    /// Additional time per sequence in a decode step, in seconds.
    pub decode_token_s: f64,
    /// Overhead of an engine that runs both phases, as a fraction of its prefill time.
    pub mixed_loss: f64,
}

impl Default for EngineSpeeds {
    fn default() -> Self {
        Self {
            prefill_token_s: 40e-6,
            decode_step_s: 8e-3,
            decode_token_s: 50e-6,
            mixed_loss: 0.5,
        }
    }
}

impl EngineSpeeds {
    /// Engine time per output token in a well utilized batch, in seconds.
    pub fn decode_work_s(&self) -> f64 {
        self.decode_step_s / DECODE_BATCH + self.decode_token_s
    }
}

/// Work of a busy engine between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Role of the engine.
    pub role: Role,
    /// Time between the reports, in seconds.
    pub elapsed_s: f64,
    /// Prompt tokens processed.
    pub prefill_tokens: f64,
    /// Output tokens generated.
    pub decode_tokens: f64,
    /// Mean number of sequences in the batch.
    pub running: f64,
    /// Whether prompts were queued during the whole interval.
    pub queued: bool,
}

/// Learns [`EngineSpeeds`] from busy engines: token costs by a Kalman filter over prefill and decode
/// engines, and `mixed_loss` from mixed engines whose prompt queue is never empty.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    prior: EngineSpeeds,
    /// Parameters relative to the prior: time per prompt token, decode step and output token.
    scale: [f64; 3],
    covariance: [[f64; 3]; 3],
    mixed_loss: f64,
    /// Estimated work and elapsed time since the last check of the speeds, in engine seconds.
    work_s: f64,
    elapsed_s: f64,
}

impl SpeedEstimate {
    /// Starts with the prior.
    pub fn new(prior: EngineSpeeds) -> Self {
        let mut covariance = [[0.0; 3]; 3];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = PRIOR_VARIANCE;
        }
        Self {
            prior,
            scale: [1.0; 3],
            covariance,
            mixed_loss: prior.mixed_loss,
            work_s: 0.0,
            elapsed_s: 0.0,
        }
    }

    /// Current estimate.
    pub fn speeds(&self) -> EngineSpeeds {
        EngineSpeeds {
            prefill_token_s: self.prior.prefill_token_s * self.scale[0],
            decode_step_s: self.prior.decode_step_s * self.scale[1],
            decode_token_s: self.prior.decode_token_s * self.scale[2],
            mixed_loss: self.mixed_loss,
        }
    }

    /// Learns from a sample. Samples without tokens are ignored.
    pub fn observe(&mut self, sample: &SpeedSample) {
        if sample.elapsed_s <= 0.0 || sample.prefill_tokens + sample.decode_tokens <= 0.0 {
            return;
        }
        self.limit_by_elapsed_time(sample);
        match sample.role {
            Role::Mixed => self.observe_mixed(sample),
            Role::Prefill if !sample.queued => {}
            Role::Prefill | Role::Decode => self.observe_single_phase(sample),
        }
    }

    /// Lowers the time costs if the estimated work exceeds the elapsed time. Checked over many samples,
    /// because the times of single reports are inexact.
    fn limit_by_elapsed_time(&mut self, sample: &SpeedSample) {
        let speeds = self.speeds();
        let steps = sample.decode_tokens / sample.running.max(1.0);
        self.work_s += sample.prefill_tokens * speeds.prefill_token_s
            + steps * speeds.decode_step_s
            + sample.decode_tokens * speeds.decode_token_s;
        self.elapsed_s += sample.elapsed_s;
        if self.elapsed_s < CHECK_INTERVAL_S {
            return;
        }
        if self.work_s > self.elapsed_s * MAX_WORK_RATIO {
            let factor = self.elapsed_s / self.work_s;
            for scale in &mut self.scale {
                *scale = (*scale * factor).max(MIN_SCALE);
            }
        }
        self.work_s = 0.0;
        self.elapsed_s = 0.0;
    }

    fn observe_single_phase(&mut self, sample: &SpeedSample) {
        let steps = sample.decode_tokens / sample.running.max(1.0);
        let inputs = [
            sample.prefill_tokens * self.prior.prefill_token_s / sample.elapsed_s,
            steps * self.prior.decode_step_s / sample.elapsed_s,
            sample.decode_tokens * self.prior.decode_token_s / sample.elapsed_s,
        ];
        self.update(&inputs, 1.0);
    }

    fn observe_mixed(&mut self, sample: &SpeedSample) {
        let speeds = self.speeds();
        let prefill_s = sample.prefill_tokens * speeds.prefill_token_s;
        if !sample.queued || prefill_s < MIN_PREFILL_SHARE * sample.elapsed_s {
            return;
        }
        let decode_s = sample.decode_tokens * speeds.decode_work_s();
        let loss = (sample.elapsed_s - prefill_s - decode_s) / prefill_s;
        let loss = loss.clamp(0.0, MAX_MIXED_LOSS);
        self.mixed_loss += MIXED_LOSS_WEIGHT * (loss - self.mixed_loss);
    }

    fn update(&mut self, inputs: &[f64; 3], target: f64) {
        let gain = multiply(&self.covariance, inputs);
        let denominator = SAMPLE_VARIANCE + dot(inputs, &gain);
        let error = target - dot(inputs, &self.scale);
        for (scale, gain) in self.scale.iter_mut().zip(gain) {
            let updated = *scale + gain / denominator * error;
            *scale = updated.clamp(MIN_SCALE, 1.0 / MIN_SCALE);
        }
        for (row, row_gain) in self.covariance.iter_mut().zip(gain) {
            for (value, column_gain) in row.iter_mut().zip(gain) {
                *value -= row_gain * column_gain / denominator;
            }
        }
        // Speeds drift over time, so the variance grows again, up to that of the prior.
        for index in 0..self.covariance.len() {
            let variance = &mut self.covariance[index][index];
            if *variance < PRIOR_VARIANCE {
                *variance += DRIFT_VARIANCE;
            }
        }
    }
}

fn dot(left: &[f64; 3], right: &[f64; 3]) -> f64 {
    left.iter().zip(right).map(|(one, other)| one * other).sum()
}

fn multiply(matrix: &[[f64; 3]; 3], vector: &[f64; 3]) -> [f64; 3] {
    [
        dot(&matrix[0], vector),
        dot(&matrix[1], vector),
        dot(&matrix[2], vector),
    ]
}

//! What an engine needs for a token, learnt from its own counters.

use dalestand_types::Role;

/// Decoding sequences an engine is expected to carry when it is well used.
const DECODE_BATCH: f64 = 48.0;

/// Variance of one sample, relative to its square.
const SAMPLE_VARIANCE: f64 = 0.02;

/// Variance by which a parameter may drift between two samples, relative to its square.
const DRIFT_VARIANCE: f64 = 2e-5;

/// Confidence in the prior: variance of each parameter relative to its square.
const PRIOR_VARIANCE: f64 = 0.25;

/// Parameters never fall below this share of the prior, nor rise above its inverse.
const LEARNING_RANGE: f64 = 0.02;

/// Time of engines over which speeds are held against it, in seconds.
const TIME_JUDGED_S: f64 = 20.0;

/// Work beyond the time there was, from which speeds are corrected.
const TIME_TOLERANCE: f64 = 1.1;

/// Share of its time that an engine must spend on prompts to teach the loss of doing both.
const SMALLEST_PROMPT_SHARE: f64 = 0.1;

/// Largest loss that is believed.
const LARGEST_MIXED_LOSS: f64 = 3.0;

/// Weight of a new sample in the loss.
const MIXED_LOSS_WEIGHT: f64 = 0.03;

/// Costs of an engine's steps, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeeds {
    /// Time of one prompt token.
    pub prefill_token_s: f64,
    /// Time of a decode step, whatever its batch.
    pub decode_step_s: f64,
    /// Added time of each sequence in a decode step.
    pub decode_token_s: f64,
    /// Time that an engine loses when it runs prompts beside output, as a share of the time of
    /// those prompts.
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
    /// Engine time of one output token in a well used batch, in seconds.
    pub fn decode_work_s(&self) -> f64 {
        self.decode_step_s / DECODE_BATCH + self.decode_token_s
    }
}

/// What one busy engine did between two of its reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Its role.
    pub role: Role,
    /// Time between the reports, in seconds.
    pub elapsed_s: f64,
    /// Prompt tokens run.
    pub prefill_tokens: f64,
    /// Output tokens generated.
    pub decode_tokens: f64,
    /// Sequences in the batch, on average.
    pub running: f64,
    /// Whether prompts were queued all the time.
    pub queued: bool,
}

/// Learns [`EngineSpeeds`] from the time that busy engines spent: the cost of prompts and output
/// by a Kalman filter on the engines that do one of them, the loss of doing both from the
/// engines that do both and are never short of prompts.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    prior: EngineSpeeds,
    /// Parameters relative to the prior: prompt token, step, output token.
    scale: [f64; 3],
    covariance: [[f64; 3]; 3],
    mixed_loss: f64,
    /// Work done and time passed since speeds were last held against time, in engine seconds.
    worked_s: f64,
    passed_s: f64,
}

impl SpeedEstimate {
    /// An estimate that knows only the prior.
    pub fn new(prior: EngineSpeeds) -> Self {
        let mut covariance = [[0.0; 3]; 3];
        for (place, row) in covariance.iter_mut().enumerate() {
            row[place] = PRIOR_VARIANCE;
        }
        Self {
            prior,
            scale: [1.0; 3],
            covariance,
            mixed_loss: prior.mixed_loss,
            worked_s: 0.0,
            passed_s: 0.0,
        }
    }

    /// The speeds as known now.
    pub fn speeds(&self) -> EngineSpeeds {
        EngineSpeeds {
            prefill_token_s: self.prior.prefill_token_s * self.scale[0],
            decode_step_s: self.prior.decode_step_s * self.scale[1],
            decode_token_s: self.prior.decode_token_s * self.scale[2],
            mixed_loss: self.mixed_loss,
        }
    }

    /// Takes in what a busy engine did. A sample without any token teaches nothing.
    pub fn observe(&mut self, sample: &SpeedSample) {
        if sample.elapsed_s <= 0.0 || sample.prefill_tokens + sample.decode_tokens <= 0.0 {
            return;
        }
        self.bound_by_time(sample);
        match sample.role {
            Role::Mixed => self.observe_mixed(sample),
            Role::Prefill if !sample.queued => {}
            Role::Prefill | Role::Decode => self.observe_pure(sample),
        }
    }

    /// No engine does more work than it had time for: speeds that say so are too slow. Judged
    /// over many samples, as the times of single reports are uncertain.
    fn bound_by_time(&mut self, sample: &SpeedSample) {
        let speeds = self.speeds();
        let steps = sample.decode_tokens / sample.running.max(1.0);
        self.worked_s += sample.prefill_tokens * speeds.prefill_token_s
            + steps * speeds.decode_step_s
            + sample.decode_tokens * speeds.decode_token_s;
        self.passed_s += sample.elapsed_s;
        if self.passed_s < TIME_JUDGED_S {
            return;
        }
        if self.worked_s > self.passed_s * TIME_TOLERANCE {
            let factor = self.passed_s / self.worked_s;
            for scale in &mut self.scale {
                *scale = (*scale * factor).max(LEARNING_RANGE);
            }
        }
        self.worked_s = 0.0;
        self.passed_s = 0.0;
    }

    fn observe_pure(&mut self, sample: &SpeedSample) {
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
        let prompts_s = sample.prefill_tokens * speeds.prefill_token_s;
        if !sample.queued || prompts_s < SMALLEST_PROMPT_SHARE * sample.elapsed_s {
            return;
        }
        let output_s = sample.decode_tokens * speeds.decode_work_s();
        let lost = (sample.elapsed_s - prompts_s - output_s) / prompts_s;
        let lost = lost.clamp(0.0, LARGEST_MIXED_LOSS);
        self.mixed_loss += MIXED_LOSS_WEIGHT * (lost - self.mixed_loss);
    }

    fn update(&mut self, inputs: &[f64; 3], target: f64) {
        let spread = multiply(&self.covariance, inputs);
        let denominator = SAMPLE_VARIANCE + dot(inputs, &spread);
        let error = target - dot(inputs, &self.scale);
        for (scale, spread) in self.scale.iter_mut().zip(spread) {
            let learnt = *scale + spread / denominator * error;
            *scale = learnt.clamp(LEARNING_RANGE, 1.0 / LEARNING_RANGE);
        }
        for (row, row_spread) in self.covariance.iter_mut().zip(spread) {
            for (value, column_spread) in row.iter_mut().zip(spread) {
                *value -= row_spread * column_spread / denominator;
            }
        }
        // Speeds may drift; a parameter that no sample shows stays as uncertain as the prior.
        for place in 0..self.covariance.len() {
            let variance = &mut self.covariance[place][place];
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

//! Scenario files: fleet, network, request classes, phases, faults and seed.

use std::collections::BTreeMap;

use dalestand_types::Role;
use serde::Deserialize;

/// A scenario file. Unknown keys are rejected.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name for display.
    pub name: String,
    /// Seed of all random streams; overridden by `--seed`.
    pub seed: u64,
    /// Rules for role changes.
    #[serde(default)]
    pub roles: RoleRules,
    /// Network delays.
    #[serde(default)]
    pub network: Network,
    /// Load digests.
    #[serde(default)]
    pub digests: Digests,
    /// Step costs and limits of the engines.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Zones of the fleet.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Pools of engines.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Request classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Consecutive phases.
    #[serde(rename = "phase")]
    pub phases: Vec<Phase>,
    /// Faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Whether a rejected caller retries once after the delay it was told.
    #[serde(default)]
    pub refused_callers_return: bool,
}

/// Rules for role changes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoleRules {
    /// Weight of role changes relative to goodput.
    pub change_weight: f64,
    /// Maximum number of engines out of service for a role change at once.
    pub max_changes_at_once: usize,
    /// Whether the groups of a pool are planned together.
    pub plan_whole_pool: bool,
}

impl Default for RoleRules {
    fn default() -> Self {
        Self {
            change_weight: 0.3,
            max_changes_at_once: 1,
            plan_whole_pool: true,
        }
    }
}

/// One-way delays and KV cache transfer rate.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone, in microseconds.
    pub same_zone_us: u64,
    /// Between zones of a region, in microseconds.
    pub other_zone_us: u64,
    /// Between regions, in microseconds.
    pub other_region_us: u64,
    /// Between a caller and its node, in microseconds.
    pub caller_us: u64,
    /// KV cache export rate of an engine, in GB/s.
    pub kv_gigabytes_per_s: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_zone_us: 150,
            other_zone_us: 2_000,
            other_region_us: 30_000,
            caller_us: 4_000,
            kv_gigabytes_per_s: 20.0,
        }
    }
}

/// Delivery of load digests, which are delayed and may be lost.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Digests {
    /// Interval between two digests of a group, in milliseconds.
    pub interval_ms: u64,
    /// Maximum additional delay of a digest, in milliseconds.
    pub jitter_ms: u64,
    /// Probability that a digest is lost.
    pub loss: f64,
}

impl Default for Digests {
    fn default() -> Self {
        Self {
            interval_ms: 500,
            jitter_ms: 300,
            loss: 0.03,
        }
    }
}

/// Step costs and limits of an engine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Maximum number of requests in the batch and waiting.
    pub capacity: u32,
    /// Maximum number of requests in the batch.
    pub max_running: u32,
    /// Base time of a step, in microseconds.
    pub step_us: f64,
    /// Additional time per decoding sequence, in microseconds.
    pub step_per_sequence_us: f64,
    /// Additional time per thousand context tokens of the decoding sequences, in microseconds.
    pub step_per_context_us: f64,
    /// Additional time per prefilled prompt token, in microseconds.
    pub prefill_token_us: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Fraction by which a step with both prefill and decode is slower.
    pub mixed_overhead: f64,
    /// KV cache capacity, in tokens.
    pub cache_tokens: u64,
    /// Capacity of the prefix cache, in tokens.
    pub prefix_tokens: u64,
    /// KV cache size per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Time out of service for a role change, in milliseconds.
    pub role_change_ms: u64,
    /// Size of the weights loaded at an engine start, in GB.
    pub weights_gigabytes: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            capacity: 128,
            max_running: 64,
            step_us: 8_000.0,
            step_per_sequence_us: 50.0,
            step_per_context_us: 20.0,
            prefill_token_us: 60.0,
            prefill_chunk: 512,
            mixed_overhead: 0.3,
            cache_tokens: 400_000,
            prefix_tokens: 60_000,
            kv_bytes_per_token: 160_000,
            role_change_ms: 5_000,
            weights_gigabytes: 16.0,
        }
    }
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Region of the zone.
    #[serde(default)]
    pub region: String,
    /// Number of nodes.
    #[serde(default = "one")]
    pub nodes: usize,
}

/// A pool of engines that serve one model.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool and of its model.
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Number of engines by zone.
    pub engines: BTreeMap<String, usize>,
    /// Allowed roles of the engines.
    #[serde(default = "all_roles")]
    pub roles: Vec<Role>,
    /// Rate at which the weight store serves all engines of the pool together, in GB/s.
    #[serde(default = "weight_rate")]
    pub weight_store_gigabytes_per_s: f64,
}

/// Log-normal distribution of a length in tokens, clamped to 1 to `max`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Maximum.
    pub max: u32,
}

/// Prefixes that prompts share.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// Number of different prefixes.
    pub count: u32,
    /// Tokens per prefix.
    pub tokens: u32,
    /// Share of the requests with a shared prefix.
    pub share: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Pool that serves the class.
    pub pool: String,
    /// Prompt lengths.
    pub prompt: Length,
    /// Output lengths; callers request at most `max` tokens.
    pub output: Length,
    /// Shared prefixes, if any.
    pub prefix: Option<SharedPrefix>,
    /// Deadline for the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Deadline for the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; higher numbers are served first.
    #[serde(default)]
    pub priority: u8,
}

/// Course of the request rates within a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Constant at `rates`.
    #[default]
    Steady,
    /// Linear from `rates` to `to`.
    Ramp,
    /// Sinusoidal from `rates` to `to` and back in each period.
    Swing,
    /// At `to` for the first `burst_s` of each period, else at `rates`.
    Burst,
}

/// A phase of the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration, in seconds.
    pub duration_s: f64,
    /// Requests per second by class.
    pub rates: BTreeMap<String, f64>,
    /// Course of the rates.
    #[serde(default)]
    pub shape: Shape,
    /// Target rates by class.
    #[serde(default)]
    pub to: BTreeMap<String, f64>,
    /// Period of a swing or burst, in seconds.
    #[serde(default)]
    pub period_s: f64,
    /// Duration of a burst, in seconds.
    #[serde(default)]
    pub burst_s: f64,
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// An engine crashes, loses all its requests, and restarts after `out_s`.
    Crash {
        engine: String,
        at_s: f64,
        out_s: f64,
    },
    /// A network partition isolates a zone from the others.
    Cut {
        zone: String,
        at_s: f64,
        length_s: f64,
    },
    /// The first engine of a pool to change its role after `at_s` crashes during the change.
    CrashInChange { pool: String, at_s: f64, out_s: f64 },
}

impl Scenario {
    /// Multiplies every rate by `factor`.
    pub fn scale_load(&mut self, factor: f64) {
        for phase in &mut self.phases {
            let rates = phase.rates.values_mut().chain(phase.to.values_mut());
            for rate in rates {
                *rate *= factor;
            }
        }
    }

    /// Total duration of the phases, in seconds.
    pub fn duration_s(&self) -> f64 {
        self.phases.iter().map(|phase| phase.duration_s).sum()
    }
}

impl Phase {
    /// Rate of a class at `second` of the phase.
    pub fn rate(&self, class: &str, second: f64) -> f64 {
        let from = self.rates.get(class).copied().unwrap_or(0.0);
        let to = self.to.get(class).copied().unwrap_or(from);
        let share = match self.shape {
            Shape::Steady => 0.0,
            Shape::Ramp => second / self.duration_s,
            Shape::Swing => {
                let angle = second / self.period_s * std::f64::consts::TAU;
                (1.0 - angle.cos()) / 2.0
            }
            Shape::Burst if second % self.period_s < self.burst_s => 1.0,
            Shape::Burst => 0.0,
        };
        from + (to - from) * share
    }

    /// Maximum rate of a class in the phase.
    pub fn max_rate(&self, class: &str) -> f64 {
        let from = self.rates.get(class).copied().unwrap_or(0.0);
        from.max(self.to.get(class).copied().unwrap_or(from))
    }
}

fn one() -> usize {
    1
}

fn yes() -> bool {
    true
}

fn all_roles() -> Vec<Role> {
    Role::ALL.to_vec()
}

fn weight_rate() -> f64 {
    4.0
}

//! Scenario files: fleet, network, classes of requests, phases, faults and the seed.

use std::collections::BTreeMap;

use dalestand_types::Role;
use serde::Deserialize;

/// A checked scenario file. Unknown keys are refused.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, for people.
    pub name: String,
    /// Seed of everything random; `--seed` takes its place.
    pub seed: u64,
    /// Rules for role changes.
    #[serde(default)]
    pub roles: RoleRules,
    /// Delays.
    #[serde(default)]
    pub network: Network,
    /// Digests of load.
    #[serde(default)]
    pub digests: Digests,
    /// What an engine costs and holds.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Zones.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Pools of engines.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Phases, one after the other.
    #[serde(rename = "phase")]
    pub phases: Vec<Phase>,
    /// Faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Whether a refused caller comes back once, when it was told to.
    #[serde(default)]
    pub refused_callers_return: bool,
}

/// Rules for role changes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoleRules {
    /// Weight of role changes against goodput.
    pub change_weight: f64,
    /// Most engines out of service for a change at once.
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

/// One-way delays.
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
    /// KV cache moved by one engine in a second, in GB.
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

/// Digests of load: late, and some are lost.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Digests {
    /// Time between two digests of a group, in milliseconds.
    pub interval_ms: u64,
    /// Longest added delay on the way to a node, in milliseconds.
    pub jitter_ms: u64,
    /// Share lost on the way to a node.
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

/// What an engine costs and holds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Most requests held.
    pub capacity: u32,
    /// Most requests in the batch.
    pub max_running: u32,
    /// Time of a step, in microseconds.
    pub step_us: f64,
    /// Added time for each sequence that decodes, in microseconds.
    pub step_per_sequence_us: f64,
    /// Added time for each thousand tokens of context of those, in microseconds.
    pub step_per_context_us: f64,
    /// Added time for each prompt token, in microseconds.
    pub prefill_token_us: f64,
    /// Most prompt tokens of one step.
    pub prefill_chunk: u32,
    /// Share by which a step that runs prompts and output together is slower.
    pub mixed_overhead: f64,
    /// KV cache, in tokens.
    pub cache_tokens: u64,
    /// Part of it that is kept for prefixes of past requests, in tokens.
    pub prefix_tokens: u64,
    /// KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Time out of service for a role change, in milliseconds.
    pub role_change_ms: u64,
    /// Weights fetched when an engine starts, in GB.
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
    /// Its name.
    pub name: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// Its nodes.
    #[serde(default = "one")]
    pub nodes: usize,
}

/// A pool of engines that serve one model of the same name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name and that of its model.
    pub name: String,
    /// Whether a request may run again.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Engines by zone.
    pub engines: BTreeMap<String, usize>,
    /// Roles its engines may have.
    #[serde(default = "all_roles")]
    pub roles: Vec<Role>,
    /// Rate at which the weight store serves all its engines, in GB a second.
    #[serde(default = "weight_rate")]
    pub weight_store_gigabytes_per_s: f64,
}

/// Lengths in tokens: log-normal, cut at both ends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Longest.
    pub max: u32,
}

/// Leading parts that prompts share.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// Different ones.
    pub count: u32,
    /// Tokens of each.
    pub tokens: u32,
    /// Share of the requests that have one.
    pub share: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The pool that serves it.
    pub pool: String,
    /// Prompt lengths.
    pub prompt: Length,
    /// Answer lengths; callers ask for at most `max`.
    pub output: Length,
    /// Shared leading parts.
    pub prefix: Option<SharedPrefix>,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Importance; a higher number goes first.
    #[serde(default)]
    pub priority: u8,
}

/// How the rates move within a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// They stay.
    #[default]
    Steady,
    /// They go to `to` in a line.
    Ramp,
    /// They swing to `to` and back within each period.
    Swing,
    /// They are `to` for the first part of each period.
    Burst,
}

/// A phase.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Its length, in seconds.
    pub duration_s: f64,
    /// Requests a second by class.
    pub rates: BTreeMap<String, f64>,
    /// How they move.
    #[serde(default)]
    pub shape: Shape,
    /// Where they move to.
    #[serde(default)]
    pub to: BTreeMap<String, f64>,
    /// Period of a swing or burst, in seconds.
    #[serde(default)]
    pub period_s: f64,
    /// Length of a burst, in seconds.
    #[serde(default)]
    pub burst_s: f64,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// An engine is gone with all it holds, and starts again later.
    Crash {
        engine: String,
        at_s: f64,
        out_s: f64,
    },
    /// A zone is cut off from the others.
    Cut {
        zone: String,
        at_s: f64,
        length_s: f64,
    },
    /// The next engine of a pool to change its role after this time crashes while it does.
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

    /// Length of all phases, in seconds.
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
                let turn = second / self.period_s * std::f64::consts::TAU;
                (1.0 - turn.cos()) / 2.0
            }
            Shape::Burst if second % self.period_s < self.burst_s => 1.0,
            Shape::Burst => 0.0,
        };
        from + (to - from) * share
    }

    /// Highest rate of a class.
    pub fn highest_rate(&self, class: &str) -> f64 {
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

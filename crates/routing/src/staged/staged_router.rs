//! Chooses the engine, or the prefill and decode engines, with the lowest cost for a request.

use dalestand_types::{MonotonicTime, ZoneName};

use super::candidate_sampler::{CandidateSampler, KnownCandidates};
use super::cost::EngineCost;
use super::decode_start_times::DecodeStartTimes;
use super::engine_pool::EnginePool;
use super::health::EngineHealth;
use super::part_directory::PartDirectory;
use super::prefill_speeds::PrefillSpeeds;
use super::signals::SignalTable;
use super::unreported_sends::{ExpectedSends, UnreportedSends};
use super::water_filling::{EngineWithCost, draw_water_filled};
use super::work_table::WorkTable;
use super::{EngineKey, LatencyEstimate, Stage, StagedEngine, StagedRequest};

/// A chosen engine with its estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub engine: StagedEngine,
    /// Expected time until the engine has finished its stage, up to the first token, in seconds.
    pub expected_s: f64,
    /// The share of `expected_s` spent waiting for work queued before the request, in seconds.
    pub queue_s: f64,
    /// `expected_s` plus penalties for failure risk, for delaying other requests and for unreported
    /// requests of other nodes, in seconds. Engines and plans are compared by it.
    pub cost_s: f64,
    /// Prompt tokens that the engine has to prefill.
    pub unprefilled_tokens: u32,
    /// The engine from which to fetch cached parts that this engine lacks.
    pub fetch_from: Option<EngineKey>,
}

impl EngineChoice {
    fn new(engine: &StagedEngine, cost: &EngineCost) -> Self {
        Self {
            engine: engine.clone(),
            expected_s: cost.expected_s,
            queue_s: cost.queue_s,
            cost_s: cost.cost_s,
            unprefilled_tokens: cost.unprefilled_tokens,
            fetch_from: cost.fetch_from,
        }
    }

    fn latency_estimate(&self) -> LatencyEstimate {
        LatencyEstimate {
            total_s: self.expected_s,
            queue_s: self.queue_s,
        }
    }
}

/// The engines that process a prompt.
#[derive(Clone, Debug, PartialEq)]
pub enum PromptPlan {
    /// One engine prefills and decodes.
    Colocated(EngineChoice),
    /// One engine prefills, another decodes.
    Disaggregated {
        prefill: EngineChoice,
        decode: EngineChoice,
    },
}

/// Routing state of one node for the engines of all pools.
#[derive(Clone, Debug, Default)]
pub struct StagedRouter {
    /// Prompt parts cached by engines.
    pub parts: PartDirectory,
    /// Outstanding work at engines.
    pub work: WorkTable,
    /// Failures and latencies of engines.
    pub health: EngineHealth,
    /// Drain, backoff and rate-limit signals of engines.
    pub signals: SignalTable,
    /// Prefill speeds of engines.
    pub prefill_speeds: PrefillSpeeds,
    /// Times from a transferred KV cache to the first token.
    pub decode_start_times: DecodeStartTimes,
    /// Estimate of other nodes' sends since their last reports.
    pub unreported: UnreportedSends,
    /// Draws the engines that are compared.
    pub sampler: CandidateSampler,
}

impl PromptPlan {
    /// Expected time to the first token, and the queueing time in it.
    pub fn latency_estimate(&self) -> LatencyEstimate {
        match self {
            Self::Colocated(choice) => choice.latency_estimate(),
            Self::Disaggregated { prefill, decode } => LatencyEstimate {
                total_s: prefill.expected_s + decode.expected_s,
                queue_s: prefill.queue_s + decode.queue_s,
            },
        }
    }
}

impl StagedRouter {
    /// Creates a router whose random choices are determined by `seed`.
    pub fn seeded(seed: u64) -> Self {
        Self {
            unreported: UnreportedSends::seeded(seed),
            sampler: CandidateSampler::seeded(seed),
            ..Self::default()
        }
    }

    /// The engine with the lowest cost for an opaque request.
    pub fn choose_opaque(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<EngineChoice> {
        let engines = self
            .sampler
            .for_opaque(pool, zone, request, self.is_open(now));
        let costs = self.opaque_costs(now, zone, &engines);
        cheapest(engines.into_iter().zip(costs))
    }

    /// The plan with the lowest cost for a prompt.
    pub fn plan_prompt(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<PromptPlan> {
        let colocated = self.choose_colocated(now, zone, pool, request);
        let disaggregated = self.choose_disaggregated(now, zone, pool, request);
        match (colocated, disaggregated) {
            (Some(colocated), Some((prefill, decode))) => {
                let disaggregated_s = prefill.cost_s + decode.cost_s;
                Some(if disaggregated_s < colocated.cost_s {
                    PromptPlan::Disaggregated { prefill, decode }
                } else {
                    PromptPlan::Colocated(colocated)
                })
            }
            (Some(colocated), None) => Some(PromptPlan::Colocated(colocated)),
            (None, Some((prefill, decode))) => Some(PromptPlan::Disaggregated { prefill, decode }),
            (None, None) => None,
        }
    }

    /// A decode engine to prefill and decode the prompt by itself, chosen by cost.
    pub fn choose_colocated(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<EngineChoice> {
        self.choose_prefill(now, zone, pool, Stage::Decode, request)
    }

    fn choose_disaggregated(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<(EngineChoice, EngineChoice)> {
        let prefill = self.choose_prefill(now, zone, pool, Stage::Prefill, request)?;
        let decode = self.choose_decode(now, pool, request, &prefill.engine)?;
        Some((prefill, decode))
    }

    /// An engine of `stage` to prefill the prompt: the one with the lowest cost if the prompt has an affinity part,
    /// else drawn by water-filling.
    fn choose_prefill(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        stage: Stage,
        request: &StagedRequest,
    ) -> Option<EngineChoice> {
        let context = self.prefill_context(now, zone, pool, stage, request);
        let known = KnownCandidates {
            parts: &self.parts,
            affinity_target: context.affinity_target,
        };
        let engines = self
            .sampler
            .for_prompt(pool, stage, zone, request, known, self.is_open(now));
        let costs = engines
            .into_iter()
            .map(|engine| (engine, self.prefill_cost(&context, engine)));
        if context.affinity_part.is_some() {
            // Prompts with the same affinity part go to the same engine, which prefills it once.
            cheapest(costs)
        } else {
            self.water_filled(costs.collect(), context.unreported)
        }
    }

    /// An engine to decode from the KV cache that `prefill` holds, drawn by water-filling.
    pub fn choose_decode(
        &self,
        now: MonotonicTime,
        pool: &EnginePool,
        request: &StagedRequest,
        prefill: &StagedEngine,
    ) -> Option<EngineChoice> {
        let unreported = self.expected_sends(now, Stage::Decode, pool);
        let known = KnownCandidates {
            parts: &self.parts,
            affinity_target: None,
        };
        let zone = &prefill.zone;
        let engines =
            self.sampler
                .for_prompt(pool, Stage::Decode, zone, request, known, self.is_open(now));
        let costs = engines.into_iter().map(|engine| {
            let cost = self.decode_cost(now, request, prefill, unreported, engine);
            (engine, cost)
        });
        self.water_filled(costs.collect(), unreported)
    }

    /// Draws one of the engines by water-filling with the unreported requests of other nodes.
    fn water_filled(
        &self,
        costs: Vec<EngineWithCost<'_>>,
        unreported: ExpectedSends,
    ) -> Option<EngineChoice> {
        let sends = unreported.mean * costs.len() as f64;
        let (engine, cost) = draw_water_filled(costs, sends, self.sampler.uniform())?;
        Some(EngineChoice::new(engine, &cost))
    }

    /// Whether another engine of the same stage can take over a request from `current`. Engines with a rate limit do
    /// not count: there may be no permit for the request, which would then have no engine.
    pub fn has_alternative(
        &self,
        now: MonotonicTime,
        pool: &EnginePool,
        current: &StagedEngine,
        tried: &[EngineKey],
    ) -> bool {
        let is_open = self.is_open(now);
        let is_unlimited = |key| is_open(key) && self.signals.limits().get(key).is_none();
        let mut others = pool.keys(current.stage);
        others.any(|key| key != current.key && !tried.contains(&key) && is_unlimited(key))
    }

    /// Whether an engine's own signals allow calls at `now`.
    pub(super) fn is_open(&self, now: MonotonicTime) -> impl Fn(EngineKey) -> bool {
        move |engine| self.signals.closed(now, engine).is_none()
    }

    /// Drops what is known of an engine that is gone.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        self.parts.forget_engine(engine);
        self.health.forget(engine);
        self.prefill_speeds.forget(engine);
    }
}

/// The engine with the lowest cost.
fn cheapest<'e>(
    costs: impl Iterator<Item = (&'e StagedEngine, EngineCost)>,
) -> Option<EngineChoice> {
    let best = costs.min_by(|(_, first), (_, second)| first.cost_s.total_cmp(&second.cost_s));
    best.map(|(engine, cost)| EngineChoice::new(engine, &cost))
}

//! The choice itself: the engine, or the two engines, by which a request is expected to be answered
//! first.

use dalestand_types::{MonotonicTime, ZoneName};

use super::candidates::{CandidateSampler, KnownCandidates};
use super::cost::EngineCost;
use super::health::EngineHealth;
use super::levelled::{Costed, draw_levelled};
use super::parts::PartDirectory;
use super::pool::EnginePool;
use super::reading::PrefillSpeeds;
use super::signals::SignalTable;
use super::starts::DecodeStartTimes;
use super::unreported::{ExpectedSends, UnreportedSends};
use super::work::WorkTable;
use super::{EngineKey, LatencyEstimate, Stage, StagedEngine, StagedRequest};

/// An engine with what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub engine: StagedEngine,
    /// Expected time until the engine has done its part up to the answer's begin, in seconds.
    pub expected_s: f64,
    /// The share of it that goes to work which is there before, in seconds.
    pub queue_s: f64,
    /// What choices are compared by: the expected time with what risks, other requests and other
    /// nodes add, in seconds.
    pub cost_s: f64,
    /// Prompt tokens that it still has to read.
    pub unread_tokens: u32,
    /// The engine from which it is to take what it does not keep of the prompt.
    pub fetch_from: Option<EngineKey>,
}

impl EngineChoice {
    fn new(engine: &StagedEngine, cost: &EngineCost) -> Self {
        Self {
            engine: engine.clone(),
            expected_s: cost.expected_s,
            queue_s: cost.queue_s,
            cost_s: cost.cost_s,
            unread_tokens: cost.unread_tokens,
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

/// Where a prompt is to run.
#[derive(Clone, Debug, PartialEq)]
pub enum PromptPlan {
    /// Read and answered on one engine.
    Colocated(EngineChoice),
    /// Read on the first, answered on the second.
    Disaggregated {
        prefill: EngineChoice,
        decode: EngineChoice,
    },
}

/// Memory and decisions of one node about the engines of all pools.
#[derive(Clone, Debug, Default)]
pub struct StagedRouter {
    /// Parts kept by engines.
    pub parts: PartDirectory,
    /// Work at engines.
    pub work: WorkTable,
    /// How engines fail.
    pub health: EngineHealth,
    /// What they say of themselves.
    pub signals: SignalTable,
    /// How fast they read.
    pub prefill_speeds: PrefillSpeeds,
    /// How fast they begin answers.
    pub decode_start_times: DecodeStartTimes,
    /// What others may have sent since they reported.
    pub unreported: UnreportedSends,
    /// Which engines are compared.
    pub sampler: CandidateSampler,
}

impl PromptPlan {
    /// Expected time to the answer's begin, with what of it goes to work that is there before.
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
    /// A router whose draws differ from those of another seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            unreported: UnreportedSends::seeded(seed),
            sampler: CandidateSampler::seeded(seed),
            ..Self::default()
        }
    }

    /// The best engine for an opaque request.
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
        best(engines.into_iter().zip(costs))
    }

    /// The best plan for a prompt.
    pub fn plan_prompt(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<PromptPlan> {
        let whole = self.choose_colocated(now, zone, pool, request);
        let split = self.choose_split(now, zone, pool, request);
        match (whole, split) {
            (Some(whole), Some((prefill, decode))) => {
                let split_s = prefill.cost_s + decode.cost_s;
                Some(if split_s < whole.cost_s {
                    PromptPlan::Disaggregated { prefill, decode }
                } else {
                    PromptPlan::Colocated(whole)
                })
            }
            (Some(whole), None) => Some(PromptPlan::Colocated(whole)),
            (None, Some((prefill, decode))) => Some(PromptPlan::Disaggregated { prefill, decode }),
            (None, None) => None,
        }
    }

    /// The best engine that reads and answers by itself.
    pub fn choose_colocated(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<EngineChoice> {
        self.choose_reader(now, zone, pool, Stage::Decode, request)
    }

    fn choose_split(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        request: &StagedRequest,
    ) -> Option<(EngineChoice, EngineChoice)> {
        let prefill = self.choose_reader(now, zone, pool, Stage::Prefill, request)?;
        let decode = self.choose_decode(now, pool, request, &prefill.engine)?;
        Some((prefill, decode))
    }

    /// The best engine of `stage` to read the prompt.
    fn choose_reader(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        pool: &EnginePool,
        stage: Stage,
        request: &StagedRequest,
    ) -> Option<EngineChoice> {
        let terms = self.prefill_terms(now, zone, pool, stage, request);
        let known = KnownCandidates {
            parts: &self.parts,
            target: terms.target,
        };
        let engines = self
            .sampler
            .for_prompt(pool, stage, zone, request, known, self.is_open(now));
        let costs = engines
            .into_iter()
            .map(|engine| (engine, self.prefill_cost(&terms, engine)));
        if terms.affinity.is_some() {
            // One prefill of the long part serves all of them where they stay together.
            best(costs)
        } else {
            self.levelled(costs.collect(), terms.unreported)
        }
    }

    /// The best engine to go on from the memory that `prefill` holds.
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
            target: None,
        };
        let zone = &prefill.zone;
        let engines =
            self.sampler
                .for_prompt(pool, Stage::Decode, zone, request, known, self.is_open(now));
        let costs = engines.into_iter().map(|engine| {
            let cost = self.decode_cost(now, request, prefill, unreported, engine);
            (engine, cost)
        });
        self.levelled(costs.collect(), unreported)
    }

    /// One of the engines, which fill up to one level with the requests that others may have sent.
    fn levelled(&self, costs: Vec<Costed<'_>>, unreported: ExpectedSends) -> Option<EngineChoice> {
        let sends = unreported.mean * costs.len() as f64;
        let (engine, cost) = draw_levelled(costs, sends, self.sampler.chance())?;
        Some(EngineChoice::new(engine, &cost))
    }

    /// Whether another engine of its stage could take a request that `current` has. One with a limit may have no
    /// permit for it: a request that left its engine for that one would be lost.
    pub fn has_alternative(
        &self,
        now: MonotonicTime,
        pool: &EnginePool,
        current: &StagedEngine,
        tried: &[EngineKey],
    ) -> bool {
        let is_open = self.is_open(now);
        let takes_all = |key| is_open(key) && self.signals.limits().get(key).is_none();
        let mut others = pool.keys(current.stage);
        others.any(|key| key != current.key && !tried.contains(&key) && takes_all(key))
    }

    /// Whether an engine may be called at `now`, as far as what it says of itself goes.
    pub(super) fn is_open(&self, now: MonotonicTime) -> impl Fn(EngineKey) -> bool {
        move |engine| self.signals.closed(now, engine).is_none()
    }

    /// Forgets an engine that is gone.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        self.parts.forget_engine(engine);
        self.health.forget(engine);
        self.prefill_speeds.forget(engine);
    }
}

fn best<'e>(costs: impl Iterator<Item = (&'e StagedEngine, EngineCost)>) -> Option<EngineChoice> {
    let cheapest = costs.min_by(|(_, first), (_, second)| first.cost_s.total_cmp(&second.cost_s));
    cheapest.map(|(engine, cost)| EngineChoice::new(engine, &cost))
}

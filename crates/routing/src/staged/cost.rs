//! The cost of sending a request to an engine, in seconds: the expected latency plus penalties for failure
//! risk, for the delay caused to other requests, and for requests of other nodes that are not reported yet.

use dalestand_types::{MonotonicTime, ZoneName};

use super::engine_pool::EnginePool;
use super::staged_router::StagedRouter;
use super::unreported_sends::ExpectedSends;
use super::{EngineKey, Stage, StagedEngine, StagedRequest};

/// Cost of an engine in another zone than the node's, in seconds.
const CROSS_ZONE_COST_S: f64 = 3e-3;

/// Assumed cost of one failed attempt, in seconds; multiplied by the engine's failure rate.
const FAILED_ATTEMPT_COST_S: f64 = 0.4;

/// Cost of an avoided engine, in seconds. High enough that it is chosen only if there is no alternative.
const AVOIDED_ENGINE_COST_S: f64 = 1_000.0;

/// Cost of an engine that neither caches the prompt's leading parts nor is their affinity target, in
/// seconds. Keeps nodes that do not know each other's choices from prefilling a new part on several
/// engines.
///
/// Also the shortest prefill time for which a part gets an affinity target: a target for a very short
/// part that many prompts begin with would overload one engine to save almost nothing.
const AFFINITY_MISS_COST_S: f64 = 15e-3;

/// Weight of the delay that a prefill on a decode engine causes to each request running there.
const INTERFERENCE_WEIGHT: f64 = 0.2;

/// Maximum number of running requests for which that delay is counted.
const MAX_DELAYED_REQUESTS: u32 = 12;

/// Fewer cached tokens than this are prefilled again instead of fetched from another engine.
const MIN_FETCHED_TOKENS: u32 = 1_000;

/// Tokens of other parts that have to be prefilled again for each fetched token, because the second
/// copy evicts them from the KV cache.
const EVICTED_PER_FETCHED_TOKEN: f64 = 0.3;

/// Longest batch step of a decode engine that also prefills prompts, in seconds. A request that
/// continues from a transferred KV cache waits for one step, not for the queued prompts.
const MAX_BATCH_STEP_S: f64 = 50e-3;

/// Duration of a KV cache transfer between zones, relative to one within a zone.
const CROSS_ZONE_TRANSFER_FACTOR: f64 = 2.0;

/// Cost of an engine with all slots taken, in seconds; grows with the square of the share taken.
const FULL_BATCH_COST_S: f64 = 0.25;

/// Assumed latency of an opaque request while no engine's latency is known, in seconds.
const PRIOR_OPAQUE_LATENCY_S: f64 = 30e-3;

/// Expected latency of a request on an engine, and the cost by which engines are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EngineCost {
    /// Expected seconds until the engine has finished its stage, up to the first token.
    pub(super) expected_s: f64,
    /// The share of `expected_s` spent waiting for work queued before the request.
    pub(super) queue_s: f64,
    /// `expected_s` plus all penalties, in seconds.
    pub(super) cost_s: f64,
    /// Increase of the cost by one more request, in seconds.
    pub(super) marginal_s: f64,
    /// Prompt tokens that the engine has to prefill.
    pub(super) unprefilled_tokens: u32,
    /// The engine from which to fetch cached parts that this engine lacks.
    pub(super) fetch_from: Option<EngineKey>,
}

/// Inputs of [`StagedRouter::prefill_cost`] that are the same for all engines compared for one prompt.
pub(super) struct PrefillContext<'a> {
    pub(super) now: MonotonicTime,
    pub(super) zone: &'a ZoneName,
    pub(super) request: &'a StagedRequest,
    /// The part that ties prompts to a common engine.
    pub(super) affinity_part: Option<u64>,
    /// The engine that every node computes for that part.
    pub(super) affinity_target: Option<EngineKey>,
    /// The engine that caches most of the prompt, with the number of leading tokens cached there.
    pub(super) best_holder: Option<(EngineKey, u32)>,
    pub(super) unreported: ExpectedSends,
}

impl StagedRouter {
    /// Computes the inputs that all engines of `stage` share.
    pub(super) fn prefill_context<'a>(
        &self,
        now: MonotonicTime,
        zone: &'a ZoneName,
        pool: &EnginePool,
        stage: Stage,
        request: &'a StagedRequest,
    ) -> PrefillContext<'a> {
        let affinity_part = self.affinity_part(stage, request);
        let is_open = self.is_open(now);
        let is_eligible = |key| !request.tried.contains(&key) && is_open(key);
        let affinity_target =
            affinity_part.and_then(|part| pool.affinity_target(stage, part, is_eligible));
        let may_serve =
            |key| pool.get(key).is_some() && is_open(key) && !self.health.is_avoided(now, key);
        let best_holder = self.parts.best_holder(&request.parts, may_serve);
        PrefillContext {
            now,
            zone,
            request,
            affinity_part,
            affinity_target,
            best_holder: best_holder.filter(|_| request.link_mbps > 0.0),
            unreported: self.expected_sends(now, stage, pool),
        }
    }

    /// The first part up to whose end a prefill takes at least [`AFFINITY_MISS_COST_S`]. The last part is
    /// left out: it belongs to this request alone.
    fn affinity_part(&self, stage: Stage, request: &StagedRequest) -> Option<u64> {
        let (_, shared) = request.parts.split_last()?;
        let mut tokens = 0_u32;
        shared.iter().find_map(|part| {
            tokens = tokens.saturating_add(part.tokens);
            let prefill_s = self.prefill_speeds.usual_s(stage, f64::from(tokens))
                - self.prefill_speeds.usual_s(stage, 0.0);
            (prefill_s >= AFFINITY_MISS_COST_S).then_some(part.id)
        })
    }

    /// Cost of prefilling the prompt on `engine`.
    pub(super) fn prefill_cost(
        &self,
        context: &PrefillContext<'_>,
        engine: &StagedEngine,
    ) -> EngineCost {
        let request = context.request;
        let mut cached = self.parts.cached_tokens(engine.key, &request.parts);
        let missing = |(_, tokens): (EngineKey, u32)| tokens.saturating_sub(cached);
        let fetched = context.best_holder.map_or(0, missing);
        let fetched = if fetched >= MIN_FETCHED_TOKENS {
            fetched
        } else {
            0
        };
        cached += fetched;
        let fetch_s = transfer_s(request, fetched, false);
        let unprefilled = request.prompt_tokens.saturating_sub(cached);
        let work = self.work.total(engine.key);
        let slowness = self.prefill_speeds.slowness(engine.key);
        let prefill_s = |tokens| self.prefill_speeds.usual_s(engine.stage, tokens) * slowness;
        let tokens_with_queue = work.unprefilled_tokens as f64 + f64::from(unprefilled);
        let start_queue_s = |starting| match engine.stage {
            Stage::Decode => self.decode_start_times.queue_s(starting),
            Stage::Prefill | Stage::Opaque => 0.0,
        };
        let known_start_queue_s = start_queue_s(work.starting);
        let prefill_with_queue_s = prefill_s(tokens_with_queue);
        let own_prefill_s = prefill_s(f64::from(unprefilled));
        let empty_prefill_s = prefill_s(0.0);
        let expected_s = request.send_s + prefill_with_queue_s + known_start_queue_s + fetch_s;
        let eviction_s =
            (prefill_s(f64::from(fetched)) - empty_prefill_s) * EVICTED_PER_FETCHED_TOKEN;
        let quantile = self.unreported.quantile(engine.key, context.affinity_part);
        let sampled = match context.affinity_part {
            Some(_) => context.unreported.draw(work, quantile),
            None => work,
        };
        let sampled_tokens_with_queue = sampled.unprefilled_tokens as f64 + f64::from(unprefilled);
        let unreported_request_s = prefill_s(context.unreported.tokens_each) - empty_prefill_s
            + self.decode_start_times.queue_s(1);
        let sampled_fraction = match context.affinity_part {
            Some(_) => context.unreported.draw_fraction(quantile),
            None => 0.0,
        };
        let interference_s = match engine.stage {
            Stage::Decode => {
                let delayed = f64::from(sampled.requests.min(MAX_DELAYED_REQUESTS));
                (own_prefill_s - empty_prefill_s) * delayed * INTERFERENCE_WEIGHT
            }
            Stage::Prefill | Stage::Opaque => 0.0,
        };
        let cost_s = expected_s
            + sampled_fraction * unreported_request_s
            + (start_queue_s(sampled.starting) - known_start_queue_s)
            + (prefill_s(sampled_tokens_with_queue) - prefill_with_queue_s)
            + eviction_s
            + batch_load_s(engine, sampled.requests)
            + interference_s
            + affinity_miss_s(context, engine, cached)
            + self.zone_and_avoidance_s(context.now, context.zone, engine)
            + self.failure_s(context.now, engine);
        EngineCost {
            expected_s,
            queue_s: prefill_with_queue_s - own_prefill_s + known_start_queue_s,
            cost_s,
            marginal_s: unreported_request_s + batch_load_s(engine, sampled.requests + 1)
                - batch_load_s(engine, sampled.requests),
            unprefilled_tokens: unprefilled,
            fetch_from: context
                .best_holder
                .filter(|_| fetched > 0)
                .map(|(key, _)| key),
        }
    }

    /// Cost of decoding on `engine` from the KV cache that `prefill` holds.
    pub(super) fn decode_cost(
        &self,
        now: MonotonicTime,
        request: &StagedRequest,
        prefill: &StagedEngine,
        unreported: ExpectedSends,
        engine: &StagedEngine,
    ) -> EngineCost {
        let cached = self.parts.cached_tokens(engine.key, &request.parts);
        let transferred = request.prompt_tokens.saturating_sub(cached);
        let work = self.work.total(engine.key);
        let slowness = self.prefill_speeds.slowness(engine.key);
        let prefill_s = |tokens| self.prefill_speeds.usual_s(engine.stage, tokens) * slowness;
        let queued_prefill_s = prefill_s(work.unprefilled_tokens as f64);
        let queue_s = self.decode_start_times.queue_s(work.starting);
        let expected_s = request.send_s
            + self.decode_start_times.expected_s(work.starting)
            + transfer_s(request, transferred, engine.zone == prefill.zone)
            + queued_prefill_s.min(MAX_BATCH_STEP_S);
        let marginal_s = prefill_s(unreported.tokens_each) - prefill_s(0.0)
            + self.decode_start_times.queue_s(1)
            + batch_load_s(engine, work.requests + 1)
            - batch_load_s(engine, work.requests);
        let cost_s = expected_s
            + batch_load_s(engine, work.requests)
            + self.avoided_s(now, engine)
            + self.failure_s(now, engine);
        EngineCost {
            expected_s,
            queue_s,
            cost_s,
            marginal_s,
            ..EngineCost::default()
        }
    }

    /// Cost of an opaque request on each of `engines`.
    pub(super) fn opaque_costs(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        engines: &[&StagedEngine],
    ) -> Vec<EngineCost> {
        let failure_rate = |engine: &&StagedEngine| self.health.failure_rate(now, engine.key);
        let lowest_failure_rate = engines
            .iter()
            .map(failure_rate)
            .fold(f64::INFINITY, f64::min);
        let known_s = |engine: &&StagedEngine| self.health.latency_ms(engine.key) / 1_000.0;
        let known: Vec<f64> = engines.iter().map(known_s).filter(|s| *s > 0.0).collect();
        // An engine without a known latency is assumed to have the mean one, so that it is tried at all.
        let mean_s = if known.is_empty() {
            PRIOR_OPAQUE_LATENCY_S
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        };
        let cost = |engine: &&StagedEngine| {
            let own_s = Some(known_s(engine)).filter(|s| *s > 0.0);
            let requests = f64::from(self.work.total(engine.key).requests);
            let load = requests / f64::from(engine.slots.max(1));
            let excess_failure_rate = failure_rate(engine) - lowest_failure_rate;
            let expected_s = own_s.unwrap_or(mean_s) * (0.5 + load);
            EngineCost {
                expected_s,
                cost_s: expected_s
                    + excess_failure_rate * FAILED_ATTEMPT_COST_S
                    + self.zone_and_avoidance_s(now, zone, engine),
                ..EngineCost::default()
            }
        };
        engines.iter().map(cost).collect()
    }

    /// Requests that other nodes are expected to have sent to each engine of `stage` since their last reports.
    pub(super) fn expected_sends(
        &self,
        now: MonotonicTime,
        stage: Stage,
        pool: &EnginePool,
    ) -> ExpectedSends {
        let age = self.work.mean_report_age(now, |_| true);
        self.unreported.expected(now, stage, pool.count(stage), age)
    }

    /// Cost of another zone and of an avoided engine.
    fn zone_and_avoidance_s(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        engine: &StagedEngine,
    ) -> f64 {
        let zone_s = if engine.zone == *zone {
            0.0
        } else {
            CROSS_ZONE_COST_S
        };
        zone_s + self.avoided_s(now, engine)
    }

    fn avoided_s(&self, now: MonotonicTime, engine: &StagedEngine) -> f64 {
        if self.health.is_avoided(now, engine.key) {
            AVOIDED_ENGINE_COST_S
        } else {
            0.0
        }
    }

    fn failure_s(&self, now: MonotonicTime, engine: &StagedEngine) -> f64 {
        self.health.failure_rate(now, engine.key) * FAILED_ATTEMPT_COST_S
    }
}

/// Cost of an engine that neither caches the prompt up to its affinity part nor is that part's target.
fn affinity_miss_s(context: &PrefillContext<'_>, engine: &StagedEngine, cached: u32) -> f64 {
    let Some(affinity_part) = context
        .affinity_part
        .filter(|_| context.affinity_target != Some(engine.key))
    else {
        return 0.0;
    };
    let mut tokens_through_affinity = 0_u32;
    for part in &context.request.parts {
        tokens_through_affinity = tokens_through_affinity.saturating_add(part.tokens);
        if part.id == affinity_part {
            break;
        }
    }
    if cached >= tokens_through_affinity {
        0.0
    } else {
        AFFINITY_MISS_COST_S
    }
}

/// Time to transfer the KV cache of `tokens` between two engines, in seconds.
fn transfer_s(request: &StagedRequest, tokens: u32, same_zone: bool) -> f64 {
    if request.link_mbps <= 0.0 {
        return 0.0;
    }
    let bits = f64::from(tokens) * request.token_bytes as f64 * 8.0;
    let factor = if same_zone {
        1.0
    } else {
        CROSS_ZONE_TRANSFER_FACTOR
    };
    bits / (request.link_mbps * 1e6) * factor
}

/// Cost of the load on an engine: each request of a batch slows the others, and a full batch queues them.
fn batch_load_s(engine: &StagedEngine, requests: u32) -> f64 {
    let share = f64::from(requests) / f64::from(engine.slots.max(1));
    share * share * FULL_BATCH_COST_S
}

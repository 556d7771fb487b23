//! What an engine costs a request: the time that is expected of it, and what risks, other requests and
//! other nodes add.

use dalestand_types::{MonotonicTime, ZoneName};

use super::chooser::StagedRouter;
use super::pool::EnginePool;
use super::unreported::ExpectedSends;
use super::{EngineKey, Stage, StagedEngine, StagedRequest};

/// Added time of an engine in another zone than the node's, in seconds.
const OTHER_ZONE_S: f64 = 3e-3;

/// Time that a failed attempt is taken to cost, in seconds.
const FAILURE_S: f64 = 0.4;

/// Added time of an engine that is avoided, in seconds: it is taken only where there is no other.
const AVOIDED_S: f64 = 1_000.0;

/// Added time of an engine that is not the affinity target of the prompt's leading parts, in seconds.
/// Without it nodes that have not heard of each other's choices would read a new part at several
/// engines. It also decides which parts have a target: those that take longer to read than this.
/// With targets for whatever came first, parts of 55 tokens that each request has sent thousands of
/// requests a minute to four engines, to save a millisecond each.
const NOT_TARGET_S: f64 = 15e-3;

/// Weight of the delay that a prompt brings to each other request of its engine.
const OTHERS_WEIGHT: f64 = 0.2;

/// Most others that count.
const OTHERS_COUNTED: u32 = 12;

/// Tokens from which it pays to take them from another engine.
const FETCHED_FROM_TOKENS: u32 = 1_000;

/// A part that is kept twice drives other parts out of memory, and so many of their tokens are read
/// again for each token taken.
const READ_AGAIN_FOR_FETCHED: f64 = 0.3;

/// What goes on from moved memory waits for one step of the batch, which takes up to this time in
/// seconds where prompts are read between the tokens; it does not wait for those prompts.
const STEP_WITH_READING_S: f64 = 50e-3;

/// Moving memory between zones takes this multiple of the time within one.
const OTHER_ZONE_MOVE_FACTOR: f64 = 2.0;

/// Added time for each request of a batch, as a share of a slot, in seconds.
const BATCH_S: f64 = 0.25;

/// Time of an opaque request where no engine's is known, in seconds.
const PRIOR_OPAQUE_S: f64 = 30e-3;

/// What is expected of an engine, and what it is compared by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EngineCost {
    /// Expected seconds until the engine has done its part up to the first token.
    pub(super) expected_s: f64,
    /// Those of them that go to work which is there before.
    pub(super) queue_s: f64,
    /// The expected time with what risks, other requests and other nodes add, in seconds.
    pub(super) cost_s: f64,
    /// What another request adds to it, in seconds.
    pub(super) added_s: f64,
    /// Prompt tokens that it still has to read.
    pub(super) unread_tokens: u32,
    /// The engine from which it is to take what it does not keep of the prompt.
    pub(super) fetch_from: Option<EngineKey>,
}

/// What is the same for all engines that are compared to read one prompt.
pub(super) struct PrefillTerms<'a> {
    pub(super) now: MonotonicTime,
    pub(super) zone: &'a ZoneName,
    pub(super) request: &'a StagedRequest,
    /// The part by which prompts stay together.
    pub(super) affinity: Option<u64>,
    /// The engine that all nodes agree on for that part.
    pub(super) target: Option<EngineKey>,
    /// The engine that has read most of the prompt, with the tokens.
    pub(super) holder: Option<(EngineKey, u32)>,
    pub(super) unreported: ExpectedSends,
}

impl StagedRouter {
    /// What is the same for the engines of `stage`.
    pub(super) fn prefill_terms<'a>(
        &self,
        now: MonotonicTime,
        zone: &'a ZoneName,
        pool: &EnginePool,
        stage: Stage,
        request: &'a StagedRequest,
    ) -> PrefillTerms<'a> {
        let affinity = self.affinity(stage, request);
        let is_open = self.is_open(now);
        let is_new = |key| !request.tried.contains(&key) && is_open(key);
        let target = affinity.and_then(|part| pool.affinity_target(stage, part, is_new));
        let may_give =
            |key| pool.get(key).is_some() && is_open(key) && !self.health.is_avoided(now, key);
        let holder = self.parts.best_holder(&request.parts, may_give);
        PrefillTerms {
            now,
            zone,
            request,
            affinity,
            target,
            holder: holder.filter(|_| request.link_mbps > 0.0),
            unreported: self.expected_sends(now, stage, pool),
        }
    }

    /// The part by which prompts stay together: the one at whose end a reading has taken longer than
    /// what an engine other than the target is charged. The last part is the request's own.
    fn affinity(&self, stage: Stage, request: &StagedRequest) -> Option<u64> {
        let (_, shared) = request.parts.split_last()?;
        let mut tokens = 0_u32;
        shared.iter().find_map(|part| {
            tokens = tokens.saturating_add(part.tokens);
            let takes_s = self.prefill_speeds.usual_s(stage, f64::from(tokens))
                - self.prefill_speeds.usual_s(stage, 0.0);
            (takes_s >= NOT_TARGET_S).then_some(part.id)
        })
    }

    /// What an engine costs that is to read the prompt.
    pub(super) fn prefill_cost(
        &self,
        terms: &PrefillTerms<'_>,
        engine: &StagedEngine,
    ) -> EngineCost {
        let request = terms.request;
        let mut kept = self.parts.cached_tokens(engine.key, &request.parts);
        let missing = |(_, tokens): (EngineKey, u32)| tokens.saturating_sub(kept);
        let fetched = terms.holder.map_or(0, missing);
        let fetched = if fetched >= FETCHED_FROM_TOKENS {
            fetched
        } else {
            0
        };
        kept += fetched;
        let fetch_s = move_s(request, fetched, false);
        let unread = request.prompt_tokens.saturating_sub(kept);
        let work = self.work.total(engine.key);
        let slowness = self.prefill_speeds.slowness(engine.key);
        let reading_s = |tokens| self.prefill_speeds.usual_s(engine.stage, tokens) * slowness;
        let ahead = work.unread_tokens as f64 + f64::from(unread);
        let starts_s = |starting| match engine.stage {
            Stage::Decode => self.decode_start_times.queue_s(starting),
            Stage::Prefill | Stage::Opaque => 0.0,
        };
        let own_starts_s = starts_s(work.starting);
        let ahead_s = reading_s(ahead);
        let unread_s = reading_s(f64::from(unread));
        let nothing_s = reading_s(0.0);
        let expected_s = request.send_s + ahead_s + own_starts_s + fetch_s;
        let displaced_s = (reading_s(f64::from(fetched)) - nothing_s) * READ_AGAIN_FOR_FETCHED;
        let chance = self.unreported.quantile(engine.key, terms.affinity);
        let drawn = match terms.affinity {
            Some(_) => terms.unreported.draw(work, chance),
            None => work,
        };
        let drawn_ahead = drawn.unread_tokens as f64 + f64::from(unread);
        let drawn_request_s = reading_s(terms.unreported.tokens_each) - nothing_s
            + self.decode_start_times.queue_s(1);
        let drawn_part = match terms.affinity {
            Some(_) => terms.unreported.draw_fraction(chance),
            None => 0.0,
        };
        let others_s = match engine.stage {
            Stage::Decode => {
                let others = f64::from(drawn.requests.min(OTHERS_COUNTED));
                (unread_s - nothing_s) * others * OTHERS_WEIGHT
            }
            Stage::Prefill | Stage::Opaque => 0.0,
        };
        let cost_s = expected_s
            + drawn_part * drawn_request_s
            + (starts_s(drawn.starting) - own_starts_s)
            + (reading_s(drawn_ahead) - ahead_s)
            + displaced_s
            + batch_s(engine, drawn.requests)
            + others_s
            + not_target_s(terms, engine, kept)
            + self.common_s(terms.now, terms.zone, engine)
            + self.failing_s(terms.now, engine);
        EngineCost {
            expected_s,
            queue_s: ahead_s - unread_s + own_starts_s,
            cost_s,
            added_s: drawn_request_s + batch_s(engine, drawn.requests + 1)
                - batch_s(engine, drawn.requests),
            unread_tokens: unread,
            fetch_from: terms.holder.filter(|_| fetched > 0).map(|(key, _)| key),
        }
    }

    /// What an engine costs that is to go on from the memory that `prefill` holds.
    pub(super) fn decode_cost(
        &self,
        now: MonotonicTime,
        request: &StagedRequest,
        prefill: &StagedEngine,
        unreported: ExpectedSends,
        engine: &StagedEngine,
    ) -> EngineCost {
        let kept = self.parts.cached_tokens(engine.key, &request.parts);
        let moved = request.prompt_tokens.saturating_sub(kept);
        let work = self.work.total(engine.key);
        let slowness = self.prefill_speeds.slowness(engine.key);
        let reading_s = |tokens| self.prefill_speeds.usual_s(engine.stage, tokens) * slowness;
        let waiting_s = reading_s(work.unread_tokens as f64);
        let queue_s = self.decode_start_times.queue_s(work.starting);
        let expected_s = request.send_s
            + self.decode_start_times.expected_s(work.starting)
            + move_s(request, moved, engine.zone == prefill.zone)
            + waiting_s.min(STEP_WITH_READING_S);
        let added_s = reading_s(unreported.tokens_each) - reading_s(0.0)
            + self.decode_start_times.queue_s(1)
            + batch_s(engine, work.requests + 1)
            - batch_s(engine, work.requests);
        let cost_s = expected_s
            + batch_s(engine, work.requests)
            + self.avoided_s(now, engine)
            + self.failing_s(now, engine);
        EngineCost {
            expected_s,
            queue_s,
            cost_s,
            added_s,
            ..EngineCost::default()
        }
    }

    /// What each of `engines` costs an opaque request.
    pub(super) fn opaque_costs(
        &self,
        now: MonotonicTime,
        zone: &ZoneName,
        engines: &[&StagedEngine],
    ) -> Vec<EngineCost> {
        let failed_share = |engine: &&StagedEngine| self.health.failed_share(now, engine.key);
        let least_failing = engines
            .iter()
            .map(failed_share)
            .fold(f64::INFINITY, f64::min);
        let known_s = |engine: &&StagedEngine| self.health.latency_ms(engine.key) / 1_000.0;
        let known: Vec<f64> = engines.iter().map(known_s).filter(|s| *s > 0.0).collect();
        // An engine not used yet is taken for a usual one: taken for a slow one, it would never be.
        let usual_s = if known.is_empty() {
            PRIOR_OPAQUE_S
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        };
        let cost = |engine: &&StagedEngine| {
            let own_s = Some(known_s(engine)).filter(|s| *s > 0.0);
            let requests = f64::from(self.work.total(engine.key).requests);
            let load = requests / f64::from(engine.slots.max(1));
            let failing = failed_share(engine) - least_failing;
            let expected_s = own_s.unwrap_or(usual_s) * (0.5 + load);
            EngineCost {
                expected_s,
                cost_s: expected_s + failing * FAILURE_S + self.common_s(now, zone, engine),
                ..EngineCost::default()
            }
        };
        engines.iter().map(cost).collect()
    }

    /// What others may have sent to each engine of a stage since they reported.
    pub(super) fn expected_sends(
        &self,
        now: MonotonicTime,
        stage: Stage,
        pool: &EnginePool,
    ) -> ExpectedSends {
        let age = self.work.mean_report_age(now, |_| true);
        self.unreported.expected(now, stage, pool.count(stage), age)
    }

    /// Time added by the zone and by silence.
    fn common_s(&self, now: MonotonicTime, zone: &ZoneName, engine: &StagedEngine) -> f64 {
        let zone_s = if engine.zone == *zone {
            0.0
        } else {
            OTHER_ZONE_S
        };
        zone_s + self.avoided_s(now, engine)
    }

    fn avoided_s(&self, now: MonotonicTime, engine: &StagedEngine) -> f64 {
        if self.health.is_avoided(now, engine.key) {
            AVOIDED_S
        } else {
            0.0
        }
    }

    fn failing_s(&self, now: MonotonicTime, engine: &StagedEngine) -> f64 {
        self.health.failed_share(now, engine.key) * FAILURE_S
    }
}

/// Added time of an engine that neither keeps the parts by which prompts stay together nor is their
/// target.
fn not_target_s(terms: &PrefillTerms<'_>, engine: &StagedEngine, kept: u32) -> f64 {
    let Some(affinity) = terms.affinity.filter(|_| terms.target != Some(engine.key)) else {
        return 0.0;
    };
    let mut up_to_affinity = 0_u32;
    for part in &terms.request.parts {
        up_to_affinity = up_to_affinity.saturating_add(part.tokens);
        if part.id == affinity {
            break;
        }
    }
    if kept >= up_to_affinity {
        0.0
    } else {
        NOT_TARGET_S
    }
}

fn move_s(request: &StagedRequest, tokens: u32, same_zone: bool) -> f64 {
    if request.link_mbps <= 0.0 {
        return 0.0;
    }
    let bits = f64::from(tokens) * request.token_bytes as f64 * 8.0;
    let factor = if same_zone {
        1.0
    } else {
        OTHER_ZONE_MOVE_FACTOR
    };
    bits / (request.link_mbps * 1e6) * factor
}

/// Each request of a batch slows all others a little; a full batch makes them wait.
fn batch_s(engine: &StagedEngine, requests: u32) -> f64 {
    let share = f64::from(requests) / f64::from(engine.slots.max(1));
    share * share * BATCH_S
}

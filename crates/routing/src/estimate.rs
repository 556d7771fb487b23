//! Estimates how long an engine will take for a request.

use std::time::Duration;

use dalestand_types::Role;

use crate::learning::LearnedSpeeds;
use crate::prefix::{KnownPrefix, engine_hash, rendezvous_weight};
use crate::request::{Expected, RouteRequest};
use crate::sent_requests::SentRequests;
use crate::view::EngineView;

/// Number of prompt tokens over which the prefill time per token is averaged.
const SLOPE_SPAN_TOKENS: f64 = 4_000.0;

/// Period over which prompts sent since the last report are assumed to be prefilled, in seconds.
const OWN_WORK_PERIOD_S: f64 = 1.0;

/// Upper bound of the estimated share of an engine's time that prefills take.
const MAX_PREFILL_SHARE: f64 = 0.8;

/// Estimate for one engine. The [`Ticket`](crate::Ticket) keeps some of its values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Time to the first token (for a prefill only, to its end), in seconds.
    pub(crate) first_token_s: f64,
    /// Time from the first token to the last, in seconds.
    pub(crate) output_s: f64,
    /// Prompt tokens expected to be in the engine's prefix cache.
    pub(crate) prefix_tokens: u32,
    /// Prompt tokens that the engine has to prefill before the first token, including this request's.
    pub(crate) tokens_ahead: f64,
    /// Requests at the engine, including this one.
    pub(crate) held: f64,
    /// Share of the engine's time that prefills take.
    pub(crate) prefill_share: f64,
    /// Weighted delay that the request causes to the engine's other requests, in seconds.
    pub(crate) delay_to_others_s: f64,
    /// Whether requests are waiting for a place in the engine's batch.
    pub(crate) queued: bool,
}

impl Estimate {
    /// Time to the last token, in seconds.
    pub(crate) fn whole_s(&self) -> f64 {
        self.first_token_s + self.output_s
    }

    /// Score of the engine in seconds; the lowest is selected.
    pub(crate) fn score_s(&self) -> f64 {
        self.whole_s() + self.delay_to_others_s
    }

    /// The estimated times as durations.
    pub(crate) fn expected(&self) -> Expected {
        Expected {
            first_token: Duration::from_secs_f64(self.first_token_s),
            whole: Duration::from_secs_f64(self.whole_s()),
        }
    }
}

/// Computes estimates of engines for one request.
pub(crate) struct Estimator<'a> {
    pub(crate) learned: &'a LearnedSpeeds,
    pub(crate) sent_requests: &'a SentRequests,
    pub(crate) request: &'a RouteRequest,
    pub(crate) prefix: Option<&'a KnownPrefix>,
    /// Rendezvous weight of the prefix's home among the eligible engines.
    pub(crate) home_weight: u64,
    pub(crate) other_zone_s: f64,
    pub(crate) others_delay_weight: f64,
}

impl Estimator<'_> {
    /// Estimates prefill and decode on this engine.
    pub(crate) fn whole(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.prefill_only(engine, role);
        estimate.output_s = self.output_s(engine, role, estimate.held, estimate.prefill_share);
        estimate
    }

    /// Estimates the prefill.
    pub(crate) fn prefill_only(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.load(engine, role);
        let speeds = self.learned.role(&engine.pool, role);
        let prefix_tokens = self.prefix_tokens(engine);
        let cached = f64::from(prefix_tokens) * speeds.prefix_hit_rate;
        let uncached = (f64::from(self.request.prompt_tokens) - cached).max(1.0);
        estimate.prefix_tokens = prefix_tokens;
        estimate.tokens_ahead += uncached;
        let slowness = self.learned.slowness(&engine.engine);
        estimate.first_token_s += speeds.first_token.at(estimate.tokens_ahead) * slowness;
        if role.runs_decode() {
            let prefill_s = uncached * speeds.first_token.slope(SLOPE_SPAN_TOKENS);
            let decoding = self.decoding(engine, role, estimate.held);
            estimate.delay_to_others_s = self.others_delay_weight * decoding * prefill_s;
        }
        estimate
    }

    /// Estimates the decode phase, from an imported KV cache.
    pub(crate) fn decode_only(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.load(engine, role);
        let speeds = self.learned.role(&engine.pool, role);
        let import = speeds.import.at(f64::from(self.request.prompt_tokens));
        estimate.first_token_s += import * self.learned.slowness(&engine.engine);
        estimate.output_s = self.output_s(engine, role, estimate.held, estimate.prefill_share);
        estimate
    }

    /// The engine's load before the request: as last reported, plus what this node has sent since.
    fn load(&self, engine: &EngineView, role: Role) -> Estimate {
        let own = self.sent_requests.own_work(engine);
        let reported = engine.running + engine.waiting;
        let held = f64::from((reported + own.requests).max(own.in_flight) + 1);
        let zone_s = if engine.zone == self.request.zone {
            0.0
        } else {
            self.other_zone_s
        };
        Estimate {
            first_token_s: zone_s + self.batch_wait_s(engine, role, own.requests),
            output_s: 0.0,
            prefix_tokens: 0,
            tokens_ahead: engine.queued_prefill_tokens as f64 + own.prompt_tokens as f64,
            held,
            prefill_share: self.prefill_share(engine, role, own.prompt_tokens),
            delay_to_others_s: 0.0,
            queued: engine.waiting > 0,
        }
    }

    /// Share of the engine's time that prefills take, from its report and what this node has sent since.
    fn prefill_share(&self, engine: &EngineView, role: Role, own_tokens: u64) -> f64 {
        let speeds = self.learned.role(&engine.pool, role);
        let tokens_per_s = engine.prefill_tokens_per_s + own_tokens as f64 / OWN_WORK_PERIOD_S;
        let share = tokens_per_s * speeds.first_token.slope(SLOPE_SPAN_TOKENS);
        // Scaled down while little is known: a prior that is too slow would make every busy engine look overloaded.
        let confidence = speeds.first_token.confidence();
        share.min(MAX_PREFILL_SHARE) * confidence
    }

    /// Number of requests that the engine is decoding.
    fn decoding(&self, engine: &EngineView, role: Role, held: f64) -> f64 {
        let gap_s = self.learned.role(&engine.pool, role).token_gap.at(held);
        (engine.decode_tokens_per_s * gap_s).min(f64::from(engine.running))
    }

    /// Time until a place in a full batch becomes free, from the number of requests ahead and their mean duration.
    fn batch_wait_s(&self, engine: &EngineView, role: Role, own_requests: u32) -> f64 {
        if engine.waiting == 0 || engine.running == 0 {
            return 0.0;
        }
        let ahead = f64::from(engine.waiting + own_requests);
        let running = f64::from(engine.running);
        let duration_s = self.output_s(engine, role, running, 0.0);
        ahead / running * duration_s
    }

    /// Time to generate the output. The time between tokens grows with the share of the engine's time that prefills
    /// take.
    fn output_s(&self, engine: &EngineView, role: Role, held: f64, prefill_share: f64) -> f64 {
        let tokens = self
            .learned
            .output_tokens(&self.request.model, self.request.max_tokens);
        let gap = self.learned.role(&engine.pool, role).token_gap.at(held);
        tokens * gap / (1.0 - prefill_share) * self.learned.slowness(&engine.engine)
    }

    fn prefix_tokens(&self, engine: &EngineView) -> u32 {
        let Some(prefix) = self.prefix else {
            return 0;
        };
        let hash = engine_hash(&engine.engine);
        let home = rendezvous_weight(prefix.hash, hash) == self.home_weight;
        if home || prefix.held_by(hash) {
            prefix.tokens.min(self.request.prompt_tokens)
        } else {
            0
        }
    }
}

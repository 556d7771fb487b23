//! Times expected of an engine for a request.

use std::time::Duration;

use dalestand_types::Role;

use crate::learning::Learned;
use crate::prefix::{KnownPrefix, engine_hash, rendezvous_weight};
use crate::request::{Expected, RouteRequest};
use crate::track::Tracks;
use crate::view::EngineView;

/// Prompt tokens over which the time of one is taken.
const SLOPE_SPAN_TOKENS: f64 = 4_000.0;

/// Time over which prompts sent since a report are taken to be run, in seconds.
const OWN_WORK_TIME_S: f64 = 1.0;

/// Largest share of an engine's time that prompts are taken to have.
const LARGEST_PROMPT_SHARE: f64 = 0.8;

/// What is expected of one engine, with what the ticket must remember of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Time to the first token (to the end of the prompt for a prompt only), in seconds.
    pub(crate) first_token_s: f64,
    /// Time from the first token to the last, in seconds.
    pub(crate) output_s: f64,
    /// Prompt tokens expected in the engine's prefix cache.
    pub(crate) prefix_tokens: u32,
    /// Prompt tokens to be run up to the first token.
    pub(crate) tokens_ahead: f64,
    /// Requests held, with this one.
    pub(crate) held: f64,
    /// Share of the engine's time that prompts take.
    pub(crate) prompt_share: f64,
    /// Delay that it brings to others, weighted, in seconds.
    pub(crate) others_s: f64,
    /// Whether requests wait for a place in the batch.
    pub(crate) queued: bool,
}

impl Estimate {
    /// Time to the end of the answer, in seconds.
    pub(crate) fn whole_s(&self) -> f64 {
        self.first_token_s + self.output_s
    }

    /// What the choice goes by, in seconds.
    pub(crate) fn score_s(&self) -> f64 {
        self.whole_s() + self.others_s
    }

    /// As durations.
    pub(crate) fn expected(&self) -> Expected {
        Expected {
            first_token: Duration::from_secs_f64(self.first_token_s),
            whole: Duration::from_secs_f64(self.whole_s()),
        }
    }
}

/// Estimates engines for one request.
pub(crate) struct Estimator<'a> {
    pub(crate) learned: &'a Learned,
    pub(crate) tracks: &'a Tracks,
    pub(crate) request: &'a RouteRequest,
    pub(crate) prefix: Option<&'a KnownPrefix>,
    /// Weight of the prefix's home among the usable engines.
    pub(crate) home_weight: u64,
    pub(crate) other_zone_s: f64,
    pub(crate) others_delay_weight: f64,
}

impl Estimator<'_> {
    /// Prompt and output on this engine.
    pub(crate) fn whole(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.prompt(engine, role);
        estimate.output_s = self.output_s(engine, role, estimate.held, estimate.prompt_share);
        estimate
    }

    /// The prompt only.
    pub(crate) fn prompt(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.load(engine, role);
        let speeds = self.learned.role(&engine.pool, role);
        let prefix_tokens = self.prefix_tokens(engine);
        let trusted = f64::from(prefix_tokens) * speeds.prefix_trust;
        let own = (f64::from(self.request.prompt_tokens) - trusted).max(1.0);
        estimate.prefix_tokens = prefix_tokens;
        estimate.tokens_ahead += own;
        let slowness = self.learned.slowness(&engine.engine);
        estimate.first_token_s += speeds.first_token.at(estimate.tokens_ahead) * slowness;
        if role.runs_decode() {
            let own_s = own * speeds.first_token.slope(SLOPE_SPAN_TOKENS);
            let delayed = self.decoding(engine, role, estimate.held);
            estimate.others_s = self.others_delay_weight * delayed * own_s;
        }
        estimate
    }

    /// The output only, from an imported KV cache.
    pub(crate) fn output(&self, engine: &EngineView, role: Role) -> Estimate {
        let mut estimate = self.load(engine, role);
        let speeds = self.learned.role(&engine.pool, role);
        let import = speeds.import.at(f64::from(self.request.prompt_tokens));
        estimate.first_token_s += import * self.learned.slowness(&engine.engine);
        estimate.output_s = self.output_s(engine, role, estimate.held, estimate.prompt_share);
        estimate
    }

    /// The engine's load as reported, with this node's own work since, before the request.
    fn load(&self, engine: &EngineView, role: Role) -> Estimate {
        let own = self.tracks.own_work(engine);
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
            prompt_share: self.prompt_share(engine, role, own.prompt_tokens),
            others_s: 0.0,
            queued: engine.waiting > 0,
        }
    }

    /// Share of the engine's time that prompts take, by its reports and by what was sent since.
    fn prompt_share(&self, engine: &EngineView, role: Role, own_tokens: u64) -> f64 {
        let speeds = self.learned.role(&engine.pool, role);
        let tokens_per_s = engine.prefill_tokens_per_s + own_tokens as f64 / OWN_WORK_TIME_S;
        let share = tokens_per_s * speeds.first_token.slope(SLOPE_SPAN_TOKENS);
        // A prior that is too slow would make every busy engine look overloaded.
        let confidence = speeds.first_token.confidence();
        share.min(LARGEST_PROMPT_SHARE) * confidence
    }

    /// Requests whose output the engine generates.
    fn decoding(&self, engine: &EngineView, role: Role, held: f64) -> f64 {
        let gap_s = self.learned.role(&engine.pool, role).token_gap.at(held);
        (engine.decode_tokens_per_s * gap_s).min(f64::from(engine.running))
    }

    /// Wait for a place in a full batch: the requests ahead, at the rate at which places fall free.
    fn batch_wait_s(&self, engine: &EngineView, role: Role, own_requests: u32) -> f64 {
        if engine.waiting == 0 || engine.running == 0 {
            return 0.0;
        }
        let ahead = f64::from(engine.waiting + own_requests);
        let running = f64::from(engine.running);
        let stay_s = self.output_s(engine, role, running, 0.0);
        ahead / running * stay_s
    }

    /// Time of the output: the gap between tokens grows as prompts take the engine's time.
    fn output_s(&self, engine: &EngineView, role: Role, held: f64, prompt_share: f64) -> f64 {
        let tokens = self
            .learned
            .output_tokens(&self.request.model, self.request.max_tokens);
        let gap = self.learned.role(&engine.pool, role).token_gap.at(held);
        tokens * gap / (1.0 - prompt_share) * self.learned.slowness(&engine.engine)
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

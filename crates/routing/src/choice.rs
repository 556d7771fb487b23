//! Selects the best of the engines that are eligible for a request.

use dalestand_types::Role;
use rand::Rng;

use crate::config::RouterConfig;
use crate::eligible_engines::{EligibleEngine, EligibleEngines, holders_to_front};
use crate::estimate::{Estimate, Estimator};
use crate::prefix::KnownPrefix;
use crate::request::Placement;
use crate::sample::sample_to_front;
use crate::view::EngineView;

/// The selected engine and what it is expected to do.
pub(crate) struct Choice<'a> {
    pub(crate) engine: &'a EngineView,
    pub(crate) placement: Placement,
    pub(crate) estimate: Estimate,
    score_s: f64,
}

/// Selects engines for one request.
pub(crate) struct Chooser<'r> {
    pub(crate) config: &'r RouterConfig,
    pub(crate) estimator: Estimator<'r>,
}

impl Chooser<'_> {
    /// Selects one engine for the whole request, or a prefill engine if running prefill and decode on different engines
    /// is expected to complete earlier.
    pub(crate) fn choose_start<'a, R: Rng>(
        &self,
        eligible: &mut EligibleEngines<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let whole = self.choose(
            self.estimator.prefix,
            &mut eligible.whole,
            random,
            |engine, role| {
                let estimate = self.estimator.whole(engine, role);
                note(engine, estimate.score_s());
                (estimate, estimate.score_s())
            },
        );
        let whole = whole.map(|(engine, estimate, score_s)| Choice {
            engine,
            placement: Placement::Whole,
            estimate,
            score_s,
        });
        let split = self.choose_split(eligible, random, note);
        match (whole, split) {
            (Some(whole), Some(split)) if split.score_s < whole.score_s => Some(split),
            (None, split) => split,
            (whole, _) => whole,
        }
    }

    /// Selects a prefill engine, given the best engine for the decode phase.
    fn choose_split<'a, R: Rng>(
        &self,
        eligible: &mut EligibleEngines<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        if eligible.prefill.is_empty() {
            return None;
        }
        let mut ignore = |_: &EngineView, _: f64| ();
        let decode = self.choose_decode(&mut eligible.decode, random, &mut ignore)?;
        let (engine, estimate, score_s) = self.choose(
            self.estimator.prefix,
            &mut eligible.prefill,
            random,
            |engine, role| {
                let mut estimate = self.estimator.prefill_only(engine, role);
                if engine.engine == decode.engine.engine {
                    // Both phases on one engine are covered by `Placement::Whole`.
                    return (estimate, f64::INFINITY);
                }
                estimate.first_token_s += decode.estimate.first_token_s;
                estimate.output_s = decode.estimate.output_s;
                note(engine, estimate.score_s());
                (estimate, estimate.score_s())
            },
        )?;
        score_s.is_finite().then_some(Choice {
            engine,
            placement: Placement::PrefillOnly,
            estimate,
            score_s,
        })
    }

    pub(crate) fn choose_decode<'a, R: Rng>(
        &self,
        eligible: &mut [EligibleEngine<'a>],
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let (engine, estimate, score_s) = self.choose(None, eligible, random, |engine, role| {
            let estimate = self.estimator.decode_only(engine, role);
            note(engine, estimate.whole_s());
            (estimate, estimate.whole_s())
        })?;
        Some(Choice {
            engine,
            placement: Placement::DecodeOnly,
            estimate,
            score_s,
        })
    }

    /// Evaluates a random sample of engines and those likely to have the prefix cached, and takes the best.
    fn choose<'a, R: Rng>(
        &self,
        prefix: Option<&KnownPrefix>,
        eligible: &mut [EligibleEngine<'a>],
        random: &mut R,
        mut estimate: impl FnMut(&'a EngineView, Role) -> (Estimate, f64),
    ) -> Option<(&'a EngineView, Estimate, f64)> {
        let mut front = prefix.map_or(0, |prefix| holders_to_front(prefix, eligible));
        let sample_size = self.sample_size(eligible);
        front += sample_to_front(&mut eligible[front..], sample_size, random);
        let mut best: Option<(&EngineView, Estimate, f64)> = None;
        for (engine, role) in &eligible[..front] {
            let (estimate, score_s) = estimate(engine, *role);
            if best.as_ref().is_none_or(|(_, _, lowest)| score_s < *lowest) {
                best = Some((engine, estimate, score_s));
            }
        }
        best
    }

    /// Number of engines to sample. If there are few and this node sends much of their load, all are evaluated: its own
    /// requests are known at once, so it does not overload an engine that an old report shows as idle.
    fn sample_size(&self, eligible: &[EligibleEngine<'_>]) -> usize {
        if eligible.len() > self.config.full_scan_limit {
            return self.config.sample_size;
        }
        let held = eligible
            .iter()
            .map(|(engine, _)| engine.running + engine.waiting);
        let own = eligible
            .iter()
            .map(|(engine, _)| self.estimator.sent_requests.own_work(engine).in_flight);
        let (held, own) = (f64::from(held.sum::<u32>()), f64::from(own.sum::<u32>()));
        if own >= self.config.full_scan_own_share * held {
            eligible.len()
        } else {
            self.config.sample_size
        }
    }
}

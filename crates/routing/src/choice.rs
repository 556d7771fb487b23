//! Choice among the engines that may take a request.

use dalestand_types::Role;
use rand::Rng;

use crate::config::RouterConfig;
use crate::estimate::{Estimate, Estimator};
use crate::prefix::KnownPrefix;
use crate::request::Placement;
use crate::sample::draw_front;
use crate::usables::{Usable, Usables, holders_to_front};
use crate::view::EngineView;

/// The best choice of one kind.
pub(crate) struct Choice<'a> {
    pub(crate) engine: &'a EngineView,
    pub(crate) placement: Placement,
    pub(crate) estimate: Estimate,
    score_s: f64,
}

/// Chooses for one request.
pub(crate) struct Chooser<'r> {
    pub(crate) config: &'r RouterConfig,
    pub(crate) estimator: Estimator<'r>,
}

impl Chooser<'_> {
    /// One engine for all of it, or a prompt engine with the output elsewhere, whichever is
    /// expected to end first.
    pub(crate) fn choose_start<'a, R: Rng>(
        &self,
        usables: &mut Usables<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let whole = self.choose(
            self.estimator.prefix,
            &mut usables.whole,
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
        let split = self.choose_split(usables, random, note);
        match (whole, split) {
            (Some(whole), Some(split)) if split.score_s < whole.score_s => Some(split),
            (None, split) => split,
            (whole, _) => whole,
        }
    }

    /// The prompt on one engine and the output on another.
    fn choose_split<'a, R: Rng>(
        &self,
        usables: &mut Usables<'a>,
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        if usables.prefill.is_empty() {
            return None;
        }
        let mut silent = |_: &EngineView, _: f64| ();
        let output = self.choose_decode(&mut usables.decode, random, &mut silent)?;
        let (engine, estimate, score_s) = self.choose(
            self.estimator.prefix,
            &mut usables.prefill,
            random,
            |engine, role| {
                let mut estimate = self.estimator.prompt(engine, role);
                if engine.engine == output.engine.engine {
                    // That would be the whole request on one engine.
                    return (estimate, f64::INFINITY);
                }
                estimate.first_token_s += output.estimate.first_token_s;
                estimate.output_s = output.estimate.output_s;
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
        usable: &mut [Usable<'a>],
        random: &mut R,
        note: &mut impl FnMut(&EngineView, f64),
    ) -> Option<Choice<'a>> {
        let (engine, estimate, score_s) = self.choose(None, usable, random, |engine, role| {
            let estimate = self.estimator.output(engine, role);
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

    /// Draws some engines, with those that are likely to hold the prefix, and takes the best.
    fn choose<'a, R: Rng>(
        &self,
        prefix: Option<&KnownPrefix>,
        usable: &mut [Usable<'a>],
        random: &mut R,
        mut estimate: impl FnMut(&'a EngineView, Role) -> (Estimate, f64),
    ) -> Option<(&'a EngineView, Estimate, f64)> {
        let mut front = prefix.map_or(0, |prefix| holders_to_front(prefix, usable));
        let sample_size = self.sample_size(usable);
        front += draw_front(&mut usable[front..], sample_size, random);
        let mut best: Option<(&EngineView, Estimate, f64)> = None;
        for (engine, role) in &usable[..front] {
            let (estimate, score_s) = estimate(engine, *role);
            if best.as_ref().is_none_or(|(_, _, lowest)| score_s < *lowest) {
                best = Some((engine, estimate, score_s));
            }
        }
        best
    }

    /// Candidates to draw: all of a few where this node sends much of their load, else a sample.
    fn sample_size(&self, usable: &[Usable<'_>]) -> usize {
        if usable.len() > self.config.look_at_all {
            return self.config.sample_size;
        }
        let held = usable
            .iter()
            .map(|(engine, _)| engine.running + engine.waiting);
        let own = usable
            .iter()
            .map(|(engine, _)| self.estimator.tracks.own_work(engine).in_flight);
        let (held, own) = (f64::from(held.sum::<u32>()), f64::from(own.sum::<u32>()));
        if own >= self.config.own_share_to_look_at_all * held {
            usable.len()
        } else {
            self.config.sample_size
        }
    }
}

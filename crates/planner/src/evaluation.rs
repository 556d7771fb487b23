//! Weighs the gain of a role change against its cost.
//!
//! Gains and costs are in seconds of full service: 1 is all requests of one second served in time.

use std::time::Duration;

use dalestand_types::Role;

use crate::change_duration::ChangeDurationEstimate;
use crate::composition::{Composition, Workload};
use crate::config::PlannerConfig;
use crate::demand::{Demand, DemandEstimate};
use crate::speeds::EngineSpeeds;

/// Smallest group to split into prefill and decode engines. A smaller one cannot change a role without
/// leaving a phase unserved.
const MIN_SPLIT_ENGINES: usize = 3;

/// Evaluation horizon of a change, in seconds.
const HORIZON_S: f64 = 300.0;

/// Upper bound of the change weight; at 1 the price of a change would be infinite.
const MAX_CHANGE_WEIGHT: f64 = 0.98;

/// Price of a change at a change weight of 0.5, as a multiple of the engine's time out of service.
const CHANGE_PRICE: f64 = 1.0;

/// Minimum gain of a change beyond its cost, in seconds of full service.
const MIN_NET_GAIN_S: f64 = 0.3;

/// Every n-th sample of the demand history is evaluated.
const HISTORY_SAMPLE_STEP: usize = 6;

/// Largest group for which every composition is evaluated.
const MAX_EXHAUSTIVE_ENGINES: usize = 16;

/// Maximum number of role changes per evaluated composition in larger groups.
const MAX_CHANGES_EVALUATED: usize = 4;

/// A change of composition with its gain and cost, in seconds of full service.
pub(crate) struct Proposal {
    pub(crate) target: Composition,
    pub(crate) gain: f64,
    pub(crate) cost: f64,
}

/// Expected fractions of requests served in time.
struct ServedShares {
    /// Under the forecast demand.
    forecast: f64,
    /// Under the demand of the last minutes.
    recent: f64,
}

/// Cost of a set of role changes.
struct Cost {
    /// Total cost, in seconds of full service.
    total_s: f64,
    /// Longest time out of service of an engine, in seconds.
    out_of_service_s: f64,
}

/// Evaluates compositions with the current estimates.
pub(crate) struct Evaluation<'a> {
    pub(crate) config: &'a PlannerConfig,
    pub(crate) speeds: EngineSpeeds,
    pub(crate) demand: &'a DemandEstimate,
    pub(crate) change_duration: &'a ChangeDurationEstimate,
}

impl Evaluation<'_> {
    /// The composition with the highest net gain; `None` if no change is worth its cost. `period` is how
    /// long the current mix is expected to last.
    pub(crate) fn best_proposal(&self, current: Composition, period: Duration) -> Option<Proposal> {
        let mix_s = period.as_secs_f64().min(HORIZON_S);
        let before = self.served_shares(&current);
        let mut best: Option<Proposal> = None;
        for target in self.compositions(&current) {
            if current.changes_to(&target) == 0 {
                continue;
            }
            let after = self.served_shares(&target);
            let cost = self.cost(&current, &target, before.forecast);
            let gain = self.gain(&before, &after, mix_s, &cost);
            let better = best
                .as_ref()
                .is_none_or(|best| gain - cost.total_s > best.gain - best.cost);
            if gain > cost.total_s + MIN_NET_GAIN_S && better {
                let cost = cost.total_s;
                best = Some(Proposal { target, gain, cost });
            }
        }
        best
    }

    /// Gain of a change, in seconds of full service: under the forecast demand from its completion
    /// until the mix is expected to shift, then under the recent demand until the horizon. The later
    /// part is bounded: a loss by the cost of reverting the change, and a gain by a credit that
    /// shrinks with the change weight.
    fn gain(&self, before: &ServedShares, after: &ServedShares, mix_s: f64, cost: &Cost) -> f64 {
        let present_s = (mix_s - cost.out_of_service_s).max(0.0);
        let present = (after.forecast - before.forecast) * present_s;
        let later = (after.recent - before.recent) * (HORIZON_S - mix_s);
        let credit = (1.0 - self.config.change_weight).max(0.0) * cost.total_s;
        present + later.clamp(-cost.total_s, credit)
    }

    /// Compositions to evaluate: all for a small group, those near the current one for a large group.
    fn compositions(&self, current: &Composition) -> Vec<Composition> {
        let total = current.prefill + current.decode + current.mixed;
        let mixed_allowed = self.config.allowed_roles.contains(&Role::Mixed);
        if total < MIN_SPLIT_ENGINES && mixed_allowed {
            return Composition::all(total, &[Role::Mixed]);
        }
        let mut compositions = Composition::all(total, &self.config.allowed_roles);
        if total > MAX_EXHAUSTIVE_ENGINES {
            compositions.retain(|target| current.changes_to(target) <= MAX_CHANGES_EVALUATED);
        }
        compositions
    }

    fn served_shares(&self, composition: &Composition) -> ServedShares {
        let share = |demand: &Demand| composition.served_share(&Workload::of(demand, &self.speeds));
        let forecast = share(&self.demand.forecast(self.config.change_duration));
        let samples = self.demand.history().step_by(HISTORY_SAMPLE_STEP);
        let (sum, count) = samples.fold((0.0, 0), |(sum, count), demand| {
            (sum + share(demand), count + 1)
        });
        let recent = if count == 0 {
            forecast
        } else {
            sum / f64::from(count)
        };
        ServedShares { forecast, recent }
    }

    /// Cost of the changes: requests not served in time while engines are out of service, and a price per
    /// change that grows with the change weight.
    fn cost(&self, current: &Composition, target: &Composition, before: f64) -> Cost {
        let workload = Workload::of(&self.demand.forecast(Duration::ZERO), &self.speeds);
        let weight = self.config.change_weight.clamp(0.0, MAX_CHANGE_WEIGHT);
        let engines = (current.prefill + current.decode + current.mixed).max(1) as f64;
        let mut cost = Cost {
            total_s: 0.0,
            out_of_service_s: 0.0,
        };
        for role in Role::ALL {
            let leaving = current.count(role).saturating_sub(target.count(role));
            if leaving == 0 {
                continue;
            }
            let out_of_service_s = self.change_duration.expected(role).as_secs_f64();
            let with_one_less = current.without(role).served_share(&workload);
            let lost = (before - with_one_less).max(0.0) * out_of_service_s;
            let price = CHANGE_PRICE * out_of_service_s / engines * weight / (1.0 - weight);
            cost.total_s += leaving as f64 * (lost + price);
            cost.out_of_service_s = cost.out_of_service_s.max(out_of_service_s);
        }
        cost
    }
}

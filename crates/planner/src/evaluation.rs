//! What a change of composition is worth against what it costs.

use std::time::Duration;

use dalestand_types::Role;

use crate::change_duration::OutageEstimate;
use crate::composition::{Composition, Workload};
use crate::config::PlannerConfig;
use crate::demand::{Demand, DemandEstimate};
use crate::speeds::EngineSpeeds;

/// Fewest engines that are split into prefill and decode: fewer could not change without a gap.
const SMALLEST_SPLIT: usize = 3;

/// How far ahead a change is judged, in seconds.
const HORIZON_S: f64 = 300.0;

/// Largest weight of role changes that is told apart from one.
const LARGEST_WEIGHT: f64 = 0.98;

/// Price of a change at equal weights, as a multiple of the engine's time out of service.
const CHANGE_PRICE: f64 = 1.0;

/// Gain beyond its cost that a change must bring, in shares of the demand times seconds.
const SMALLEST_GAIN_S: f64 = 0.3;

/// One in so many samples of the last minutes is looked at.
const HISTORY_STEP: usize = 6;

/// Engines up to which every composition is looked at.
const LARGEST_WHOLE_SEARCH: usize = 16;

/// Changes looked ahead in a larger group.
const CHANGES_LOOKED_AHEAD: usize = 4;

/// A change of composition with its worth, in shares of the demand times seconds.
pub(crate) struct Proposal {
    pub(crate) target: Composition,
    pub(crate) gain: f64,
    pub(crate) cost: f64,
}

/// Expected shares of requests served in time.
struct Outlook {
    /// By the demand that is coming.
    coming: f64,
    /// By the demand of the last minutes.
    usual: f64,
}

/// What changes cost.
struct Cost {
    /// In shares of the demand times seconds.
    total_s: f64,
    /// Until the first of them is done, in seconds.
    out_s: f64,
}

/// Weighs compositions on what is known now.
pub(crate) struct Evaluation<'a> {
    pub(crate) config: &'a PlannerConfig,
    pub(crate) speeds: EngineSpeeds,
    pub(crate) demand: &'a DemandEstimate,
    pub(crate) outage: &'a OutageEstimate,
}

impl Evaluation<'_> {
    /// The composition whose gain exceeds its cost by most.
    pub(crate) fn best_proposal(&self, current: Composition, stay: Duration) -> Option<Proposal> {
        let stay_s = stay.as_secs_f64().min(HORIZON_S);
        let before = self.outlook(&current);
        let mut best: Option<Proposal> = None;
        for target in self.compositions(&current) {
            if current.changes_to(&target) == 0 {
                continue;
            }
            let after = self.outlook(&target);
            let cost = self.cost(&current, &target, before.coming);
            let gain = self.worth(&before, &after, stay_s, &cost);
            let better = best
                .as_ref()
                .is_none_or(|known| gain - cost.total_s > known.gain - known.cost);
            if gain > cost.total_s + SMALLEST_GAIN_S && better {
                let cost = cost.total_s;
                best = Some(Proposal { target, gain, cost });
            }
        }
        best
    }

    /// What a change brings, in shares of the demand times seconds: its gain from when it is done
    /// for as long as the present mix is expected to last, and after that its gain or loss by the
    /// usual mix. A later loss is no larger than the cost of undoing the change, and a later gain
    /// counts for less the more the deployment weighs changes.
    fn worth(&self, before: &Outlook, after: &Outlook, stay_s: f64, cost: &Cost) -> f64 {
        let present_s = (stay_s - cost.out_s).max(0.0);
        let present = (after.coming - before.coming) * present_s;
        let later = (after.usual - before.usual) * (HORIZON_S - stay_s);
        let credit = (1.0 - self.config.change_weight).max(0.0) * cost.total_s;
        present + later.clamp(-cost.total_s, credit)
    }

    /// Compositions to look at: all of a small group, those near the present one of a large.
    fn compositions(&self, current: &Composition) -> Vec<Composition> {
        let total = current.prefill + current.decode + current.mixed;
        let mixed_allowed = self.config.allowed_roles.contains(&Role::Mixed);
        if total < SMALLEST_SPLIT && mixed_allowed {
            return Composition::all(total, &[Role::Mixed]);
        }
        let mut found = Composition::all(total, &self.config.allowed_roles);
        if total > LARGEST_WHOLE_SEARCH {
            found.retain(|target| current.changes_to(target) <= CHANGES_LOOKED_AHEAD);
        }
        found
    }

    /// Shares of requests in time, by the demand that is coming and by that of the last minutes.
    fn outlook(&self, composition: &Composition) -> Outlook {
        let share = |demand: &Demand| composition.served_share(&Workload::of(demand, &self.speeds));
        let coming = share(&self.demand.forecast(self.config.change_duration));
        let samples = self.demand.history().step_by(HISTORY_STEP);
        let (sum, count) = samples.fold((0.0, 0), |(sum, count), demand| {
            (sum + share(demand), count + 1)
        });
        let usual = if count == 0 {
            coming
        } else {
            sum / f64::from(count)
        };
        Outlook { coming, usual }
    }

    /// What the changes cost: requests that the engines miss while out of service, and the price
    /// that the deployment's weight puts on each change.
    fn cost(&self, current: &Composition, target: &Composition, before: f64) -> Cost {
        let workload = Workload::of(&self.demand.forecast(Duration::ZERO), &self.speeds);
        let weight = self.config.change_weight.clamp(0.0, LARGEST_WEIGHT);
        let engines = (current.prefill + current.decode + current.mixed).max(1) as f64;
        let mut cost = Cost {
            total_s: 0.0,
            out_s: 0.0,
        };
        for role in Role::ALL {
            let leaving = current.count(role).saturating_sub(target.count(role));
            if leaving == 0 {
                continue;
            }
            let out_s = self.outage.expected(role).as_secs_f64();
            let while_out = current.without(role).served_share(&workload);
            let missed = (before - while_out).max(0.0) * out_s;
            let price = CHANGE_PRICE * out_s / engines * weight / (1.0 - weight);
            cost.total_s += leaving as f64 * (missed + price);
            cost.out_s = cost.out_s.max(out_s);
        }
        cost
    }
}

//! The role planner of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{EngineId, GroupDigest, GroupId, MonotonicTime, Role};

use crate::composition::{Composition, Workload};
use crate::config::PlannerConfig;
use crate::demand::{Demand, DemandEstimate};
use crate::engine_state::EngineState;
use crate::outage::OutageEstimate;
use crate::plan::{PlanInputs, PlanReason, RolePlan};
use crate::speeds::SpeedEstimate;
use crate::stay::{Lean, StayEstimate};

/// Fewest engines that are split into prefill and decode: fewer could not change without a gap.
const SMALLEST_SPLIT: usize = 3;

/// Ratio between the present and the usual mix from which the mix counts as leaning.
const LEAN_RATIO: f64 = 1.15;

/// How far ahead a change is judged, in seconds.
const HORIZON_S: f64 = 300.0;

/// Largest weight of role changes that is told apart from one.
const LARGEST_WEIGHT: f64 = 0.98;

/// Price of a change at equal weights, as a multiple of the engine's time out of service.
const CHANGE_PRICE: f64 = 1.0;

/// Gain beyond its cost that a change must bring, in shares of the demand times seconds.
const SMALLEST_GAIN_S: f64 = 0.3;

/// Engines held by one step of the preference for engines with little to drain.
const DRAIN_STEP: u32 = 16;

/// Time given to each group that has a better engine to change, to change it.
const TURN: Duration = Duration::from_secs(3);

/// One in so many samples of the last minutes is looked at.
const HISTORY_STEP: usize = 6;

/// Plans the roles of one group.
///
/// It may be given the digests of other groups of the same pool whose engines can share requests
/// with this one. All are then planned as one, and each plan names this group's engines only: the
/// group that has the engine with the least to drain goes first, the others wait their turn.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    group: GroupId,
    config: PlannerConfig,
    engines: BTreeMap<EngineId, EngineState>,
    own: BTreeSet<EngineId>,
    assigned: BTreeMap<EngineId, Role>,
    speeds: SpeedEstimate,
    demand: DemandEstimate,
    stay: StayEstimate,
    outage: OutageEstimate,
    /// Since when a change has been worth its cost.
    worth_since: Option<MonotonicTime>,
}

/// A change of composition with its worth, in shares of the demand times seconds.
struct Proposal {
    target: Composition,
    gain: f64,
    cost: f64,
}

/// An engine of this group that could change.
struct Step {
    engine: EngineId,
    role: Role,
    /// Groups that have an engine with less to drain.
    groups_before: u32,
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

impl RolePlanner {
    /// A planner that has seen no report.
    pub fn new(group: GroupId, config: PlannerConfig) -> Self {
        Self {
            group,
            speeds: SpeedEstimate::new(config.prior_speeds),
            engines: BTreeMap::new(),
            own: BTreeSet::new(),
            assigned: BTreeMap::new(),
            demand: DemandEstimate::default(),
            stay: StayEstimate::new(),
            outage: OutageEstimate::new(config.change_duration),
            worth_since: None,
            config,
        }
    }

    /// Takes a new configuration in without forgetting what was learnt.
    pub fn set_config(&mut self, config: PlannerConfig) {
        self.config = config;
    }

    /// Takes in a digest of this group, or of another group that is planned together with it.
    pub fn observe(&mut self, now: MonotonicTime, digest: &GroupDigest) {
        for report in &digest.engines {
            let engine = &report.load.engine;
            if digest.group == self.group {
                self.own.insert(engine.clone());
            }
            let restarted = match self.engines.get_mut(engine) {
                Some(known) => {
                    let before = known.incarnation();
                    if let Some(sample) = known.update(now, report) {
                        self.speeds.observe(&sample);
                    }
                    before != report.load.incarnation
                }
                None => {
                    let state = EngineState::new(now, &digest.group, report);
                    self.engines.insert(engine.clone(), state);
                    true
                }
            };
            // A restarted engine is planned from the role it came back in.
            if restarted {
                self.assigned.remove(engine);
                self.outage.forget(engine);
            }
            let Some(role) = report.load.role else {
                continue;
            };
            if self.own.contains(engine) {
                if report.accepting {
                    self.outage.observe(now, engine, role);
                }
                self.assigned.entry(engine.clone()).or_insert(role);
            } else {
                // Another group's planner gives that engine its roles.
                self.assigned.insert(engine.clone(), role);
            }
        }
    }

    /// The roles this group's engines are to have from now on.
    pub fn plan(&mut self, now: MonotonicTime) -> RolePlan {
        self.forget_silent(now);
        let measured = self.measured_demand();
        if self.demand.sample(now, measured) {
            let lean = self.lean();
            self.stay.observe(now, lean);
        }
        let current = Composition::of(self.assigned.values().copied());
        let mut inputs = self.inputs(now, measured, current);
        let reason = self.decide(now, current, &mut inputs);
        let roles = self.assigned.iter();
        let roles = roles
            .filter(|(engine, _)| self.own.contains(*engine))
            .map(|(engine, role)| (engine.clone(), *role))
            .collect();
        RolePlan {
            roles,
            reason,
            inputs,
        }
    }

    fn decide(
        &mut self,
        now: MonotonicTime,
        current: Composition,
        inputs: &mut PlanInputs,
    ) -> PlanReason {
        if self.assigned.is_empty() {
            return PlanReason::NoReports;
        }
        let changing = self.changing();
        if changing >= self.config.max_changes_at_once.max(1) {
            return PlanReason::ChangesUnderWay { engines: changing };
        }
        let Some(proposal) = self.best_proposal(now, current) else {
            self.worth_since = None;
            return PlanReason::Keep;
        };
        inputs.target = proposal.target;
        let step = match self.first_step(&current, &proposal.target) {
            Ok(step) => step,
            Err(reason) => return reason,
        };
        let worth_since = *self.worth_since.get_or_insert(now);
        if now.since(worth_since) < TURN * step.groups_before {
            return PlanReason::OtherGroupFirst;
        }
        self.worth_since = None;
        if let Some(from) = self.assigned.insert(step.engine.clone(), step.role) {
            self.outage.begin(now, &step.engine, from, step.role);
        }
        PlanReason::Gain {
            gain: proposal.gain,
            cost: proposal.cost,
        }
    }

    /// The composition whose gain exceeds its cost by most.
    fn best_proposal(&self, now: MonotonicTime, current: Composition) -> Option<Proposal> {
        let total = self.assigned.len();
        let stay_s = self.stay.expected(now).as_secs_f64().min(HORIZON_S);
        let before = self.outlook(&current);
        let mut best: Option<Proposal> = None;
        for target in self.compositions(total) {
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

    fn compositions(&self, total: usize) -> Vec<Composition> {
        let mixed_allowed = self.config.allowed_roles.contains(&Role::Mixed);
        if total < SMALLEST_SPLIT && mixed_allowed {
            return Composition::all(total, &[Role::Mixed]);
        }
        Composition::all(total, &self.config.allowed_roles)
    }

    /// Shares of requests in time, by the demand that is coming and by that of the last minutes.
    fn outlook(&self, composition: &Composition) -> Outlook {
        let speeds = self.speeds.speeds();
        let share = |demand: &Demand| composition.served_share(&Workload::of(demand, &speeds));
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
        let speeds = self.speeds.speeds();
        let workload = Workload::of(&self.demand.forecast(Duration::ZERO), &speeds);
        let weight = self.config.change_weight.clamp(0.0, LARGEST_WEIGHT);
        let engines = self.assigned.len().max(1) as f64;
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

    /// The engine of this group to change first.
    fn first_step(&self, current: &Composition, target: &Composition) -> Result<Step, PlanReason> {
        let surplus = |role: Role| current.count(role) > target.count(role);
        let role = Role::ALL
            .into_iter()
            .filter(|role| current.count(*role) < target.count(*role))
            .max_by_key(|role| target.count(*role) - current.count(*role))
            .ok_or(PlanReason::Keep)?;
        let candidates = self.assigned.iter().filter(|(_, held)| surplus(**held));
        let mut candidates: Vec<&EngineId> = candidates
            .map(|(engine, _)| engine)
            .filter(|engine| self.may_leave(engine, role))
            .collect();
        candidates.sort_by_key(|engine| (self.held(engine) / DRAIN_STEP, *engine));
        if candidates.is_empty() {
            return Err(PlanReason::WouldLeavePhaseEmpty);
        }
        let place = candidates
            .iter()
            .position(|engine| self.own.contains(*engine))
            .ok_or(PlanReason::OtherGroupFirst)?;
        let before: BTreeSet<&GroupId> = candidates[..place]
            .iter()
            .filter_map(|engine| Some(self.engines.get(*engine)?.group()))
            .collect();
        Ok(Step {
            engine: candidates[place].clone(),
            role,
            groups_before: before.len() as u32,
        })
    }

    /// Whether an engine may leave its role for another.
    ///
    /// Of each phase that it would leave, an engine of a lower name must be in service. So the
    /// lowest engine of a phase never leaves it, and no two groups that decide at the same time,
    /// each on an old picture of the other, can leave a phase without any engine. A phase that
    /// nobody runs may be filled by anyone.
    fn may_leave(&self, engine: &EngineId, to: Role) -> bool {
        let Some(from) = self.assigned.get(engine).copied() else {
            return false;
        };
        let kept_by_lower = |phase: fn(Role) -> bool| {
            let lower = self.engines.range(..engine.clone());
            lower
                .filter(|(_, state)| state.accepting())
                .any(|(other, state)| {
                    let stays = self.assigned.get(other).copied() == state.role();
                    stays && state.role().is_some_and(phase)
                })
        };
        let phases: [fn(Role) -> bool; 2] = [Role::runs_prefill, Role::runs_decode];
        let fills = phases
            .iter()
            .any(|phase| phase(to) && !self.is_served(*phase));
        let leaves_none = phases
            .iter()
            .all(|phase| !phase(from) || phase(to) || kept_by_lower(*phase));
        fills || leaves_none
    }

    /// Whether an engine in service runs the phase.
    fn is_served(&self, phase: fn(Role) -> bool) -> bool {
        self.engines
            .values()
            .filter(|state| state.accepting())
            .any(|state| state.role().is_some_and(phase))
    }

    fn held(&self, engine: &EngineId) -> u32 {
        self.engines.get(engine).map_or(0, EngineState::held)
    }

    /// Engines that do not serve in the role they were given.
    fn changing(&self) -> usize {
        self.assigned
            .iter()
            .filter(|(engine, role)| {
                let known = self.engines.get(*engine);
                known.is_none_or(|state| state.role() != Some(**role) || !state.accepting())
            })
            .count()
    }

    fn forget_silent(&mut self, now: MonotonicTime) {
        let limit = self.config.report_limit;
        self.engines.retain(|_, state| state.age(now) <= limit);
        let engines = &self.engines;
        self.assigned
            .retain(|engine, _| engines.contains_key(engine));
    }

    fn measured_demand(&self) -> Demand {
        let mut sum = Demand::default();
        for state in self.engines.values() {
            let demand = state.demand();
            sum.prefill_tokens_per_s += demand.prefill_tokens_per_s;
            sum.decode_tokens_per_s += demand.decode_tokens_per_s;
        }
        sum
    }

    /// Whether the mix leans to one side of that of the last minutes.
    fn lean(&self) -> Option<Lean> {
        let speeds = self.speeds.speeds();
        let mut usual = Demand::default();
        for sample in self.demand.history() {
            usual.prefill_tokens_per_s += sample.prefill_tokens_per_s;
            usual.decode_tokens_per_s += sample.decode_tokens_per_s;
        }
        let ratio = |demand: &Demand| {
            let work = Workload::of(demand, &speeds);
            (work.prefill + f64::EPSILON) / (work.decode + f64::EPSILON)
        };
        let now = ratio(&self.demand.forecast(Duration::ZERO)) / ratio(&usual);
        if now > LEAN_RATIO {
            Some(Lean::Prefill)
        } else if now < 1.0 / LEAN_RATIO {
            Some(Lean::Decode)
        } else {
            None
        }
    }

    fn inputs(&self, now: MonotonicTime, demand: Demand, current: Composition) -> PlanInputs {
        let ages = self.engines.values().map(|state| state.age(now));
        PlanInputs {
            demand,
            forecast: self.demand.forecast(self.config.change_duration),
            speeds: self.speeds.speeds(),
            current,
            target: current,
            expected_stay: self.stay.expected(now),
            information_age: ages.max().unwrap_or_default(),
        }
    }
}

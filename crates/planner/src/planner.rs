//! The role planner of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{EngineId, GroupDigest, GroupId, MonotonicTime, Role};

use crate::change_duration::OutageEstimate;
use crate::composition::{Composition, Workload};
use crate::config::PlannerConfig;
use crate::demand::{Demand, DemandEstimate};
use crate::engine_state::EngineState;
use crate::evaluation::Evaluation;
use crate::mix_duration::{Lean, StayEstimate};
use crate::plan::{PlanInputs, PlanReason, RolePlan};
use crate::speeds::SpeedEstimate;

/// Ratio between the present and the usual mix from which the mix counts as leaning.
const LEAN_RATIO: f64 = 1.15;

/// Engines held by one step of the preference for engines with little to drain.
const DRAIN_STEP: u32 = 16;

/// Time given to each group that has a better engine to change, to change it.
const TURN: Duration = Duration::from_secs(3);

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

/// An engine of this group that could change.
struct Step {
    engine: EngineId,
    role: Role,
    /// Groups that have an engine with less to drain.
    groups_before: u32,
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
        let changing = self.changing(now);
        if changing >= self.config.max_changes_at_once.max(1) {
            return PlanReason::ChangesInProgress { engines: changing };
        }
        let evaluation = Evaluation {
            config: &self.config,
            speeds: self.speeds.speeds(),
            demand: &self.demand,
            outage: &self.outage,
        };
        let stay = self.stay.expected(now);
        let Some(proposal) = evaluation.best_proposal(current, stay) else {
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
    fn changing(&self, now: MonotonicTime) -> usize {
        self.assigned
            .iter()
            .filter(|(engine, role)| {
                self.engines
                    .get(*engine)
                    .is_none_or(|state| state.role() != Some(**role) || state.may_be_draining(now))
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

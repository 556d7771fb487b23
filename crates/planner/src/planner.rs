//! The role planner of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{EngineId, GroupDigest, GroupId, MonotonicTime, Role};

use crate::change_duration::ChangeDurationEstimate;
use crate::composition::{Composition, Workload};
use crate::config::PlannerConfig;
use crate::demand::{Demand, DemandEstimate};
use crate::engine_state::EngineState;
use crate::evaluation::Evaluation;
use crate::mix_duration::{MixBias, MixDurationEstimate};
use crate::plan::{PlanInputs, PlanReason, RolePlan};
use crate::speeds::SpeedEstimate;

/// Ratio of the current to the recent mix from which the mix counts as biased.
const MIX_BIAS_RATIO: f64 = 1.15;

/// Requests per step when engines are ranked by how much they have to drain.
const DRAIN_RANK_REQUESTS: u32 = 16;

/// How long a group waits per group that has an engine with less to drain.
const GROUP_WAIT: Duration = Duration::from_secs(3);

/// Plans the roles of one group.
///
/// The planner may also observe digests of other groups of the pool whose engines can share requests
/// with this group. All observed engines are then planned together, but a plan contains only the
/// engines of this group. The group whose engine has the least to drain changes first; the others
/// wait.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    group: GroupId,
    config: PlannerConfig,
    engines: BTreeMap<EngineId, EngineState>,
    own_engines: BTreeSet<EngineId>,
    assigned: BTreeMap<EngineId, Role>,
    speeds: SpeedEstimate,
    demand: DemandEstimate,
    mix_duration: MixDurationEstimate,
    change_duration: ChangeDurationEstimate,
    /// Time since which a change has been worth its cost.
    beneficial_since: Option<MonotonicTime>,
}

/// A role change of an engine of this group.
struct ProposedChange {
    engine: EngineId,
    role: Role,
    /// Number of groups that have an engine with less to drain.
    groups_before: u32,
}

impl RolePlanner {
    /// A planner without any report so far.
    pub fn new(group: GroupId, config: PlannerConfig) -> Self {
        Self {
            group,
            speeds: SpeedEstimate::new(config.prior_speeds),
            engines: BTreeMap::new(),
            own_engines: BTreeSet::new(),
            assigned: BTreeMap::new(),
            demand: DemandEstimate::default(),
            mix_duration: MixDurationEstimate::new(),
            change_duration: ChangeDurationEstimate::new(config.change_duration),
            beneficial_since: None,
            config,
        }
    }

    /// Replaces the settings and keeps the learned estimates.
    pub fn set_config(&mut self, config: PlannerConfig) {
        self.config = config;
    }

    /// Applies a digest of this group or of another group that is planned with it.
    pub fn observe(&mut self, now: MonotonicTime, digest: &GroupDigest) {
        for report in &digest.engines {
            let engine = &report.load.engine;
            if digest.group == self.group {
                self.own_engines.insert(engine.clone());
            }
            let restarted = match self.engines.get_mut(engine) {
                Some(state) => {
                    let before = state.incarnation();
                    if let Some(sample) = state.update(now, report) {
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
            // A restarted engine is planned from the role it reports.
            if restarted {
                self.assigned.remove(engine);
                self.change_duration.forget(engine);
            }
            let Some(role) = report.load.role else {
                continue;
            };
            if self.own_engines.contains(engine) {
                if report.accepting {
                    self.change_duration.observe(now, engine, role);
                }
                self.assigned.entry(engine.clone()).or_insert(role);
            } else {
                // Engines of other groups get their roles from the planner of their group.
                self.assigned.insert(engine.clone(), role);
            }
        }
    }

    /// Plans the roles of the group's engines at `now`.
    pub fn plan(&mut self, now: MonotonicTime) -> RolePlan {
        self.drop_stale_engines(now);
        let measured = self.measured_demand();
        if self.demand.sample(now, measured) {
            let bias = self.mix_bias();
            self.mix_duration.observe(now, bias);
        }
        let current = Composition::of(self.assigned.values().copied());
        let mut inputs = self.inputs(now, measured, current);
        let reason = self.decide(now, current, &mut inputs);
        let roles = self.assigned.iter();
        let roles = roles
            .filter(|(engine, _)| self.own_engines.contains(*engine))
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
        let changing = self.changes_in_progress(now);
        if changing >= self.config.max_changes_at_once.max(1) {
            return PlanReason::ChangesInProgress { engines: changing };
        }
        let evaluation = Evaluation {
            config: &self.config,
            speeds: self.speeds.speeds(),
            demand: &self.demand,
            change_duration: &self.change_duration,
        };
        let mix_duration = self.mix_duration.remaining(now);
        let Some(proposal) = evaluation.best_proposal(current, mix_duration) else {
            self.beneficial_since = None;
            return PlanReason::Keep;
        };
        inputs.target = proposal.target;
        let change = match self.next_change(&current, &proposal.target) {
            Ok(change) => change,
            Err(reason) => return reason,
        };
        let beneficial_since = *self.beneficial_since.get_or_insert(now);
        if now.since(beneficial_since) < GROUP_WAIT * change.groups_before {
            return PlanReason::OtherGroupFirst;
        }
        self.beneficial_since = None;
        if let Some(from) = self.assigned.insert(change.engine.clone(), change.role) {
            self.change_duration
                .begin(now, &change.engine, from, change.role);
        }
        PlanReason::Gain {
            gain: proposal.gain,
            cost: proposal.cost,
        }
    }

    /// The next role change towards `target`, if it is this group's to make.
    fn next_change(
        &self,
        current: &Composition,
        target: &Composition,
    ) -> Result<ProposedChange, PlanReason> {
        let surplus = |role: Role| current.count(role) > target.count(role);
        let role = Role::ALL
            .into_iter()
            .filter(|role| current.count(*role) < target.count(*role))
            .max_by_key(|role| target.count(*role) - current.count(*role))
            .ok_or(PlanReason::Keep)?;
        let candidates = self.assigned.iter().filter(|(_, role)| surplus(**role));
        let mut candidates: Vec<&EngineId> = candidates
            .map(|(engine, _)| engine)
            .filter(|engine| self.may_change_to(engine, role))
            .collect();
        candidates.sort_by_key(|engine| (self.requests(engine) / DRAIN_RANK_REQUESTS, *engine));
        if candidates.is_empty() {
            return Err(PlanReason::WouldLeavePhaseEmpty);
        }
        let position = candidates
            .iter()
            .position(|engine| self.own_engines.contains(*engine))
            .ok_or(PlanReason::OtherGroupFirst)?;
        let before: BTreeSet<&GroupId> = candidates[..position]
            .iter()
            .filter_map(|engine| Some(self.engines.get(*engine)?.group()))
            .collect();
        Ok(ProposedChange {
            engine: candidates[position].clone(),
            role,
            groups_before: before.len() as u32,
        })
    }

    /// Whether an engine may change to role `to`.
    ///
    /// An engine may leave a phase only while an engine with a lower name serves that phase. The engine
    /// with the lowest name therefore never leaves, and groups that decide at the same time on
    /// outdated reports cannot leave a phase without an engine. Any engine may join a phase that no
    /// engine serves.
    fn may_change_to(&self, engine: &EngineId, to: Role) -> bool {
        let Some(from) = self.assigned.get(engine).copied() else {
            return false;
        };
        let has_lower = |phase: fn(Role) -> bool| {
            let lower = self.engines.range(..engine.clone());
            lower
                .filter(|(_, state)| state.accepting())
                .any(|(other, state)| {
                    let stays = self.assigned.get(other).copied() == state.role();
                    stays && state.role().is_some_and(phase)
                })
        };
        let phases: [fn(Role) -> bool; 2] = [Role::runs_prefill, Role::runs_decode];
        let joins_unserved = phases
            .iter()
            .any(|phase| phase(to) && !self.is_served(*phase));
        let keeps_served = phases
            .iter()
            .all(|phase| !phase(from) || phase(to) || has_lower(*phase));
        joins_unserved || keeps_served
    }

    /// Whether an engine in service runs `phase`.
    fn is_served(&self, phase: fn(Role) -> bool) -> bool {
        self.engines
            .values()
            .filter(|state| state.accepting())
            .any(|state| state.role().is_some_and(phase))
    }

    fn requests(&self, engine: &EngineId) -> u32 {
        self.engines.get(engine).map_or(0, EngineState::requests)
    }

    /// Number of engines that do not serve in their assigned role.
    fn changes_in_progress(&self, now: MonotonicTime) -> usize {
        self.assigned
            .iter()
            .filter(|(engine, role)| {
                self.engines
                    .get(*engine)
                    .is_none_or(|state| state.role() != Some(**role) || state.may_be_draining(now))
            })
            .count()
    }

    fn drop_stale_engines(&mut self, now: MonotonicTime) {
        let limit = self.config.max_report_age;
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

    /// Bias of the current mix against the mix of the last minutes.
    fn mix_bias(&self) -> Option<MixBias> {
        let speeds = self.speeds.speeds();
        let mut recent = Demand::default();
        for sample in self.demand.history() {
            recent.prefill_tokens_per_s += sample.prefill_tokens_per_s;
            recent.decode_tokens_per_s += sample.decode_tokens_per_s;
        }
        let ratio = |demand: &Demand| {
            let work = Workload::of(demand, &speeds);
            (work.prefill + f64::EPSILON) / (work.decode + f64::EPSILON)
        };
        let bias = ratio(&self.demand.forecast(Duration::ZERO)) / ratio(&recent);
        if bias > MIX_BIAS_RATIO {
            Some(MixBias::Prefill)
        } else if bias < 1.0 / MIX_BIAS_RATIO {
            Some(MixBias::Decode)
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
            expected_mix_duration: self.mix_duration.remaining(now),
            information_age: ages.max().unwrap_or_default(),
        }
    }
}

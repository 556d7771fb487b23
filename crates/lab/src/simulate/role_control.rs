//! Role assignment of each policy: the product's planners or a utilization threshold.

use std::time::Duration;

use dalestand_planner::{Composition, PlannerConfig, RolePlanner};
use dalestand_types::{EngineDigest, GroupDigest, MonotonicTime, Role};

use super::fleet::Fleet;
use super::policy::{Policy, RoleAssignment};
use super::scenario::Scenario;

/// Expected drain time of an engine before a role change.
const EXPECTED_DRAIN_TIME: Duration = Duration::from_secs(4);

/// Mean utilization above which the threshold policy adds an engine to a role.
const BUSY_UTILIZATION: f64 = 0.8;

/// Mean utilization below which it removes an engine from the other role.
const IDLE_UTILIZATION: f64 = 0.6;

/// Minimum time between two role changes in a pool by the threshold policy.
const THRESHOLD_COOLDOWN: Duration = Duration::from_secs(10);

/// Prefill queue, in seconds of work, that the threshold policy counts as full utilization.
const FULL_QUEUE_S: f64 = 1.0;

/// An order for an engine to change its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoleOrder {
    pub(crate) engine: usize,
    pub(crate) role: Role,
}

/// Assigns roles under one policy.
pub(crate) struct RoleControl {
    policy: Policy,
    planners: Vec<Option<RolePlanner>>,
    thresholds: Vec<ThresholdPolicy>,
    plan_whole_pool: bool,
}

/// State of the threshold policy for one pool.
#[derive(Clone, Debug)]
struct ThresholdPolicy {
    changed_at: MonotonicTime,
    loads: Vec<(usize, EngineDigest)>,
    prefill_token_s: f64,
    max_running: f64,
}

impl RoleControl {
    /// Creates the role control for `policy`.
    pub(crate) fn new(policy: Policy, fleet: &Fleet, scenario: &Scenario) -> Self {
        let planners = fleet.groups.iter().map(|group| {
            let pool = &scenario.pools[group.pool];
            if policy.roles != RoleAssignment::Dalestand || pool.roles.len() < 2 {
                return None;
            }
            let change = Duration::from_millis(scenario.engine.role_change_ms);
            let config = PlannerConfig {
                change_weight: scenario.roles.change_weight,
                max_changes_at_once: scenario.roles.max_changes_at_once,
                allowed_roles: pool.roles.clone(),
                change_duration: change + EXPECTED_DRAIN_TIME,
                ..PlannerConfig::default()
            };
            Some(RolePlanner::new(group.id.clone(), config))
        });
        let thresholds = scenario.pools.iter().map(|_| ThresholdPolicy {
            changed_at: MonotonicTime::ZERO,
            loads: Vec::new(),
            prefill_token_s: scenario.engine.prefill_token_us / 1e6,
            max_running: f64::from(scenario.engine.max_running),
        });
        Self {
            policy,
            planners: planners.collect(),
            thresholds: thresholds.collect(),
            plan_whole_pool: scenario.roles.plan_whole_pool,
        }
    }

    /// Initial roles by engine index.
    pub(crate) fn initial_roles(&self, fleet: &Fleet, scenario: &Scenario) -> Vec<Role> {
        let mut roles = vec![Role::Mixed; fleet.engines.len()];
        for (pool_index, pool) in scenario.pools.iter().enumerate() {
            if pool.roles.len() < 2 {
                continue;
            }
            let engines = pool.engines.values().sum::<usize>();
            let half = Composition {
                prefill: engines / 2,
                decode: engines - engines / 2,
                mixed: 0,
            };
            let split = match self.policy.roles {
                RoleAssignment::Mixed => continue,
                RoleAssignment::Dalestand if pool.roles.contains(&Role::Mixed) => continue,
                RoleAssignment::Fixed(split) => split,
                RoleAssignment::Threshold | RoleAssignment::Dalestand => half,
            };
            for (engine, role) in fleet.assign_roles(pool_index, split) {
                roles[engine] = role;
            }
        }
        roles
    }

    /// Groups whose planner receives the digests of `group`.
    pub(crate) fn digest_receivers(&self, fleet: &Fleet, group: usize) -> Vec<usize> {
        let pool = fleet.groups[group].pool;
        let groups = 0..fleet.groups.len();
        groups
            .filter(|other| {
                let is_planned_together = self.plan_whole_pool && fleet.groups[*other].pool == pool;
                self.planners[*other].is_some() && (*other == group || is_planned_together)
            })
            .collect()
    }

    /// Passes a digest to the planner of the group `holder`.
    pub(crate) fn observe(&mut self, now: MonotonicTime, holder: usize, digest: &GroupDigest) {
        if let Some(planner) = &mut self.planners[holder] {
            planner.observe(now, digest);
        }
    }

    /// Passes a digest to the threshold policy, which receives it without delay.
    pub(crate) fn observe_for_threshold(
        &mut self,
        fleet: &Fleet,
        group: usize,
        digest: &GroupDigest,
    ) {
        if self.policy.roles != RoleAssignment::Threshold {
            return;
        }
        let info = &fleet.groups[group];
        let threshold = &mut self.thresholds[info.pool];
        for (engine, report) in info.engines.iter().zip(&digest.engines) {
            threshold.loads.retain(|(known, _)| known != engine);
            threshold.loads.push((*engine, report.clone()));
        }
    }

    /// Role orders of the group's planner.
    pub(crate) fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &Fleet,
        group: usize,
    ) -> Vec<RoleOrder> {
        let Some(planner) = &mut self.planners[group] else {
            return Vec::new();
        };
        let plan = planner.plan(now);
        let roles = plan.roles.iter();
        roles
            .filter_map(|(id, role)| {
                let engine = fleet.engine_index(id)?;
                Some(RoleOrder {
                    engine,
                    role: *role,
                })
            })
            .collect()
    }

    /// Role order of the threshold policy, if any.
    pub(crate) fn threshold_change(
        &mut self,
        now: MonotonicTime,
        pool: usize,
    ) -> Option<RoleOrder> {
        if self.policy.roles != RoleAssignment::Threshold {
            return None;
        }
        self.thresholds[pool].change(now)
    }
}

impl ThresholdPolicy {
    fn change(&mut self, now: MonotonicTime) -> Option<RoleOrder> {
        if now.since(self.changed_at) < THRESHOLD_COOLDOWN {
            return None;
        }
        let (prefill_engines, prefill) = self.engines_in_role(Role::Prefill);
        let (decode_engines, decode) = self.engines_in_role(Role::Decode);
        let (candidates, role) = if prefill > BUSY_UTILIZATION
            && decode < IDLE_UTILIZATION
            && decode_engines.len() > 1
        {
            (decode_engines, Role::Prefill)
        } else if decode > BUSY_UTILIZATION
            && prefill < IDLE_UTILIZATION
            && prefill_engines.len() > 1
        {
            (prefill_engines, Role::Decode)
        } else {
            return None;
        };
        self.changed_at = now;
        let engine = candidates.into_iter().min()?;
        Some(RoleOrder { engine, role })
    }

    /// Engines that accept requests in `role`, and their mean utilization.
    fn engines_in_role(&self, role: Role) -> (Vec<usize>, f64) {
        let serving = self
            .loads
            .iter()
            .filter(|(_, report)| report.accepting && report.load.role == Some(role));
        let engines: Vec<usize> = serving.clone().map(|(engine, _)| *engine).collect();
        let used: f64 = serving
            .map(|(_, report)| {
                let load = &report.load;
                if role == Role::Prefill {
                    let queue_s = load.queued_prefill_tokens as f64 * self.prefill_token_s;
                    (queue_s / FULL_QUEUE_S).min(1.0)
                } else {
                    (f64::from(load.running + load.waiting) / self.max_running).min(1.0)
                }
            })
            .sum();
        let mean = used / engines.len().max(1) as f64;
        (engines, mean)
    }
}

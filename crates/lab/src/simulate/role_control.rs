//! How each policy gives roles: the planners of the groups, or a utilization threshold.

use std::time::Duration;

use dalestand_planner::{Composition, PlannerConfig, RolePlanner};
use dalestand_types::{EngineDigest, GroupDigest, MonotonicTime, Role};

use super::fleet::Fleet;
use super::policy::{Policy, Roles};
use super::scenario::Scenario;

/// Drain expected of an engine before a change.
const EXPECTED_DRAIN: Duration = Duration::from_secs(4);

/// Utilization from which the threshold policy helps a side.
const BUSY: f64 = 0.8;

/// Utilization up to which it takes an engine from the other side.
const IDLE: f64 = 0.6;

/// Shortest time between two changes of a pool by the threshold policy.
const THRESHOLD_PAUSE: Duration = Duration::from_secs(10);

/// Queue of prompt tokens at which the threshold policy counts an engine as busy, in seconds.
const BUSY_QUEUE_S: f64 = 1.0;

/// An engine that is to change its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoleOrder {
    pub(crate) engine: usize,
    pub(crate) role: Role,
}

/// Gives roles under one policy.
pub(crate) struct RoleControl {
    policy: Policy,
    planners: Vec<Option<RolePlanner>>,
    thresholds: Vec<Threshold>,
    plan_whole_pool: bool,
}

/// State of the threshold policy for one pool.
#[derive(Clone, Debug)]
struct Threshold {
    changed_at: MonotonicTime,
    loads: Vec<(usize, EngineDigest)>,
    prefill_token_s: f64,
    batch: f64,
}

impl RoleControl {
    /// Control under `policy`.
    pub(crate) fn new(policy: Policy, fleet: &Fleet, scenario: &Scenario) -> Self {
        let planners = fleet.groups.iter().map(|group| {
            let pool = &scenario.pools[group.pool];
            if policy.roles != Roles::Dalestand || pool.roles.len() < 2 {
                return None;
            }
            let change = Duration::from_millis(scenario.engine.role_change_ms);
            let config = PlannerConfig {
                change_weight: scenario.roles.change_weight,
                max_changes_at_once: scenario.roles.max_changes_at_once,
                allowed_roles: pool.roles.clone(),
                change_duration: change + EXPECTED_DRAIN,
                ..PlannerConfig::default()
            };
            Some(RolePlanner::new(group.id.clone(), config))
        });
        let thresholds = scenario.pools.iter().map(|_| Threshold {
            changed_at: MonotonicTime::ZERO,
            loads: Vec::new(),
            prefill_token_s: scenario.engine.prefill_token_us / 1e6,
            batch: f64::from(scenario.engine.max_running),
        });
        Self {
            policy,
            planners: planners.collect(),
            thresholds: thresholds.collect(),
            plan_whole_pool: scenario.roles.plan_whole_pool,
        }
    }

    /// Roles at the start.
    pub(crate) fn initial_roles(&self, fleet: &Fleet, scenario: &Scenario) -> Vec<Role> {
        let mut roles = vec![Role::Mixed; fleet.engines.len()];
        for (number, pool) in scenario.pools.iter().enumerate() {
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
                Roles::Mixed => continue,
                Roles::Dalestand if pool.roles.contains(&Role::Mixed) => continue,
                Roles::Fixed(split) => split,
                Roles::Threshold | Roles::Dalestand => half,
            };
            for (engine, role) in fleet.split(number, split) {
                roles[engine] = role;
            }
        }
        roles
    }

    /// Groups whose planner wants the digests of `group`.
    pub(crate) fn listeners(&self, fleet: &Fleet, group: usize) -> Vec<usize> {
        let pool = fleet.groups[group].pool;
        let groups = 0..fleet.groups.len();
        groups
            .filter(|other| {
                let together = self.plan_whole_pool && fleet.groups[*other].pool == pool;
                self.planners[*other].is_some() && (*other == group || together)
            })
            .collect()
    }

    /// A digest comes to the holder of a group's lease.
    pub(crate) fn observe(&mut self, now: MonotonicTime, holder: usize, digest: &GroupDigest) {
        if let Some(planner) = &mut self.planners[holder] {
            planner.observe(now, digest);
        }
    }

    /// The threshold policy sees every digest at once.
    pub(crate) fn observe_for_threshold(
        &mut self,
        fleet: &Fleet,
        group: usize,
        digest: &GroupDigest,
    ) {
        if self.policy.roles != Roles::Threshold {
            return;
        }
        let info = &fleet.groups[group];
        let threshold = &mut self.thresholds[info.pool];
        for (engine, report) in info.engines.iter().zip(&digest.engines) {
            threshold.loads.retain(|(known, _)| known != engine);
            threshold.loads.push((*engine, report.clone()));
        }
    }

    /// Changes that the group's planner orders.
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
                let engine = fleet.engine(id)?;
                Some(RoleOrder {
                    engine,
                    role: *role,
                })
            })
            .collect()
    }

    /// A change that the threshold policy orders.
    pub(crate) fn threshold_change(
        &mut self,
        now: MonotonicTime,
        pool: usize,
    ) -> Option<RoleOrder> {
        if self.policy.roles != Roles::Threshold {
            return None;
        }
        self.thresholds[pool].change(now)
    }
}

impl Threshold {
    fn change(&mut self, now: MonotonicTime) -> Option<RoleOrder> {
        if now.since(self.changed_at) < THRESHOLD_PAUSE {
            return None;
        }
        let (prefill_engines, prefill) = self.side(Role::Prefill);
        let (decode_engines, decode) = self.side(Role::Decode);
        let (from, role) = if prefill > BUSY && decode < IDLE && decode_engines.len() > 1 {
            (decode_engines, Role::Prefill)
        } else if decode > BUSY && prefill < IDLE && prefill_engines.len() > 1 {
            (prefill_engines, Role::Decode)
        } else {
            return None;
        };
        self.changed_at = now;
        let engine = from.into_iter().min()?;
        Some(RoleOrder { engine, role })
    }

    /// The engines of a side that serve, and their mean utilization.
    fn side(&self, role: Role) -> (Vec<usize>, f64) {
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
                    (queue_s / BUSY_QUEUE_S).min(1.0)
                } else {
                    (f64::from(load.running + load.waiting) / self.batch).min(1.0)
                }
            })
            .sum();
        let mean = used / engines.len().max(1) as f64;
        (engines, mean)
    }
}

//! Plans roles for the groups whose leases this node holds.
//!
//! The groups of a pool are planned together where their engines can share requests, so each lease
//! holder also gives its planner the digests of the pool's other groups. From the same digests, all
//! holders compute the same number of engines per role; each plan assigns roles only to the engines
//! of its own group.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_config::{Deployment, Group, Pool};
use dalestand_planner::{PlannerConfig, RolePlan, RolePlanner};
use dalestand_types::{EngineId, GroupDigest, GroupId, MonotonicTime, PoolName, Role};

/// Time between two plans of a group.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

struct GroupPlanner {
    pool: PoolName,
    planner: RolePlanner,
    planned_at: Option<MonotonicTime>,
    /// The last plan that changed the roles.
    last_plan: Option<RolePlan>,
}

/// Planners of the groups whose leases this node holds.
#[derive(Default)]
pub(crate) struct RolePlanning {
    groups: BTreeMap<GroupId, GroupPlanner>,
}

impl RolePlanning {
    /// Keeps planners only for the groups in `held`, and creates missing ones. A node that
    /// reacquires a lease starts with a new planner, since the observations of the old one are
    /// outdated.
    pub(crate) fn retain_held(&mut self, deployment: &Deployment, held: &[GroupId]) {
        self.groups.retain(|group, _| held.contains(group));
        for group in &deployment.groups {
            let id = group.id();
            if !held.contains(&id) || self.groups.contains_key(&id) {
                continue;
            }
            let Some(config) = planner_config(deployment, group) else {
                continue;
            };
            let group_planner = GroupPlanner {
                pool: group.pool.clone(),
                planner: RolePlanner::new(id.clone(), config),
                planned_at: None,
                last_plan: None,
            };
            self.groups.insert(id, group_planner);
        }
    }

    /// Applies a new configuration to the planners.
    pub(crate) fn configure(&mut self, deployment: &Deployment) {
        for group in &deployment.groups {
            let config = planner_config(deployment, group);
            match (self.groups.get_mut(&group.id()), config) {
                (Some(group), Some(config)) => group.planner.set_config(config),
                (Some(_), None) => drop(self.groups.remove(&group.id())),
                (None, _) => {}
            }
        }
    }

    /// Whether any planned group belongs to `pool`.
    pub(crate) fn plans_pool(&self, pool: &PoolName) -> bool {
        self.groups.values().any(|group| group.pool == *pool)
    }

    /// Gives a digest of a group of `pool` to the planners of that pool.
    pub(crate) fn observe(&mut self, now: MonotonicTime, pool: &PoolName, digest: &GroupDigest) {
        for group in self.groups.values_mut() {
            if group.pool == *pool {
                group.planner.observe(now, digest);
            }
        }
    }

    /// Runs the planners that are due; returns the groups whose roles changed.
    pub(crate) fn plan_due(&mut self, now: MonotonicTime) -> Vec<GroupId> {
        let mut changed = Vec::new();
        for (id, group) in &mut self.groups {
            let due = group
                .planned_at
                .is_none_or(|at| now.since(at) >= PLAN_INTERVAL);
            if !due {
                continue;
            }
            group.planned_at = Some(now);
            let next = group.planner.plan(now);
            let unchanged = group
                .last_plan
                .as_ref()
                .is_some_and(|last| last.roles == next.roles);
            if !unchanged {
                group.last_plan = Some(next);
                changed.push(id.clone());
            }
        }
        changed
    }

    /// The last plan that changed a group's roles.
    pub(crate) fn last_plan(&self, group: &GroupId) -> Option<&RolePlan> {
        self.groups.get(group)?.last_plan.as_ref()
    }

    /// Planned roles of a group's engines; an engine without any report is absent.
    pub(crate) fn roles(&self, group: &GroupId) -> BTreeMap<EngineId, Role> {
        self.last_plan(group)
            .map(|plan| plan.roles.clone())
            .unwrap_or_default()
    }
}

/// Configuration of a group's planner; `None` if all its roles are fixed.
fn planner_config(deployment: &Deployment, group: &Group) -> Option<PlannerConfig> {
    let pool: &Pool = deployment.pool(&group.pool)?;
    let is_fixed = |engine: &EngineId| group.fixed_roles.contains_key(engine);
    if group.engines.iter().all(is_fixed) {
        return None;
    }
    Some(PlannerConfig {
        change_weight: deployment.roles.change_weight,
        max_changes_at_once: deployment.roles.max_changes_at_once as usize,
        allowed_roles: pool.roles.clone(),
        initial_role: pool.initial_role,
        ..PlannerConfig::default()
    })
}

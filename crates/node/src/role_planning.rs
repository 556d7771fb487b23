//! Role plans of the groups whose leases this node holds.
//!
//! A pool's groups are planned as one where their engines can share requests: each holder gives
//! its planner the digests of the pool's other groups too. The planner's rule leads all holders to
//! the same composition, and each plan names the holder's own engines only.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_config::{Deployment, Group, Pool};
use dalestand_planner::{PlannerConfig, RolePlan, RolePlanner};
use dalestand_types::{EngineId, GroupDigest, GroupId, MonotonicTime, PoolName, Role};

/// Time between two plans of a group.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

struct GroupPlan {
    pool: PoolName,
    planner: RolePlanner,
    planned_at: Option<MonotonicTime>,
    last: Option<RolePlan>,
}

/// The planners of the groups that this node controls.
#[derive(Default)]
pub(crate) struct RolePlanning {
    groups: BTreeMap<GroupId, GroupPlan>,
}

impl RolePlanning {
    /// Keeps planners for the held groups only. A holder that was replaced and comes back starts
    /// afresh: what it had learnt is old.
    pub(crate) fn keep(&mut self, deployment: &Deployment, held: &[GroupId]) {
        self.groups.retain(|group, _| held.contains(group));
        for group in &deployment.groups {
            let id = group.id();
            if !held.contains(&id) || self.groups.contains_key(&id) {
                continue;
            }
            let Some(config) = planner_config(deployment, group) else {
                continue;
            };
            let plan = GroupPlan {
                pool: group.pool.clone(),
                planner: RolePlanner::new(id.clone(), config),
                planned_at: None,
                last: None,
            };
            self.groups.insert(id, plan);
        }
    }

    /// Takes a new configuration in.
    pub(crate) fn configure(&mut self, deployment: &Deployment) {
        for group in &deployment.groups {
            let config = planner_config(deployment, group);
            match (self.groups.get_mut(&group.id()), config) {
                (Some(plan), Some(config)) => plan.planner.set_config(config),
                (Some(_), None) => drop(self.groups.remove(&group.id())),
                (None, _) => {}
            }
        }
    }

    /// Whether a digest of that pool is of use here.
    pub(crate) fn wants(&self, pool: &PoolName) -> bool {
        self.groups.values().any(|plan| plan.pool == *pool)
    }

    /// Takes in a digest of a group of `pool`.
    pub(crate) fn observe(&mut self, now: MonotonicTime, pool: &PoolName, digest: &GroupDigest) {
        for plan in self.groups.values_mut() {
            if plan.pool == *pool {
                plan.planner.observe(now, digest);
            }
        }
    }

    /// Plans what is due; yields the groups whose roles changed.
    pub(crate) fn plan_due(&mut self, now: MonotonicTime) -> Vec<GroupId> {
        let mut changed = Vec::new();
        for (group, plan) in &mut self.groups {
            let due = plan
                .planned_at
                .is_none_or(|at| now.since(at) >= PLAN_INTERVAL);
            if !due {
                continue;
            }
            plan.planned_at = Some(now);
            let next = plan.planner.plan(now);
            let same = plan
                .last
                .as_ref()
                .is_some_and(|last| last.roles == next.roles);
            if !same {
                plan.last = Some(next);
                changed.push(group.clone());
            }
        }
        changed
    }

    /// The last plan that changed a group's roles.
    pub(crate) fn last(&self, group: &GroupId) -> Option<&RolePlan> {
        self.groups.get(group)?.last.as_ref()
    }

    /// Roles planned for a group's engines; an engine that was never heard of is absent.
    pub(crate) fn roles(&self, group: &GroupId) -> BTreeMap<EngineId, Role> {
        self.last(group)
            .map(|plan| plan.roles.clone())
            .unwrap_or_default()
    }
}

/// Settings of a group's planner; `None` if every role of the group is fixed.
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

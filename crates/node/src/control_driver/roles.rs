//! Applies role plans to the controllers and records the resulting role orders.

use dalestand_decision::RoleRecord;
use dalestand_types::{EngineId, GroupId, MonotonicTime, Order, OrderCommand, Role};

use super::{ControlDriver, State};
use crate::desired::desired_engines;

impl ControlDriver {
    /// Runs the planners that are due and updates the desired roles of changed groups.
    pub(super) fn plan_roles(&self, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(active) = state.configuration.clone() else {
            return;
        };
        let held: Vec<GroupId> = state
            .controllers
            .values()
            .filter(|controller| controller.grant(now).is_some())
            .map(|controller| controller.group().clone())
            .collect();
        state.planning.retain_held(&active.deployment, &held);
        self.observe_other_groups(now, state);
        let changed = state.planning.plan_due(now);
        let max_changes = active.deployment.roles.max_changes_at_once as usize;
        for group in &active.deployment.groups {
            let id = group.id();
            if !changed.contains(&id) {
                continue;
            }
            let planned = state.planning.roles(&id);
            let desired = desired_engines(&active.deployment, group, &planned);
            if let Some(controller) = state.controllers.get_mut(&id) {
                controller.set_desired(now, active.revision, desired, max_changes);
            }
        }
    }

    /// Gives the planners new digests of groups in the same pools that other nodes control.
    fn observe_other_groups(&self, now: MonotonicTime, state: &mut State) {
        let Some(active) = state.configuration.clone() else {
            return;
        };
        let machines = self.machines.borrow();
        for group in &active.deployment.groups {
            let id = group.id();
            if !state.planning.plans_pool(&group.pool) || !state.digests.take_unobserved(&id) {
                continue;
            }
            let controller = state.controllers.get(&id);
            if controller.is_some_and(|controller| controller.grant(now).is_some()) {
                continue;
            }
            let digest = state
                .digests
                .group_digest(now, &active.deployment, group, &machines);
            if let Some(digest) = digest {
                state.planning.observe(now, &group.pool, &digest);
            }
        }
    }

    /// Records the decision behind a role order that an engine accepted.
    pub(super) fn record_role_decision(&self, group: &GroupId, engine: &EngineId, order: &Order) {
        let OrderCommand::AssumeRole { role } = &order.command else {
            return;
        };
        let state = self.state.borrow();
        let from = self.known_role(engine);
        let plan = state.planning.last_plan(group);
        let planned = plan.filter(|plan| plan.roles.get(engine) == Some(role));
        let reason = planned.map_or_else(
            || "the configuration says so".to_owned(),
            |plan| format!("{}; {}", plan.reason, plan.inputs),
        );
        let age = planned.map(|plan| plan.inputs.information_age);
        self.shared.decisions().put_role(RoleRecord {
            engine: engine.clone(),
            group: group.clone(),
            order: order.id,
            unix_ms: self.shared.clock.unix_ms(),
            epoch: order.id.epoch,
            revision: order.revision,
            from,
            to: *role,
            information_age_ms: age.unwrap_or_default().as_millis() as u64,
            reason,
        });
    }

    fn known_role(&self, engine: &EngineId) -> Option<Role> {
        let fleet = self.shared.fleet.load();
        let view = fleet.engines.iter().find(|view| view.engine == *engine)?;
        view.role
    }
}

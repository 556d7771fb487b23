//! Settings of the role planner.

use std::time::Duration;

use dalestand_types::Role;

use crate::speeds::EngineSpeeds;

/// Settings of the role planner of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Weight of role changes against goodput: 0 counts only goodput, 1 only role changes.
    pub change_weight: f64,
    /// Most engines out of service for a role change at once.
    pub max_changes_at_once: usize,
    /// Roles the planner may give.
    pub allowed_roles: Vec<Role>,
    /// Role of an engine before its first plan.
    pub initial_role: Role,
    /// Expected time an engine takes no work for a change: the drain and the change itself.
    pub change_duration: Duration,
    /// An engine whose last report is older than this is left out of the plan.
    pub report_limit: Duration,
    /// Speeds assumed until they are learnt from the reports.
    pub prior_speeds: EngineSpeeds,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            change_weight: 0.3,
            max_changes_at_once: 1,
            allowed_roles: Role::ALL.to_vec(),
            initial_role: Role::Mixed,
            change_duration: Duration::from_secs(8),
            report_limit: Duration::from_secs(10),
            prior_speeds: EngineSpeeds::default(),
        }
    }
}

//! Role planner settings.

use std::time::Duration;

use dalestand_types::Role;

use crate::speeds::EngineSpeeds;

/// Settings of the role planner of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Weight of avoiding role changes against goodput: 0 considers only goodput, 1 only changes.
    pub change_weight: f64,
    /// Maximum number of engines out of service for a role change at the same time.
    pub max_changes_at_once: usize,
    /// Roles the planner may assign.
    pub allowed_roles: Vec<Role>,
    /// Role of an engine before the first plan.
    pub initial_role: Role,
    /// Initial estimate of the time an engine is out of service for a role change, drain included.
    pub change_duration: Duration,
    /// Maximum age of an engine's last report; engines with older reports are not planned.
    pub max_report_age: Duration,
    /// Engine speeds assumed until they are learned from reports.
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
            max_report_age: Duration::from_secs(10),
            prior_speeds: EngineSpeeds::default(),
        }
    }
}

//! Role plan of an engine group: demand estimate, hysteresis, cost of a change.
//!
//! Pure: the holder of the group's lease and the simulator call the same code.

use std::collections::BTreeMap;

use dalestand_types::{EngineId, Role};

/// The role each engine of a group is to have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolePlan {
    /// Roles by engine.
    pub roles: BTreeMap<EngineId, Role>,
    /// Why the plan differs from the one before, in words.
    pub reason: String,
}

impl RolePlan {
    /// A plan that gives every engine the same role.
    pub fn uniform(engines: &[EngineId], role: Role) -> Self {
        let roles = engines
            .iter()
            .map(|engine| (engine.clone(), role))
            .collect();
        Self {
            roles,
            reason: format!("initial role {role}"),
        }
    }
}

//! What the configuration in force makes of a group's engines.

use std::collections::BTreeMap;

use dalestand_config::{Deployment, Group, Model};
use dalestand_control::{DesiredEngine, DesiredModel};
use dalestand_types::EngineId;

/// What each engine of a group is to be.
pub(crate) fn desired_engines(
    deployment: &Deployment,
    group: &Group,
) -> BTreeMap<EngineId, DesiredEngine> {
    let Some(pool) = deployment.pool(&group.pool) else {
        return BTreeMap::new();
    };
    let models = pool.models.iter().filter_map(|name| deployment.model(name));
    let models: Vec<DesiredModel> = models.map(desired_model).collect();
    let desired = |engine: &EngineId| DesiredEngine {
        role: *group.fixed_roles.get(engine).unwrap_or(&pool.initial_role),
        models: models.clone(),
    };
    let engines = group.engines.iter();
    engines
        .map(|engine| (engine.clone(), desired(engine)))
        .collect()
}

fn desired_model(model: &Model) -> DesiredModel {
    let adapters = model.adapters.iter();
    DesiredModel {
        model: model.name.clone(),
        version: model.version.clone(),
        adapters: adapters
            .map(|adapter| (adapter.name.clone(), adapter.version.clone()))
            .collect(),
    }
}

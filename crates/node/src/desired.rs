//! Derives the desired state of a group's engines from the active configuration.

use std::collections::BTreeMap;

use dalestand_config::{Deployment, Group, Model};
use dalestand_control::{DesiredEngine, DesiredModel};
use dalestand_types::{EngineId, Role};

/// Desired state of each engine of a group. Its role is the fixed one, else the planned one, else
/// the initial role of the pool.
pub(crate) fn desired_engines(
    deployment: &Deployment,
    group: &Group,
    planned: &BTreeMap<EngineId, Role>,
) -> BTreeMap<EngineId, DesiredEngine> {
    let Some(pool) = deployment.pool(&group.pool) else {
        return BTreeMap::new();
    };
    let models = pool.models.iter().filter_map(|name| deployment.model(name));
    let models: Vec<DesiredModel> = models.map(desired_model).collect();
    let role = |engine: &EngineId| {
        let given = group.fixed_roles.get(engine).or(planned.get(engine));
        *given.unwrap_or(&pool.initial_role)
    };
    let desired = |engine: &EngineId| DesiredEngine {
        role: role(engine),
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

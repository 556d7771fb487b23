//! Desired state of an engine, and the next order towards it.

use dalestand_types::{
    AdapterName, EngineOrders, LoadedModel, ModelName, OrderCommand, Role, Version,
};

/// A model that an engine should serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: Version,
    /// Adapters with their versions.
    pub adapters: Vec<(AdapterName, Version)>,
}

/// Desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Role to serve in.
    pub role: Role,
    /// Models to serve.
    pub models: Vec<DesiredModel>,
}

/// The next command towards the desired state; `None` if the engine is in that state.
pub(crate) fn next_command(state: &EngineOrders, desired: &DesiredEngine) -> Option<OrderCommand> {
    let load = desired
        .models
        .iter()
        .find_map(|wanted| load_command(state, wanted));
    if load.is_some() {
        return load;
    }
    let unwanted = state.models.iter().find(|loaded| {
        let mut wanted = desired.models.iter();
        wanted.all(|wanted| wanted.model != loaded.model)
    });
    if let Some(loaded) = unwanted {
        let model = loaded.model.clone();
        return Some(OrderCommand::UnloadModel { model });
    }
    (state.role != Some(desired.role)).then_some(OrderCommand::AssumeRole { role: desired.role })
}

fn load_command(state: &EngineOrders, wanted: &DesiredModel) -> Option<OrderCommand> {
    let loaded = state
        .models
        .iter()
        .find(|loaded| loaded.model == wanted.model);
    match loaded {
        Some(loaded) if loaded.version == wanted.version => load_adapter_command(loaded, wanted),
        _ => Some(OrderCommand::LoadModel {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
        }),
    }
}

fn load_adapter_command(loaded: &LoadedModel, wanted: &DesiredModel) -> Option<OrderCommand> {
    let (adapter, version) = wanted
        .adapters
        .iter()
        .find(|(name, _)| !loaded.adapters.contains(name))?;
    Some(OrderCommand::LoadAdapter {
        model: wanted.model.clone(),
        adapter: adapter.clone(),
        version: version.clone(),
    })
}

//! What an engine is to be, and the next order towards it.

use dalestand_types::{
    AdapterName, EngineOrders, LoadedModel, ModelName, OrderCommand, Role, Version,
};

/// A model an engine is to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: Version,
    /// Its adapters with their versions.
    pub adapters: Vec<(AdapterName, Version)>,
}

/// What an engine is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Role to serve in.
    pub role: Role,
    /// Models to serve.
    pub models: Vec<DesiredModel>,
}

/// The next order that brings an engine closer to what is desired.
pub(crate) fn next_command(state: &EngineOrders, desired: &DesiredEngine) -> Option<OrderCommand> {
    let missing = desired
        .models
        .iter()
        .find_map(|wanted| missing_part(state, wanted));
    if missing.is_some() {
        return missing;
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

fn missing_part(state: &EngineOrders, wanted: &DesiredModel) -> Option<OrderCommand> {
    let loaded = state
        .models
        .iter()
        .find(|loaded| loaded.model == wanted.model);
    match loaded {
        Some(loaded) if loaded.version == wanted.version => missing_adapter(loaded, wanted),
        _ => Some(OrderCommand::LoadModel {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
        }),
    }
}

fn missing_adapter(loaded: &LoadedModel, wanted: &DesiredModel) -> Option<OrderCommand> {
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

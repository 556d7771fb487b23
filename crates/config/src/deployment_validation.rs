//! Validates a deployment file: value ranges, references and consistency.

use std::collections::{BTreeMap, BTreeSet};

use crate::deployment::{Deployment, FORMAT, Group, MAX_GROUP_ENGINES, Model, Pool, Tenant};
use crate::fault::FaultCollector;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;

/// Hexadecimal digits of a BLAKE3 hash.
const HASH_DIGITS: usize = 64;

/// Upper bound of `roles.max_changes_at_once`.
const MAX_CHANGES_AT_ONCE: u32 = MAX_GROUP_ENGINES as u32;

/// Adds every fault of `deployment` to `faults`.
pub(crate) fn validate_deployment(deployment: &Deployment, faults: &mut FaultCollector) {
    validate_format_and_roles(deployment, faults);
    validate_limits(deployment, faults);
    validate_names(deployment, faults);
    validate_models(&deployment.models, faults);
    validate_pools(deployment, faults);
    validate_groups(deployment, faults);
    validate_classes(deployment, faults);
    validate_tenants(deployment, faults);
}

fn validate_format_and_roles(deployment: &Deployment, faults: &mut FaultCollector) {
    if deployment.format != FORMAT {
        let message = format!("format {} is not known; use {FORMAT}", deployment.format);
        faults.add("format", message);
    }
    if !(0.0..=1.0).contains(&deployment.roles.change_weight) {
        faults.add("roles.change_weight", "must lie between 0.0 and 1.0");
    }
    if !(1..=MAX_CHANGES_AT_ONCE).contains(&deployment.roles.max_changes_at_once) {
        let message = format!("must lie between 1 and {MAX_CHANGES_AT_ONCE}");
        faults.add("roles.max_changes_at_once", message);
    }
}

fn validate_limits(deployment: &Deployment, faults: &mut FaultCollector) {
    let limits = &deployment.limits;
    if limits.max_body_bytes == 0 {
        faults.add("limits.max_body_bytes", "must be above 0");
    }
    if limits.default_output_tokens == 0 {
        faults.add("limits.default_output_tokens", "must be above 0");
    }
    if limits.max_output_tokens < limits.default_output_tokens {
        let message = format!(
            "must be at least default_output_tokens, {}",
            limits.default_output_tokens
        );
        faults.add("limits.max_output_tokens", message);
    }
}

fn validate_fixed_roles(
    deployment: &Deployment,
    group: &Group,
    path: &str,
    faults: &mut FaultCollector,
) {
    let path = format!("{path}.fixed_roles");
    let allowed = deployment.pool(&group.pool).map(|pool| &pool.roles);
    for (engine, role) in &group.fixed_roles {
        if !group.engines.contains(engine) {
            let message = format!("engine {engine} is not among the group's engines");
            faults.add(path.clone(), message);
        }
        if allowed.is_some_and(|roles| !roles.contains(role)) {
            let message = format!("role {role} is not among the pool's roles");
            faults.add(path.clone(), message);
        }
    }
}

/// Checks the characters of all names and that names of the same kind are unique.
fn validate_names(deployment: &Deployment, faults: &mut FaultCollector) {
    let models = deployment.models.iter().map(|entry| entry.name.as_str());
    validate_unique_names("model", "name", models, faults);
    let pools = deployment.pools.iter().map(|entry| entry.name.as_str());
    validate_unique_names("pool", "name", pools, faults);
    let classes = deployment.classes.iter().map(|entry| entry.name.as_str());
    validate_unique_names("class", "name", classes, faults);
    let tenants = deployment.tenants.iter().map(|entry| entry.name.as_str());
    validate_unique_names("tenant", "name", tenants, faults);
    for (index, group) in deployment.groups.iter().enumerate() {
        validate_name(group.zone.as_str(), &format!("group[{index}].zone"), faults);
    }
}

fn validate_unique_names<'n>(
    kind: &str,
    key: &str,
    names: impl Iterator<Item = &'n str>,
    faults: &mut FaultCollector,
) {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, name) in names.enumerate() {
        let path = format!("{kind}[{index}].{key}");
        validate_name(name, &path, faults);
        if let Some(first) = seen.insert(name, index) {
            let message =
                format!("{name} is already the name of {kind}[{first}]; use another name");
            faults.add(path, message);
        }
    }
}

/// Rejects separators, since names are used in paths, keys and `MODEL:ADAPTER`.
fn validate_name(name: &str, path: &str, faults: &mut FaultCollector) {
    if name.is_empty() {
        // The reader has already reported the missing name.
        return;
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        let message =
            format!("{name:?} must have at most {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        faults.add(path, message);
    }
}

fn validate_models(models: &[Model], faults: &mut FaultCollector) {
    for (index, model) in models.iter().enumerate() {
        if !(model.weights_gib > 0.0 && model.weights_gib.is_finite()) {
            faults.add(format!("model[{index}].weights_gib"), "must be above 0");
        }
        let kind = format!("model[{index}].adapter");
        let names = model.adapters.iter().map(|adapter| adapter.name.as_str());
        validate_unique_names(&kind, "name", names, faults);
    }
}

fn validate_pools(deployment: &Deployment, faults: &mut FaultCollector) {
    let mut served: BTreeMap<&str, &str> = BTreeMap::new();
    for (index, pool) in deployment.pools.iter().enumerate() {
        let path = format!("pool[{index}]");
        validate_pool_roles(pool, &path, faults);
        if pool.models.is_empty() {
            faults.add(format!("{path}.models"), "must name at least one model");
        }
        for model in &pool.models {
            if deployment.model(model).is_none() {
                let message = format!("model {model} is not declared; add a [[model]] for it");
                faults.add(format!("{path}.models"), message);
            }
            if let Some(other) = served.insert(model.as_str(), pool.name.as_str()) {
                let message = format!("model {model} is served by pool {other} already");
                faults.add(format!("{path}.models"), message);
            }
        }
        if !deployment
            .groups
            .iter()
            .any(|group| group.pool == pool.name)
        {
            let message = format!("pool {} has no engines; add a [[group]] for it", pool.name);
            faults.add(path, message);
        }
    }
}

fn validate_pool_roles(pool: &Pool, path: &str, faults: &mut FaultCollector) {
    if !pool.roles.contains(&pool.initial_role) {
        let message = format!("initial_role {} is not among roles", pool.initial_role);
        faults.add(format!("{path}.initial_role"), message);
    }
    let prefill = pool.roles.iter().any(|role| role.runs_prefill());
    let decode = pool.roles.iter().any(|role| role.runs_decode());
    if !prefill || !decode {
        let message = "must cover prefill and decode, or include \"mixed\"";
        faults.add(format!("{path}.roles"), message);
    }
}

fn validate_groups(deployment: &Deployment, faults: &mut FaultCollector) {
    let mut groups = BTreeSet::new();
    let mut engines: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, group) in deployment.groups.iter().enumerate() {
        let path = format!("group[{index}]");
        if !group.pool.as_str().is_empty() && deployment.pool(&group.pool).is_none() {
            let message = format!("pool {} is not declared; add a [[pool]] for it", group.pool);
            faults.add(format!("{path}.pool"), message);
        }
        if !groups.insert(group.id()) {
            let message = format!(
                "pool {} has a group in zone {} already",
                group.pool, group.zone
            );
            faults.add(path.clone(), message);
        }
        validate_fixed_roles(deployment, group, &path, faults);
        let path = format!("{path}.engines");
        if !(1..=MAX_GROUP_ENGINES).contains(&group.engines.len()) {
            faults.add(
                path.clone(),
                format!("must name 1 to {MAX_GROUP_ENGINES} engines"),
            );
        }
        for engine in &group.engines {
            validate_name(engine.as_str(), &path, faults);
            if let Some(first) = engines.insert(engine.as_str(), index) {
                let message = format!("engine {engine} is in group[{first}] too; list it once");
                faults.add(path.clone(), message);
            }
        }
    }
}

fn validate_classes(deployment: &Deployment, faults: &mut FaultCollector) {
    for (index, class) in deployment.classes.iter().enumerate() {
        let path = format!("class[{index}]");
        if class.first_token_ms == 0 {
            faults.add(format!("{path}.first_token_ms"), "must be above 0");
        }
        if class.deadline_ms < class.first_token_ms {
            let message = format!("must be at least first_token_ms, {}", class.first_token_ms);
            faults.add(format!("{path}.deadline_ms"), message);
        }
    }
}

fn validate_tenants(deployment: &Deployment, faults: &mut FaultCollector) {
    let mut hashes: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, tenant) in deployment.tenants.iter().enumerate() {
        let path = format!("tenant[{index}]");
        validate_tenant(tenant, &path, faults);
        if !tenant.class.is_empty() && deployment.class(&tenant.class).is_none() {
            let message = format!(
                "class {} is not declared; add a [[class]] for it",
                tenant.class
            );
            faults.add(format!("{path}.class"), message);
        }
        if let Some(first) = hashes.insert(&tenant.key_blake3, index)
            && !tenant.key_blake3.is_empty()
        {
            let message =
                format!("is also the key hash of tenant[{first}]; give each tenant its own key");
            faults.add(format!("{path}.key_blake3"), message);
        }
    }
}

fn validate_tenant(tenant: &Tenant, path: &str, faults: &mut FaultCollector) {
    let hash = tenant.key_blake3.as_bytes();
    let is_valid = hash.len() == HASH_DIGITS && hash.iter().all(u8::is_ascii_hexdigit);
    if !is_valid && !hash.is_empty() {
        let message = format!("must have {HASH_DIGITS} hexadecimal digits, the key's BLAKE3 hash");
        faults.add(format!("{path}.key_blake3"), message);
    }
    if tenant.tokens_per_second == 0 {
        faults.add(format!("{path}.tokens_per_second"), "must be above 0");
    }
    if tenant.burst_tokens < tenant.tokens_per_second {
        let message = format!(
            "must be at least tokens_per_second, {}",
            tenant.tokens_per_second
        );
        faults.add(format!("{path}.burst_tokens"), message);
    }
}

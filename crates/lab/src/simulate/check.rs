//! Checks of a scenario beyond its syntax; every fault is listed.

use std::collections::BTreeSet;

use dalestand_types::Role;

use super::scenario::{Class, Fault, Phase, Scenario, Shape};
use crate::LabError;

/// Parses and checks a scenario.
pub fn parse(text: &str) -> Result<Scenario, LabError> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|error| LabError::Usage(error.to_string()))?;
    let faults = faults(&scenario);
    if faults.is_empty() {
        Ok(scenario)
    } else {
        Err(LabError::Usage(faults.join("\n")))
    }
}

fn faults(scenario: &Scenario) -> Vec<String> {
    let mut faults = Vec::new();
    let zones: BTreeSet<&str> = scenario.zones.iter().map(|zone| &*zone.name).collect();
    let pools: BTreeSet<&str> = scenario.pools.iter().map(|pool| &*pool.name).collect();
    let classes: BTreeSet<&str> = scenario.classes.iter().map(|class| &*class.name).collect();
    if scenario.zones.iter().any(|zone| zone.nodes == 0) {
        faults.push("zone: every zone needs a node".to_owned());
    }
    for pool in &scenario.pools {
        for zone in pool.engines.keys() {
            if !zones.contains(&**zone) {
                faults.push(format!("pool.{}.engines: no zone {zone}", pool.name));
            }
        }
        if pool.engines.values().sum::<usize>() == 0 {
            faults.push(format!("pool.{}.engines: at least one", pool.name));
        }
        if pool.weight_store_gigabytes_per_s <= 0.0 {
            faults.push(format!("pool.{}: the weight store needs a rate", pool.name));
        }
        if !pool.repeatable && pool.roles != [Role::Mixed] {
            let message = "a pool that may not repeat needs roles = [\"mixed\"]";
            faults.push(format!("pool.{}.roles: {message}", pool.name));
        }
        let covered = pool.roles.iter().any(|role| role.runs_prefill())
            && pool.roles.iter().any(|role| role.runs_decode());
        if !covered {
            faults.push(format!("pool.{}.roles: both phases must be run", pool.name));
        }
    }
    for class in &scenario.classes {
        check_class(class, &pools, &mut faults);
    }
    for (number, phase) in scenario.phases.iter().enumerate() {
        check_phase(number, phase, &classes, &mut faults);
    }
    for fault in &scenario.faults {
        check_fault(fault, scenario, &zones, &pools, &mut faults);
    }
    faults
}

fn check_class(class: &Class, pools: &BTreeSet<&str>, faults: &mut Vec<String>) {
    let path = format!("class.{}", class.name);
    if !pools.contains(&*class.pool) {
        faults.push(format!("{path}.pool: no pool {}", class.pool));
    }
    for (name, length) in [("prompt", &class.prompt), ("output", &class.output)] {
        if length.median < 1.0 || length.sigma < 0.0 || f64::from(length.max) < length.median {
            faults.push(format!(
                "{path}.{name}: needs 1 <= median <= max and sigma >= 0"
            ));
        }
    }
    if let Some(prefix) = &class.prefix
        && (prefix.count == 0 || !(0.0..=1.0).contains(&prefix.share))
    {
        faults.push(format!(
            "{path}.prefix: needs count >= 1 and a share of 0 to 1"
        ));
    }
}

fn check_phase(number: usize, phase: &Phase, classes: &BTreeSet<&str>, faults: &mut Vec<String>) {
    let path = format!("phase {}", number + 1);
    for class in phase.rates.keys().chain(phase.to.keys()) {
        if !classes.contains(&**class) {
            faults.push(format!("{path}: no class {class}"));
        }
    }
    let rates = phase.rates.values().chain(phase.to.values());
    if rates.into_iter().any(|rate| !(0.0..).contains(rate)) {
        faults.push(format!("{path}: rates must not be negative"));
    }
    if phase.duration_s <= 0.0 {
        faults.push(format!("{path}.duration_s: must be above 0"));
    }
    if matches!(phase.shape, Shape::Swing | Shape::Burst) && phase.period_s <= 0.0 {
        faults.push(format!("{path}.period_s: a swing or burst needs a period"));
    }
}

fn check_fault(
    fault: &Fault,
    scenario: &Scenario,
    zones: &BTreeSet<&str>,
    pools: &BTreeSet<&str>,
    faults: &mut Vec<String>,
) {
    match fault {
        Fault::Crash { engine, .. } => {
            let known = scenario.pools.iter().any(|pool| {
                let count = pool.engines.values().sum::<usize>();
                (1..=count).any(|number| format!("{}-{number}", pool.name) == *engine)
            });
            if !known {
                faults.push(format!("fault: no engine {engine}"));
            }
        }
        Fault::Cut { zone, .. } if !zones.contains(&**zone) => {
            faults.push(format!("fault: no zone {zone}"));
        }
        Fault::CrashInChange { pool, .. } if !pools.contains(&**pool) => {
            faults.push(format!("fault: no pool {pool}"));
        }
        _ => {}
    }
}

//! Semantic checks of a scenario; all problems are reported together.

use std::collections::BTreeSet;

use dalestand_types::Role;

use super::scenario::{Class, Fault, Phase, Scenario, Shape};
use crate::LabError;

/// Parses and checks a scenario.
pub fn parse(text: &str) -> Result<Scenario, LabError> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|error| LabError::Usage(error.to_string()))?;
    let problems = problems(&scenario);
    if problems.is_empty() {
        Ok(scenario)
    } else {
        Err(LabError::Usage(problems.join("\n")))
    }
}

fn problems(scenario: &Scenario) -> Vec<String> {
    let mut problems = Vec::new();
    let zones: BTreeSet<&str> = scenario.zones.iter().map(|zone| &*zone.name).collect();
    let pools: BTreeSet<&str> = scenario.pools.iter().map(|pool| &*pool.name).collect();
    let classes: BTreeSet<&str> = scenario.classes.iter().map(|class| &*class.name).collect();
    if scenario.zones.iter().any(|zone| zone.nodes == 0) {
        problems.push("zone: every zone needs at least one node".to_owned());
    }
    for pool in &scenario.pools {
        for zone in pool.engines.keys() {
            if !zones.contains(&**zone) {
                problems.push(format!("pool.{}.engines: unknown zone {zone}", pool.name));
            }
        }
        if pool.engines.values().sum::<usize>() == 0 {
            problems.push(format!(
                "pool.{}.engines: needs at least one engine",
                pool.name
            ));
        }
        if pool.weight_store_gigabytes_per_s <= 0.0 {
            problems.push(format!(
                "pool.{}.weight_store_gigabytes_per_s: must be above 0",
                pool.name
            ));
        }
        if !pool.repeatable && pool.roles != [Role::Mixed] {
            let message = "a pool that is not repeatable needs roles = [\"mixed\"]";
            problems.push(format!("pool.{}.roles: {message}", pool.name));
        }
        let covered = pool.roles.iter().any(|role| role.runs_prefill())
            && pool.roles.iter().any(|role| role.runs_decode());
        if !covered {
            problems.push(format!(
                "pool.{}.roles: must cover prefill and decode",
                pool.name
            ));
        }
    }
    for class in &scenario.classes {
        check_class(class, &pools, &mut problems);
    }
    for (number, phase) in scenario.phases.iter().enumerate() {
        check_phase(number, phase, &classes, &mut problems);
    }
    for fault in &scenario.faults {
        check_fault(fault, scenario, &zones, &pools, &mut problems);
    }
    problems
}

fn check_class(class: &Class, pools: &BTreeSet<&str>, problems: &mut Vec<String>) {
    let path = format!("class.{}", class.name);
    if !pools.contains(&*class.pool) {
        problems.push(format!("{path}.pool: unknown pool {}", class.pool));
    }
    for (name, length) in [("prompt", &class.prompt), ("output", &class.output)] {
        if length.median < 1.0 || length.sigma < 0.0 || f64::from(length.max) < length.median {
            problems.push(format!(
                "{path}.{name}: needs 1 <= median <= max and sigma >= 0"
            ));
        }
    }
    if let Some(prefix) = &class.prefix
        && (prefix.count == 0 || !(0.0..=1.0).contains(&prefix.share))
    {
        problems.push(format!(
            "{path}.prefix: needs count >= 1 and a share of 0 to 1"
        ));
    }
}

fn check_phase(number: usize, phase: &Phase, classes: &BTreeSet<&str>, problems: &mut Vec<String>) {
    let path = format!("phase {}", number + 1);
    for class in phase.rates.keys().chain(phase.to.keys()) {
        if !classes.contains(&**class) {
            problems.push(format!("{path}: unknown class {class}"));
        }
    }
    let rates = phase.rates.values().chain(phase.to.values());
    if rates.into_iter().any(|rate| !(0.0..).contains(rate)) {
        problems.push(format!("{path}: rates must not be negative"));
    }
    if phase.duration_s <= 0.0 {
        problems.push(format!("{path}.duration_s: must be above 0"));
    }
    if matches!(phase.shape, Shape::Swing | Shape::Burst) && phase.period_s <= 0.0 {
        problems.push(format!(
            "{path}.period_s: must be above 0 for a swing or burst"
        ));
    }
}

fn check_fault(
    fault: &Fault,
    scenario: &Scenario,
    zones: &BTreeSet<&str>,
    pools: &BTreeSet<&str>,
    problems: &mut Vec<String>,
) {
    match fault {
        Fault::Crash { engine, .. } => {
            let known = scenario.pools.iter().any(|pool| {
                let count = pool.engines.values().sum::<usize>();
                (1..=count).any(|number| format!("{}-{number}", pool.name) == *engine)
            });
            if !known {
                problems.push(format!("fault: unknown engine {engine}"));
            }
        }
        Fault::Cut { zone, .. } if !zones.contains(&**zone) => {
            problems.push(format!("fault: unknown zone {zone}"));
        }
        Fault::CrashInChange { pool, .. } if !pools.contains(&**pool) => {
            problems.push(format!("fault: unknown pool {pool}"));
        }
        _ => {}
    }
}

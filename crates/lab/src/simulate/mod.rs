//! Discrete-event simulator in virtual time, which compares the product's own decision code with
//! baseline policies.
//!
//! The same scenario and seed give byte-identical output.

mod check;
mod compare;
mod engine;
mod engine_events;
mod event;
mod fleet;
mod node;
mod oracle;
mod outcome;
mod policy;
mod prefix_cache;
mod request;
mod request_events;
mod role_control;
mod scenario;
mod simulation;
mod workload;

use std::path::Path;

use error_stack::{Report, ResultExt as _};
use getopts::Options;

pub use check::parse;
pub use compare::{Comparison, compare};
pub use outcome::{PolicyResult, Timeline};
pub use scenario::Scenario;

use crate::LabError;

/// Runs `simulate SCENARIO.toml [--json] [--timeline] [--load FACTOR] [--seed N]`.
pub fn run(arguments: &[String]) -> Result<(), Report<LabError>> {
    let mut options = Options::new();
    options.optflag("", "json", "print one JSON object");
    options.optflag(
        "",
        "timeline",
        "add goodput and roles over time to the text",
    );
    options.optopt("", "load", "multiply every rate by this", "FACTOR");
    options.optopt("", "seed", "seed instead of the scenario's", "N");
    let usage = || {
        options
            .usage("usage: dalestand-lab simulate SCENARIO.toml [--json] [--timeline] [--load FACTOR] [--seed N]")
    };
    let matches = options
        .parse(arguments)
        .map_err(|error| LabError::Usage(format!("{error}\n{}", usage())))?;
    let [path] = &matches.free[..] else {
        return Err(Report::new(LabError::Usage(usage())));
    };
    let mut scenario = read(Path::new(path))?;
    let load = matches
        .opt_get("load")
        .map_err(|error| LabError::Usage(format!("--load: {error}")))?;
    scenario.scale_load(load.unwrap_or(1.0));
    let seed = matches
        .opt_get("seed")
        .map_err(|error| LabError::Usage(format!("--seed: {error}")))?
        .unwrap_or(scenario.seed);
    let comparison = compare(&scenario, seed);
    if matches.opt_present("json") {
        let text = serde_json::to_string(&comparison)
            .change_context_lazy(|| LabError::Failed("cannot encode the results".to_owned()))?;
        println!("{text}");
    } else {
        print!("{}", table(&comparison));
        if matches.opt_present("timeline") {
            print!("{}", timelines(&comparison));
        }
    }
    Ok(())
}

/// Reads and checks a scenario file.
pub fn read(path: &Path) -> Result<Scenario, Report<LabError>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| LabError::Usage(format!("{}: {error}", path.display())))?;
    let scenario =
        parse(&text).map_err(|error| LabError::Usage(format!("{}:\n{error}", path.display())))?;
    Ok(scenario)
}

/// Formats the results as a text table.
pub fn table(comparison: &Comparison) -> String {
    let mut text = format!(
        "{}, seed {}: {} requests in {} s\n{:<13}{:>10}{:>8}{:>9}{:>9}{:>6}{:>9}{:>7}{:>10}{:>8}{:>7}\n",
        comparison.scenario,
        comparison.seed,
        comparison.offered,
        comparison.duration_s,
        "policy",
        "goodput/s",
        "share",
        "changes",
        "not run",
        "lost",
        "unknown",
        "twice",
        "first p95",
        "gap p95",
        "hits"
    );
    for policy in &comparison.policies {
        text.push_str(&format!(
            "{:<13}{:>10.3}{:>8.4}{:>9}{:>9}{:>6}{:>9}{:>7}{:>10.0}{:>8.1}{:>7.3}\n",
            policy.name,
            policy.goodput_per_s,
            policy.goodput_share,
            policy.role_changes,
            policy.not_run,
            policy.lost,
            policy.unknown,
            policy.ran_twice,
            policy.p95_first_token_ms,
            policy.p95_between_tokens_ms,
            policy.prefix_hit_share
        ));
    }
    text
}

/// Formats goodput and roles over time as text.
fn timelines(comparison: &Comparison) -> String {
    let mut text = String::new();
    for policy in &comparison.policies {
        let timeline = &policy.timeline;
        for (interval, roles) in timeline.roles.iter().enumerate() {
            let [prefill, decode, mixed] = roles;
            text.push_str(&format!(
                "{:<13}{:>8.0} s {:>10.2}/s  {prefill} prefill, {decode} decode, {mixed} mixed\n",
                policy.name,
                (interval + 1) as f64 * timeline.interval_s,
                timeline.goodput_per_s.get(interval).copied().unwrap_or(0.0),
            ));
        }
    }
    text
}

//! An HTML page with a table and plots over time for each scenario.

mod plot;

use std::fmt::Write as _;
use std::path::Path;

use error_stack::{Report, ResultExt as _};
use getopts::Options;

use crate::LabError;
use crate::simulate::{Comparison, PolicyResult, compare, read};
use plot::Line;

const USAGE: &str = "usage: dalestand-lab report SCENARIO.toml... --out FILE.html [--seed N]";

/// Runs `report SCENARIO.toml... --out FILE.html [--seed N]`.
pub fn run(arguments: &[String]) -> Result<(), Report<LabError>> {
    let mut options = Options::new();
    options.reqopt("", "out", "the page to write", "FILE");
    options.optopt("", "seed", "seed instead of the scenarios'", "N");
    let matches = options
        .parse(arguments)
        .map_err(|error| LabError::Usage(format!("{error}\n{}", options.usage(USAGE))))?;
    if matches.free.is_empty() {
        return Err(Report::new(LabError::Usage(options.usage(USAGE))));
    }
    let seed: Option<u64> = matches
        .opt_get("seed")
        .map_err(|error| LabError::Usage(format!("--seed: {error}")))?;
    let mut comparisons = Vec::new();
    for path in &matches.free {
        let scenario = read(Path::new(path))?;
        comparisons.push(compare(&scenario, seed.unwrap_or(scenario.seed)));
    }
    let page = page(&comparisons)?;
    let out = matches.opt_str("out").unwrap_or_default();
    std::fs::write(&out, page)
        .change_context_lazy(|| LabError::Failed(format!("cannot write {out}")))
}

/// Renders the results of scenarios as an HTML page.
pub fn page(comparisons: &[Comparison]) -> Result<String, Report<LabError>> {
    let mut text = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Policies compared</title></head><body>\n<h1>Policies compared</h1>\n",
    );
    for comparison in comparisons {
        let _ = writeln!(
            text,
            "<h2>{}</h2>\n<p>Seed {}, {} requests in {} s.</p>",
            comparison.scenario, comparison.seed, comparison.offered, comparison.duration_s
        );
        text.push_str(&table(comparison));
        text.push_str(&plots(comparison)?);
    }
    text.push_str("</body></html>\n");
    Ok(text)
}

fn table(comparison: &Comparison) -> String {
    let mut text = String::from(
        "<table>\n<tr><th>policy</th><th>goodput/s</th><th>share</th><th>role changes</th>\
         <th>not run</th><th>lost</th><th>unknown</th><th>ran twice</th>\
         <th>first token p95, ms</th><th>between tokens p95, ms</th><th>prefix hits</th></tr>\n",
    );
    for policy in &comparison.policies {
        let _ = writeln!(
            text,
            "<tr><td>{}</td><td>{:.3}</td><td>{:.4}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{}</td><td>{}</td><td>{:.0}</td><td>{:.1}</td><td>{:.3}</td></tr>",
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
        );
    }
    text.push_str("</table>\n");
    text
}

/// Plots of goodput and of the engines in each role over time, with a line for each policy.
fn plots(comparison: &Comparison) -> Result<String, Report<LabError>> {
    let plotted: Vec<&PolicyResult> = comparison
        .policies
        .iter()
        .filter(|policy| !policy.timeline.goodput_per_s.is_empty())
        .collect();
    let interval_s = plotted
        .first()
        .map_or(1.0, |policy| policy.timeline.interval_s);
    let goodput: Vec<Line> = plotted
        .iter()
        .map(|policy| Line {
            name: policy.name.clone(),
            values: policy.timeline.goodput_per_s.clone(),
        })
        .collect();
    let mut text = plot::draw("goodput per second", interval_s, &goodput)?;
    for (index, title) in ["prefill engines", "decode engines", "mixed engines"]
        .iter()
        .enumerate()
    {
        let lines: Vec<Line> = plotted
            .iter()
            .map(|policy| Line {
                name: policy.name.clone(),
                values: policy
                    .timeline
                    .roles
                    .iter()
                    .map(|counts| counts[index] as f64)
                    .collect(),
            })
            .collect();
        text.push_str(&plot::draw(title, interval_s, &lines)?);
    }
    Ok(text)
}

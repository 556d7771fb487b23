//! The simulator is reproducible, loses no request under faults and rejects invalid scenarios.

use dalestand_lab::report;
use dalestand_lab::simulate::{Comparison, PolicyResult, compare, parse};
use rstest::rstest;

const SMALL: &str = include_str!("data/small.toml");

fn run(text: &str, seed: u64) -> Comparison {
    let scenario = parse(text).expect("a valid scenario");
    compare(&scenario, seed)
}

fn json(comparison: &Comparison) -> String {
    serde_json::to_string(comparison).expect("serialisable results")
}

fn policy<'a>(comparison: &'a Comparison, name: &str) -> &'a PolicyResult {
    let mut policies = comparison.policies.iter();
    policies
        .find(|policy| policy.name == name)
        .expect("a result of the policy")
}

#[test]
fn the_same_scenario_and_seed_give_the_same_bytes() {
    let first = json(&run(SMALL, 5));
    assert_eq!(first, json(&run(SMALL, 5)));
    assert_ne!(first, json(&run(SMALL, 6)));
}

#[test]
fn no_request_is_lost_or_run_twice_under_crashes_and_partitions() {
    let results = run(SMALL, 5);
    for policy in &results.policies {
        assert_eq!(policy.lost, 0, "{}", policy.name);
        assert_eq!(policy.ran_twice, 0, "{}", policy.name);
    }
    // After the crash of an engine in a pool that is not repeatable, it is unknown whether its
    // requests ran.
    assert!(policy(&results, "dalestand").unknown > 0);
}

#[test]
fn no_policy_beats_the_upper_bound() {
    for seed in 5..8 {
        let results = run(SMALL, seed);
        let bound = policy(&results, "oracle").goodput_per_s;
        for policy in &results.policies {
            let goodput = policy.goodput_per_s;
            assert!(goodput <= bound, "{} {goodput} > {bound}", policy.name);
        }
    }
}

#[test]
fn the_json_output_has_the_fields_that_scripts_read() {
    let text = json(&run(SMALL, 5));
    let value: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let policies = value["policies"].as_array().expect("a list");
    let names: Vec<_> = policies.iter().map(|one| one["name"].clone()).collect();
    let expected = [
        "round-robin",
        "least-loaded",
        "static",
        "threshold",
        "oracle",
        "dalestand",
    ];
    assert_eq!(names, expected);
    for policy in policies {
        for field in [
            "goodput_per_s",
            "goodput_share",
            "role_changes",
            "not_run",
            "lost",
            "unknown",
            "ran_twice",
            "p95_first_token_ms",
            "p95_between_tokens_ms",
            "prefix_hit_share",
        ] {
            assert!(policy[field].is_number(), "{field} of {policy}");
        }
    }
}

#[rstest]
#[case::unknown_key("seed = 5", "seed = 5\ncolour = 1", "colour")]
#[case::unknown_zone("engines = { one = 1, two = 1 }", "engines = { three = 1 }", "three")]
#[case::unknown_class("rates = { long = 4, order = 30 }", "rates = { short = 4 }", "short")]
#[case::unknown_pool("pool = \"orders\"", "pool = \"others\"", "others")]
#[case::negative_rate("long = 4", "long = -4", "negative")]
#[case::split_of_an_unrepeatable_pool(
    "roles = [\"mixed\"]",
    "roles = [\"prefill\", \"decode\"]",
    "mixed"
)]
#[case::unknown_engine("engine = \"text-3\"", "engine = \"text-9\"", "text-9")]
fn an_invalid_scenario_is_rejected_with_its_location(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    let error = parse(&SMALL.replace(valid, invalid)).expect_err("an invalid scenario");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn every_scenario_of_the_repository_is_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let files = std::fs::read_dir(folder).expect("the scenarios folder");
    for file in files {
        let path = file.expect("a folder entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable scenario");
        if let Err(error) = parse(&text) {
            panic!("{}: {error}", path.display());
        }
    }
}

#[test]
fn the_page_has_a_plot_with_a_line_for_each_policy() {
    let page = report::page(&[run(SMALL, 5)]).expect("a page");
    assert_eq!(page.matches("<svg").count(), 4);
    assert_eq!(page.matches("goodput per second").count(), 1);
    for name in [
        "round-robin",
        "least-loaded",
        "static",
        "threshold",
        "dalestand",
    ] {
        // Once in the table and once in the legend of each of the four plots.
        assert_eq!(page.matches(name).count(), 5, "{name}");
    }
}

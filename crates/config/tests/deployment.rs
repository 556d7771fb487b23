//! Deployment files are validated completely, and every fault is reported with its line.

use dalestand_config::{Deployment, Fault, differences};
use rstest::rstest;

const LAKESHORE: &str = include_str!("../../../examples/lakeshore.toml");
const SEBERANG: &str = include_str!("../../../examples/seberang.toml");

const SMALL: &str = r#"format = 1
name = "small"

[[model]]
name = "m"
version = "1"
weights_gib = 1.0

[[pool]]
name = "p"
models = ["m"]

[[group]]
pool = "p"
zone = "z"
engines = ["e"]
"#;

fn faults_of(text: &str) -> Vec<Fault> {
    Deployment::parse(text).expect_err("the file has faults").0
}

#[rstest]
#[case::lakeshore(LAKESHORE, 10)]
#[case::seberang(SEBERANG, 12)]
fn the_examples_have_no_fault(#[case] text: &str, #[case] engines: usize) {
    let deployment = Deployment::parse(text).expect("no fault");
    let listed: usize = deployment
        .groups
        .iter()
        .map(|group| group.engines.len())
        .sum();
    assert_eq!(listed, engines);
}

#[test]
fn the_examples_differ_in_the_weight_of_role_changes() {
    let lakeshore = Deployment::parse(LAKESHORE).expect("no fault").roles;
    let seberang = Deployment::parse(SEBERANG).expect("no fault").roles;
    assert!(lakeshore.change_weight < seberang.change_weight);
    assert_eq!(lakeshore.max_changes_at_once, seberang.max_changes_at_once);
}

#[rstest]
#[case::unknown_key(
    "name = \"small\"",
    "name = \"small\"\nnaem = 1",
    3,
    "did you mean name?"
)]
#[case::wrong_type("weights_gib = 1.0", "weights_gib = \"big\"", 7, "size of the weights")]
#[case::missing("version = \"1\"\n", "", 4, "version is missing")]
#[case::reference("models = [\"m\"]", "models = [\"n\"]", 11, "model n is not declared")]
#[case::range(
    "name = \"small\"",
    "name = \"small\"\nroles.change_weight = 1.5",
    3,
    "between 0.0"
)]
#[case::no_engine("engines = [\"e\"]", "engines = []", 16, "1 to 64 engines")]
#[case::twice("engines = [\"e\"]", "engines = [\"e\", \"e\"]", 16, "list it once")]
#[case::separator("engines = [\"e\"]", "engines = [\"e:1\"]", 16, "letters, digits")]
#[case::format("format = 1", "format = 2", 1, "format 2 is not known")]
#[case::not_toml("name = \"small\"", "name = ", 2, "")]
#[case::fixed_engine(
    "engines = [\"e\"]",
    "engines = [\"e\"]\nfixed_roles = { f = \"mixed\" }",
    17,
    "engine f is not among"
)]
#[case::fixed_role(
    "engines = [\"e\"]",
    "engines = [\"e\"]\nfixed_roles = { e = 1 }",
    17,
    "a table of"
)]
#[case::roles(
    "models = [\"m\"]",
    "models = [\"m\"]\nroles = [\"prefill\"]",
    12,
    "cover prefill"
)]
fn a_fault_names_its_line_and_the_correction(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] line: usize,
    #[case] message: &str,
) {
    assert!(SMALL.contains(right));
    let faults = faults_of(&SMALL.replace(right, wrong));
    let found = faults
        .iter()
        .any(|fault| fault.line == line && fault.message.contains(message));
    assert!(found, "{faults:#?}");
}

#[test]
fn all_faults_are_reported_together_sorted_by_line() {
    let text = SMALL
        .replace("format = 1", "format = 7")
        .replace("version = \"1\"", "verson = \"1\"")
        .replace("models = [\"m\"]", "models = \"m\"")
        .replace("zone = \"z\"", "zone = 3");
    let faults = faults_of(&text);
    let lines: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    let mut sorted = lines.clone();
    sorted.sort_unstable();
    assert_eq!(lines, sorted);
    for line in [1, 4, 6, 11, 15] {
        assert!(
            lines.contains(&line),
            "no fault on line {line}: {faults:#?}"
        );
    }
}

#[test]
fn a_difference_names_what_changed() {
    let before = Deployment::parse(SMALL).expect("no fault");
    let after = Deployment::parse(&SMALL.replace("version = \"1\"", "version = \"2\""));
    let changes = differences(&before, &after.expect("no fault"));
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["~ model[m].version: \"1\" -> \"2\""]);
    assert!(differences(&before, &before).is_empty());
}

//! Commands that read files of forwarding nodes: settings, routes and logs.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const SETTINGS: &str = r#"
node = "node-1"
zone = "here"
caller_listen = "127.0.0.1:8080"
ready_listen = "127.0.0.1:8081"
peer_listen = "127.0.0.1:8082"
key_value = "127.0.0.1:8083"
[retries]
ratio = 0.2
slack = 54
window_s = 10
[stop]
grace_s = 8
[roles]
lease_ms = 3000
"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    path
}

fn run(program: &str, arguments: &[&str]) -> Output {
    let output = Command::new(program).args(arguments).output();
    output.expect("the program runs")
}

#[rstest]
fn valid_settings_have_no_fault() {
    let path = file("valid.toml", SETTINGS);
    let path = path.to_str().expect("a path");
    let output = run(
        env!("CARGO_BIN_EXE_dalestand"),
        &["check", "--forwarding", path],
    );
    assert!(output.status.success(), "{output:?}");
}

#[rstest]
#[case::check(&["check", "--forwarding"])]
#[case::start(&["forward", "--settings"])]
fn every_fault_is_reported_and_the_exit_code_is_2(#[case] command: &[&str]) {
    let text = SETTINGS
        .replace("ratio = 0.2", "ratio = -1")
        .replace("grace_s = 8", "grace_s = 0")
        .replace("zone = ", "memory_mb = 0\nzone = ");
    let path = file(&format!("faulty-{}.toml", command[0]), &text);
    let mut arguments = command.to_vec();
    arguments.push(path.to_str().expect("a path"));
    let output = run(env!("CARGO_BIN_EXE_dalestand"), &arguments);
    assert_eq!(output.status.code(), Some(2));
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        ["retries.ratio", "stop.grace_s", "memory_mb"]
            .iter()
            .all(|field| output_text.contains(field)),
        "{output_text}"
    );
}

const DUTIES: &str = r#"
[duties]
address = "127.0.0.1:8084"
names = ["usage_report", "autoscale", "another"]
usage_window_s = 5
usage_late_s = 10
"#;

#[rstest]
fn settings_with_duties_have_no_fault() {
    let path = file("duties.toml", &format!("{SETTINGS}{DUTIES}"));
    let path = path.to_str().expect("a path");
    let output = run(
        env!("CARGO_BIN_EXE_dalestand"),
        &["check", "--forwarding", path],
    );
    assert!(output.status.success(), "{output:?}");
}

#[rstest]
#[case::no_window("usage_window_s = 5", "", "duties.usage_window_s")]
#[case::zero_report_deadline("usage_late_s = 10", "usage_late_s = 0", "duties.usage_late_s")]
#[case::no_headroom("usage_late_s = 10", "engine_headroom = 0", "duties.engine_headroom")]
#[case::share("usage_late_s = 10", "on_demand_share = 1.5", "duties.on_demand_share")]
#[case::worth("usage_late_s = 10", "engine_worth = -1", "duties.engine_worth")]
#[case::scaling("usage_late_s = 10", "scaling = \"none\"", "scaling")]
#[case::unknown_field("usage_late_s = 10", "usage_latte_s = 10", "usage_latte_s")]
#[case::bad_address("127.0.0.1:8084", "nowhere", "address")]
fn faults_of_duties_are_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = format!("{SETTINGS}{}", DUTIES.replace(from, to));
    let path = file(
        &format!("faulty-{}.toml", expected.replace('.', "-")),
        &text,
    );
    let path = path.to_str().expect("a path");
    let output = run(
        env!("CARGO_BIN_EXE_dalestand"),
        &["check", "--forwarding", path],
    );
    assert_eq!(output.status.code(), Some(2));
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output_text.contains(expected), "{output_text}");
}

#[rstest]
#[case::a_key_twice("keys = [\"k-1\", \"k-1\"]", "a key is declared twice")]
#[case::an_empty_key("keys = [\"\"]", "a key is empty")]
fn faults_of_tenants_are_reported_without_their_keys(#[case] keys: &str, #[case] expected: &str) {
    let text = format!("revision = 1\n[[tenant]]\nname = \"curators\"\n{keys}\n");
    let path = file(&format!("tenants-{}.toml", expected.len()), &text);
    let path = path.to_str().expect("a path");
    let output = run(
        env!("CARGO_BIN_EXE_dalestand"),
        &["check", "--routes", path],
    );
    assert_eq!(output.status.code(), Some(2));
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output_text.contains(expected), "{output_text}");
    assert!(!output_text.contains("k-1"), "{output_text}");
}

#[rstest]
fn faulty_routes_are_reported() {
    let text = "revision = 1\n[[route]]\nname = \"r\"\nhost = \"h\"\npath_prefix = \"/x\"\n\
                kind = \"once\"\npools = []\ntime_limit_ms = 0\nobjective_ms = 1\nmax_attempts = 1\n";
    let path = file("routes.toml", text);
    let path = path.to_str().expect("a path");
    let output = run(
        env!("CARGO_BIN_EXE_dalestand"),
        &["check", "--routes", path],
    );
    assert_eq!(output.status.code(), Some(2));
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output_text.contains("path_prefix") && output_text.contains("time_limit_ms"),
        "{output_text}"
    );
}

/// Logs of two nodes: one with a log collector's prefix on each line, the other truncated within a line.
#[rstest]
fn logs_of_several_nodes_are_merged_in_one_explanation() {
    let first = concat!(
        "  12.1 node-1 {\"msg\":\"engine gone\",\"ts\":\"2026-05-27T01:13:29.1Z\",\"event\":1602,",
        "\"key\":\"engines/e-1\"}\n",
        "  12.5 node-1 {\"msg\":\"request failed\",\"ts\":\"2026-05-27T01:13:29.5Z\",\"event\":1502,",
        "\"request\":\"ab\",\"calls\":\"Run e-1 broken 12ms (at 0ms, expected 9ms)\"}\n",
    );
    let second = concat!(
        "{\"msg\":\"engine listed\",\"ts\":\"2026-05-27T01:13:28Z\",\"event\":1601,\"engine\":\"e-1\"}\n",
        "{\"msg\":\"engine listed\",\"ts\":\"2026-05-27T01:13:28Z\",\"event\":1601,\"engine\":\"e-2\"}\n",
        "{\"msg\":\"engine gone\",\"node\":\"node-3\",\"ts\":\"2026-05-27T01:13:28Z\",\"event\":1602,",
        "\"key\":\"engines/e-1\"}\n",
        "{\"msg\":\"request complete\",\"ts\":\"2026-05-27T01:1",
    );
    let (first, second) = (file("first.log", first), file("second.log", second));
    let (first, second) = (
        first.to_str().expect("a path"),
        second.to_str().expect("a path"),
    );
    let program = env!("CARGO_BIN_EXE_dalestandctl");
    let arguments = [
        "--logs", first, "--logs", second, "explain", "request", "ab",
    ];
    let output = run(program, &arguments);
    assert!(output.status.success(), "{output:?}");
    let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
    let position = |text: &str| {
        output_text
            .find(text)
            .unwrap_or_else(|| panic!("{text} in {output_text}"))
    };
    assert!(position("1601 engine listed") < position("1602 engine gone"));
    assert!(position("1602 engine gone") < position("1502 request failed"));
    assert!(output_text.contains("1 lines could not be read"));
    assert!(!output_text.contains("e-2"));
    assert!(
        !output_text.contains("node-3"),
        "lines of nodes that did not serve the request are left out"
    );
    let unknown = run(program, &["--logs", first, "explain", "request", "cd"]);
    assert_eq!(unknown.status.code(), Some(1));
}

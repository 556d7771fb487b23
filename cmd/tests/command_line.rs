//! Command lines of the programs: exit codes, lists of faults, and the operator commands.

mod support;

use std::path::PathBuf;
use std::process::{Command, Output};

use dalestand_node::{ApplyResponse, RequestExplanation, StatusResponse};
use rstest::rstest;
use support::site::{Platform, start_engine};
use support::{ctl, eventually, get, post};

const DEPLOYMENT: &str = r#"format = 1
name = "command-line"
callers.require_key = false

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

/// The operators' key; the node is given its BLAKE3 hash.
const KEY: &str = "operators-key";

/// A file that is removed when dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("dalestand-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the file is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn dalestand(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dalestand"))
        .args(arguments)
        .output()
        .expect("dalestand runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_lists_every_fault_with_file_and_line() {
    let wrong = DEPLOYMENT
        .replace("format = 1", "format = 9")
        .replace("zone", "zoone");
    let file = TemporaryFile::new("check.toml", &wrong);
    let output = dalestand(&["check", file.path()]);
    assert_eq!(output.status.code(), Some(2));
    let listing = text(&output.stderr);
    assert!(
        listing.contains(&format!("{}: line 1: format:", file.path())),
        "{listing}"
    );
    assert!(listing.contains("did you mean zone?"), "{listing}");
    assert_eq!(listing.lines().count(), 3, "{listing}");
}

#[test]
fn check_passes_a_file_without_fault() {
    let file = TemporaryFile::new("good.toml", DEPLOYMENT);
    assert_eq!(dalestand(&["check", file.path()]).status.code(), Some(0));
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["serve"])]
#[case::unknown_flag(&["node", "--wrong"])]
#[case::missing_settings(&["node"])]
#[case::wrong_address(&["node", "--peer-listen", "here"])]
#[case::missing_file(&["check", "/nowhere/at/all.toml"])]
fn wrong_flags_exit_with_2(#[case] arguments: &[&str]) {
    let output = dalestand(arguments);
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
    assert!(!output.stderr.is_empty());
}

#[actix_rt::test]
async fn operators_apply_query_and_stop() {
    let platform = Platform::start();
    let (_engine, engine) = start_engine("e", platform.machines, &[]).await;
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    let settings = format!("operator_key_blake3 = \"{hash}\"\n");
    let mut node = platform.start_node("n", "z", &settings);
    let key = TemporaryFile::new("key", KEY);
    let ask = |words: &[&str]| {
        let mut arguments = vec!["--key-file", key.path()];
        arguments.extend_from_slice(words);
        ctl(node.operators, &arguments)
    };

    let without_key = ctl(node.operators, &["status"]);
    assert_eq!(without_key.status.code(), Some(1));
    assert!(text(&without_key.stderr).contains("operators' key"));

    let file = TemporaryFile::new("apply.toml", DEPLOYMENT);
    let applied = ask(&["--json", "apply", file.path()]);
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    let response: ApplyResponse = serde_json::from_slice(&applied.stdout).expect("JSON");
    let revision = response.revision.expect("a revision");

    let stale = ask(&["--after", "0", "apply", file.path()]);
    assert_eq!(stale.status.code(), Some(3));
    assert!(text(&stale.stderr).contains(&format!("revision {revision}")));

    let changed = DEPLOYMENT.replace("version = \"1\"", "version = \"2\"");
    let changed = TemporaryFile::new("changed.toml", &changed);
    let diff = ask(&["diff", changed.path()]);
    assert!(text(&diff.stdout).contains("~ model[m].version: \"1\" -> \"2\""));

    let body = serde_json::json!({"model": "m", "prompt": "a plate", "max_tokens": 3});
    eventually("a completion is served", || async {
        let (status, _) = post(node.callers, "/v1/completions", &body).await;
        (status == 200).then_some(())
    })
    .await;
    let status = ask(&["--json", "status"]);
    let status: StatusResponse = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status.revision, Some(revision));
    assert!(text(&ask(&["roles"]).stdout).contains("mixed: e"));
    assert!(text(&ask(&["explain", "engine", "e"]).stdout).contains("controlled under epoch"));

    let runs: serde_json::Value = get(engine, "/log/runs").await;
    let id = runs[0]["request"].as_str().expect("an id");
    let explained = ask(&["--json", "explain", "request", id]);
    let explained: RequestExplanation = serde_json::from_slice(&explained.stdout).expect("JSON");
    assert_eq!(explained.record.revision, revision);
    assert_eq!(ask(&["explain", "request", "0"]).status.code(), Some(1));

    assert_eq!(ask(&["drain"]).status.code(), Some(0));
    assert_eq!(node.process.wait(), Some(0));
}

/// The stand-in must check its arguments before it opens a socket and prints `ready`.
#[rstest]
#[case::help("--help", 0)]
#[case::short_help("-h", 0)]
#[case::unknown_kind("weights", 2)]
fn the_standin_prints_its_usage_without_opening_a_socket(
    #[case] argument: &str,
    #[case] code: i32,
) {
    let output = Command::new(env!("CARGO_BIN_EXE_dalestand-standin"))
        .arg(argument)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let output_text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    let output_text = String::from_utf8_lossy(&output_text).into_owned();
    assert!(
        output_text.contains("usage: dalestand-standin"),
        "{output_text}"
    );
    assert!(!output_text.contains("ready"), "{output_text}");
}

//! `dalestand stopped` lists and releases stopped requests in a store.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use dalestand_soak::store::{Store, StoreMode};
use rstest::rstest;

const FINGERPRINT: &str = "000102030405060708090a0b0c0d0e0f";

const PART: &str = "0001020304050607";

fn settings(store: &Store, name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stopped-{name}.toml"));
    let text = format!(
        "node = \"n\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:1\"\n\
         ready_listen = \"127.0.0.1:2\"\npeer_listen = \"127.0.0.1:3\"\nkey_value = \"{}\"\n\
         [retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n[stop]\ngrace_s = 8\n\
         [roles]\nlease_ms = 3000\n",
        store.address
    );
    fs::write(&path, text).expect("a file");
    path
}

fn stopped(settings: &PathBuf, more_arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dalestand"));
    command.arg("stopped").arg("--settings").arg(settings);
    command
        .args(more_arguments)
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
fn a_stopped_request_is_listed_and_released() {
    let store = Store::start().expect("a store");
    let settings = settings(&store, "listed");
    let nothing = stopped(&settings, &[]);
    assert!(
        nothing.status.success() && nothing.stdout.is_empty(),
        "{nothing:?}"
    );
    store.write(
        &format!("dalestand/quarantine/stopped/{FINGERPRINT}"),
        r#"{"engines":[1,2,3],"last_crash_unix_ms":5}"#,
    );
    let listed = text(&stopped(&settings, &[]).stdout);
    let expected = format!("{FINGERPRINT} stopped: 3 engines");
    assert!(listed.starts_with(&expected), "{listed}");
    let released = stopped(&settings, &["--release", FINGERPRINT]);
    assert!(released.status.success(), "{released:?}");
    let listed = text(&stopped(&settings, &[]).stdout);
    assert!(listed.contains(" released: "), "{listed}");
}

#[rstest]
fn a_held_prompt_part_is_listed_and_released() {
    let store = Store::start().expect("a store");
    let settings = settings(&store, "held");
    store.write(
        &format!("dalestand/quarantine/part/{PART}"),
        r#"{"crashes":[{"engine":1,"unix_ms":5,"request":7,"is_trial":false}]}"#,
    );
    let listed = text(&stopped(&settings, &[]).stdout);
    let expected = format!("{PART} held: a prompt part; engines ended 1 times");
    assert!(listed.starts_with(&expected), "{listed}");
    let released = stopped(&settings, &["--release", PART]);
    assert!(released.status.success(), "{released:?}");
    let listed = text(&stopped(&settings, &[]).stdout);
    assert!(listed.contains(" released: "), "{listed}");
}

#[rstest]
#[case::no_fingerprint("5a", 2)]
#[case::not_stopped(FINGERPRINT, 1)]
fn an_invalid_release_is_reported(#[case] fingerprint: &str, #[case] code: i32) {
    let store = Store::start().expect("a store");
    let settings = settings(&store, &format!("invalid-{code}"));
    let output = stopped(&settings, &["--release", fingerprint]);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(!output.stderr.is_empty());
}

#[rstest]
fn a_store_failure_is_reported() {
    let store = Store::start().expect("a store");
    store.set_mode(StoreMode::Busy);
    let settings = settings(&store, "busy");
    assert_eq!(stopped(&settings, &[]).status.code(), Some(1));
}

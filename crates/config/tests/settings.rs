//! Node settings from a file, from flags, or from both.

use dalestand_config::{NodeSettings, PartialSettings};
use dalestand_types::NodeId;

const FILE: &str = r#"node = "n"
zone = "z"
caller_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
key_value = "127.0.0.1:1"
machine_list = "127.0.0.1:2"
"#;

#[test]
fn a_file_with_the_required_values_is_valid() {
    let settings = NodeSettings::parse(FILE).expect("no fault");
    assert_eq!(settings.node, NodeId::from("n"));
    assert!(settings.seeds.is_empty());
}

#[test]
fn a_flag_takes_precedence_over_the_file() {
    let flags = PartialSettings {
        node: Some(NodeId::from("other")),
        ..Default::default()
    };
    let settings = NodeSettings::parse_with(FILE, flags).expect("no fault");
    assert_eq!(settings.node, NodeId::from("other"));
}

#[test]
fn missing_required_values_are_reported() {
    let faults = NodeSettings::parse("node = \"n\"").expect_err("values are missing");
    assert_eq!(faults.0.len(), 6);
    assert!(
        faults
            .to_string()
            .contains("give it in the file or by --peer-listen")
    );
}

#[test]
fn an_invalid_value_is_not_also_reported_as_missing() {
    let text = FILE.replace("\"127.0.0.1:1\"", "\"localhost\"");
    let faults = NodeSettings::parse(&text).expect_err("the address is wrong");
    assert_eq!(faults.0.len(), 1);
    assert_eq!(faults.0[0].line, 6);
}

#[test]
fn short_intervals_and_short_keys_are_faults() {
    let text = format!("{FILE}lease_ms = 10\nload_poll_ms = 0\npeer_key = \"short\"\n");
    let faults = NodeSettings::parse(&text).expect_err("three faults");
    let lines: Vec<usize> = faults.0.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [8, 9, 10]);
}

//! A key-value service that is restored from a copy some seconds old: what was written since is gone, leases
//! too, and revisions go back.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of};

/// Where nodes keep their own entries.
const NODES: &str = "dalestand/nodes/";

/// Where the fleet's key of fingerprints stands.
const FLEET_KEY: &str = "dalestand/quarantine/key";

/// Engines that have come and gone since the copy was made.
const CHANGES: usize = 40;

/// Time within which a node reads a restored service: its watches end.
const READ_AGAIN: Duration = Duration::from_millis(300);

/// Time in which an entry that is missing from a copy may be written again.
const LAPSED_ENTRIES_RETURN: Duration = Duration::from_millis(2_300);

fn succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// A node before one engine, on a service that names eras from `era` on.
async fn node_in(era: u64) -> (TestNode, TestEngine) {
    let node = TestNode::start_in_era(era).await;
    node.declare(1, "repeatable", 2, 1_000);
    let engine = TestEngine::start(succeeding);
    node.list("first", &engine, "ready");
    node.settle().await;
    assert_eq!(status(&node.request("0", "/r/x").await), "200");
    (node, engine)
}

/// Changes that the copy lacks.
async fn change_much(node: &TestNode, engine: &TestEngine) {
    for number in 0..CHANGES {
        let name = format!("passing-{number}");
        node.list(&name, engine, "ready");
        node.store.write(&format!("engines/{name}"), None);
    }
    node.list("first", engine, "ready");
    node.settle().await;
}

#[rstest]
#[case::that_named_none_before(0)]
#[case::that_was_restored_before(3)]
#[actix_rt::test]
async fn what_is_written_after_the_restoration_counts(#[case] era: u64) {
    let (node, engine) = node_in(era).await;
    let copy = node.store.copy();
    change_much(&node, &engine).await;
    node.store.restore(&copy);
    actix_rt::time::sleep(READ_AGAIN).await;
    // Revisions are lower than those of the former era.
    let later = TestEngine::start(succeeding);
    node.list("later", &later, "ready");
    node.list("first", &engine, "draining");
    node.settle().await;
    for place in 0..6 {
        assert_eq!(
            status(&node.request(&place.to_string(), "/r/x").await),
            "200"
        );
    }
    assert_eq!(later.heads().len(), 6, "the other one leaves");
    node.declare(2, "once", 1, 1_000);
    node.settle().await;
    let figures = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    assert!(
        figures.contains("dalestand_declaration_revision 2"),
        "{figures}"
    );
}

#[actix_rt::test]
async fn an_older_declaration_of_the_copy_does_not_come_back() {
    let (node, _engine) = node_in(1).await;
    let copy = node.store.copy();
    node.declare(5, "repeatable", 2, 1_000);
    node.settle().await;
    node.store.restore(&copy);
    actix_rt::time::sleep(READ_AGAIN).await;
    let figures = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    assert!(
        figures.contains("dalestand_declaration_revision 5"),
        "{figures}"
    );
}

#[rstest]
#[case::drains("draining")]
#[case::went("")]
#[actix_rt::test]
async fn an_engine_that_left_since_the_copy_gets_nothing(#[case] state: &str) {
    let (node, first) = node_in(1).await;
    let leaving = TestEngine::start(succeeding);
    node.list("leaving", &leaving, "ready");
    node.settle().await;
    let copy = node.store.copy();
    if state.is_empty() {
        node.store.write("engines/leaving", None);
    } else {
        node.list("leaving", &leaving, state);
    }
    change_much(&node, &first).await;
    let before = leaving.heads().len();
    node.store.restore(&copy);
    actix_rt::time::sleep(READ_AGAIN).await;
    for place in 0..20 {
        node.request(&place.to_string(), "/r/x").await;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(leaving.heads().len(), before);
}

#[actix_rt::test]
async fn an_engine_that_went_and_writes_its_entry_anew_is_used() {
    let (node, first) = node_in(1).await;
    let returning = TestEngine::start(succeeding);
    node.list("returning", &returning, "ready");
    node.settle().await;
    let copy = node.store.copy();
    node.store.write("engines/returning", None);
    change_much(&node, &first).await;
    node.store.restore(&copy);
    actix_rt::time::sleep(READ_AGAIN).await;
    node.list("returning", &returning, "ready");
    node.store.write("engines/first", None);
    node.settle().await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
}

#[actix_rt::test]
async fn engines_that_the_copy_lacks_have_time_to_write_their_entries() {
    let (node, first) = node_in(1).await;
    let copy = node.store.copy();
    let young = TestEngine::start(succeeding);
    node.list("young", &young, "ready");
    change_much(&node, &first).await;
    node.store.restore(&copy);
    node.list("first", &first, "draining");
    actix_rt::time::sleep(READ_AGAIN).await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
    actix_rt::time::sleep(LAPSED_ENTRIES_RETURN).await;
    assert_eq!(
        status(&node.request("2", "/r/x").await),
        "503",
        "it is gone"
    );
}

#[actix_rt::test]
async fn nodes_write_again_what_the_copy_lacks() {
    let node = TestNode::start_in_era(1).await;
    let empty = node.store.copy();
    node.declare(1, "repeatable", 2, 1_000);
    // The key of fingerprints and the node's entry are written.
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let key = node.store.entries(FLEET_KEY);
    assert_eq!(key.len(), 1);
    assert_eq!(node.store.entries(NODES).len(), 1);
    node.store.restore(&empty);
    node.declare(1, "repeatable", 2, 1_000);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(node.store.entries(FLEET_KEY), key, "the same key");
    assert_eq!(node.store.entries(NODES).len(), 1, "registered again");
    assert_eq!(node.store.entries("dalestand-era")[0].1, "1");
}

#[actix_rt::test]
async fn the_tokens_of_holders_rise_over_eras() {
    let (node, _engine) = node_in(1).await;
    let token = || async {
        let figures = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
        let line = figures.lines().find_map(|line| {
            let value = line.strip_prefix("dalestand_authority_token ")?;
            value.parse::<f64>().ok()
        });
        line.unwrap_or_default()
    };
    let copy = node.store.copy();
    change_much(&node, &_engine).await;
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    let before = token().await;
    assert!(before > 0.0, "the authority is taken");
    node.store.restore(&copy);
    actix_rt::time::sleep(READ_AGAIN).await;
    assert_eq!(token().await, 0.0, "its lease is gone");
    let mut after = 0.0;
    for _ in 0..60 {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        after = token().await;
        if after > 0.0 {
            break;
        }
    }
    assert!(after > before, "{after} after {before}");
}

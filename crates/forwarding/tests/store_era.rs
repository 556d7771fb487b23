//! Restore of the key-value service from a backup: later writes and all leases are lost, and revisions
//! go back.

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

/// Prefix of node entries.
const NODE_PREFIX: &str = "dalestand/nodes/";

/// Key of the fleet's fingerprint key.
const FLEET_KEY: &str = "dalestand/quarantine/key";

/// Engines that register and leave after the backup.
const CHANGES: usize = 40;

/// Time for a node's watches to end and list a restored service.
const LISTING_TIME: Duration = Duration::from_millis(300);

/// Longer than the grace period for entries that are missing after a restore.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_300);

fn succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// A node with one engine, on a service whose era is `era`.
async fn start_in_era(era: u64) -> (TestNode, TestEngine) {
    let node = TestNode::start_in_era(era).await;
    node.declare(1, "repeatable", 2, 1_000);
    let engine = TestEngine::start(succeeding);
    node.write_entry("first", &engine, "ready");
    node.settle().await;
    assert_eq!(status(&node.request("0", "/r/x").await), "200");
    (node, engine)
}

/// Makes changes that the backup lacks.
async fn make_changes(node: &TestNode, engine: &TestEngine) {
    for number in 0..CHANGES {
        let name = format!("temporary-{number}");
        node.write_entry(&name, engine, "ready");
        node.store.write(&format!("engines/{name}"), None);
    }
    node.write_entry("first", engine, "ready");
    node.settle().await;
}

#[rstest]
#[case::of_a_service_without_eras(0)]
#[case::of_a_service_restored_before(3)]
#[actix_rt::test]
async fn writes_after_a_restore_are_applied(#[case] era: u64) {
    let (node, engine) = start_in_era(era).await;
    let backup = node.store.backup();
    make_changes(&node, &engine).await;
    node.store.restore(&backup);
    actix_rt::time::sleep(LISTING_TIME).await;
    // Revision numbers are lower than before the restore.
    let later = TestEngine::start(succeeding);
    node.write_entry("later", &later, "ready");
    node.write_entry("first", &engine, "draining");
    node.settle().await;
    for index in 0..6 {
        assert_eq!(
            status(&node.request(&index.to_string(), "/r/x").await),
            "200"
        );
    }
    assert_eq!(later.heads().len(), 6, "the draining engine gets none");
    node.declare(2, "once", 1, 1_000);
    node.settle().await;
    let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    assert!(
        metrics.contains("dalestand_declaration_revision 2"),
        "{metrics}"
    );
}

#[actix_rt::test]
async fn an_older_declaration_of_the_backup_is_not_applied() {
    let (node, _engine) = start_in_era(1).await;
    let backup = node.store.backup();
    node.declare(5, "repeatable", 2, 1_000);
    node.settle().await;
    node.store.restore(&backup);
    actix_rt::time::sleep(LISTING_TIME).await;
    let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    assert!(
        metrics.contains("dalestand_declaration_revision 5"),
        "{metrics}"
    );
}

#[rstest]
#[case::draining("draining")]
#[case::removed("")]
#[actix_rt::test]
async fn an_engine_that_left_since_the_backup_gets_no_requests(#[case] state: &str) {
    let (node, first) = start_in_era(1).await;
    let leaving = TestEngine::start(succeeding);
    node.write_entry("leaving", &leaving, "ready");
    node.settle().await;
    let backup = node.store.backup();
    if state.is_empty() {
        node.store.write("engines/leaving", None);
    } else {
        node.write_entry("leaving", &leaving, state);
    }
    make_changes(&node, &first).await;
    let before = leaving.heads().len();
    node.store.restore(&backup);
    actix_rt::time::sleep(LISTING_TIME).await;
    for index in 0..20 {
        node.request(&index.to_string(), "/r/x").await;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(leaving.heads().len(), before);
}

#[actix_rt::test]
async fn a_removed_engine_that_registers_again_gets_requests() {
    let (node, first) = start_in_era(1).await;
    let returning = TestEngine::start(succeeding);
    node.write_entry("returning", &returning, "ready");
    node.settle().await;
    let backup = node.store.backup();
    node.store.write("engines/returning", None);
    make_changes(&node, &first).await;
    node.store.restore(&backup);
    actix_rt::time::sleep(LISTING_TIME).await;
    node.write_entry("returning", &returning, "ready");
    node.store.write("engines/first", None);
    node.settle().await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
}

#[actix_rt::test]
async fn engines_missing_from_the_backup_have_time_to_register_again() {
    let (node, first) = start_in_era(1).await;
    let backup = node.store.backup();
    let missing = TestEngine::start(succeeding);
    node.write_entry("missing", &missing, "ready");
    make_changes(&node, &first).await;
    node.store.restore(&backup);
    node.write_entry("first", &first, "draining");
    actix_rt::time::sleep(LISTING_TIME).await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
    actix_rt::time::sleep(LAPSED_ENTRY_GRACE).await;
    assert_eq!(
        status(&node.request("2", "/r/x").await),
        "503",
        "it is gone"
    );
}

#[actix_rt::test]
async fn nodes_rewrite_what_the_backup_lacks() {
    let node = TestNode::start_in_era(1).await;
    let empty_backup = node.store.backup();
    node.declare(1, "repeatable", 2, 1_000);
    // Wait until the fingerprint key and the node's entry are written.
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let key = node.store.entries(FLEET_KEY);
    assert_eq!(key.len(), 1);
    assert_eq!(node.store.entries(NODE_PREFIX).len(), 1);
    node.store.restore(&empty_backup);
    node.declare(1, "repeatable", 2, 1_000);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(node.store.entries(FLEET_KEY), key, "the same key");
    assert_eq!(node.store.entries(NODE_PREFIX).len(), 1, "registered again");
    assert_eq!(node.store.entries("dalestand-era")[0].1, "1");
}

#[actix_rt::test]
async fn order_tokens_increase_across_eras() {
    let (node, _engine) = start_in_era(1).await;
    let token = || async {
        let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
        let line = metrics.lines().find_map(|line| {
            let value = line.strip_prefix("dalestand_authority_token ")?;
            value.parse::<f64>().ok()
        });
        line.unwrap_or_default()
    };
    let backup = node.store.backup();
    make_changes(&node, &_engine).await;
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    let before = token().await;
    assert!(before > 0.0, "the node holds the lease");
    node.store.restore(&backup);
    actix_rt::time::sleep(LISTING_TIME).await;
    assert_eq!(token().await, 0.0, "the lease is lost");
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

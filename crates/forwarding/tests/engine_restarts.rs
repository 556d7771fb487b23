//! Engines that restart under the same name, and unreadable engine entries.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of};

/// Path of the request that crashes engines.
const CRASHING_PATH: &str = "/r/crashing";

fn succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

fn draining(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-drains: 1\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "whole");
}

fn backing_off(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let headers = format!("x-id: {id}\r\nx-refused: 1\r\nx-backoff-ms: 60000\r\n");
    answer(stream, "503 Service Unavailable", &headers, "");
}

/// Starts to answer the crashing request and never finishes.
fn never_finishing(head: &str, stream: &mut TcpStream) {
    if !head.contains(CRASHING_PATH) {
        return succeeding(head, stream);
    }
    let id = id_of(head);
    let begun = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
    let _ = stream.write_all(begun.as_bytes());
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

#[rstest]
#[case::draining(draining)]
#[case::backing_off(backing_off)]
#[actix_rt::test]
async fn signals_of_a_previous_start_are_ignored(#[case] script: support::Script) {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let previous = TestEngine::start(script);
    node.write_entry("e", &previous, "ready started 1000");
    node.settle().await;
    node.request("1", "/r/x").await;
    node.write_entry("e", &previous, "ready started 1000");
    node.settle().await;
    assert_eq!(status(&node.request("2", "/r/x").await), "503");
    assert_eq!(previous.heads().len(), 1);
    let later = TestEngine::start(succeeding);
    node.write_entry("e", &later, "ready started 2000");
    node.settle().await;
    assert_eq!(status(&node.request("3", "/r/x").await), "200");
}

/// Guards against an entry of another writer with a start time that no later start exceeds.
#[actix_rt::test]
async fn a_start_in_the_far_future_does_not_hide_the_next_one() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let previous = TestEngine::start(draining);
    node.write_entry("e", &previous, "ready started 1000");
    node.settle().await;
    node.request("1", "/r/x").await;
    let odd = format!("ready started {}", u64::MAX);
    node.write_entry("e", &previous, &odd);
    node.settle().await;
    node.request("2", "/r/x").await;
    // The next start is read in a listing, which may be older than what is known.
    node.store.set_unavailable(true);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let later = TestEngine::start(succeeding);
    node.write_entry("e", &later, "ready started 2000");
    node.store.set_unavailable(false);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status(&node.request("3", "/r/x").await), "200");
}

#[actix_rt::test]
async fn connections_to_a_previous_start_are_not_reused() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let engine = TestEngine::start(succeeding);
    node.write_entry("e", &engine, "ready started 1000");
    node.settle().await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
    // A new process listens at the same address; connections to the previous one stay open.
    node.write_entry("e", &engine, "ready started 2000");
    node.settle().await;
    assert_eq!(status(&node.request("2", "/r/x").await), "200");
    assert_eq!(engine.accepted(), 2, "one connection per start");
}

#[actix_rt::test]
async fn crashes_of_each_start_are_counted() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let mut ended = 0;
    for start in 1..=6 {
        let engine = TestEngine::start(never_finishing);
        node.write_entry("e", &engine, &format!("ready started {start}000"));
        node.settle().await;
        let id = format!("crashing-{start}");
        let request = node.request(&id, CRASHING_PATH);
        let ends = async {
            for _ in 0..40 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
                if engine
                    .heads()
                    .iter()
                    .any(|head| head.contains(CRASHING_PATH))
                {
                    engine.crash();
                    return 1;
                }
            }
            0
        };
        let (_, crashed) = tokio::join!(request, ends);
        ended += crashed;
        node.settle().await;
    }
    assert_eq!(ended, 3, "starts of one engine are distinguished");
}

#[rstest]
#[case::empty("")]
#[case::no_state("127.0.0.1:1")]
#[case::invalid_address("somewhere ready")]
#[case::invalid_time("127.0.0.1:1 ready started soon")]
#[actix_rt::test]
async fn an_unreadable_entry_does_not_affect_other_engines(#[case] entry: &str) {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 2, 1_000);
    let engine = TestEngine::start(succeeding);
    node.store.write("engines/odd", Some(entry));
    node.write_entry("e", &engine, "ready");
    node.settle().await;
    for round in 0..3 {
        node.store.write("engines/odd", Some(entry));
        node.settle().await;
        assert_eq!(
            status(&node.request(&round.to_string(), "/r/x").await),
            "200"
        );
    }
    let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("dalestand_engine_entries_unreadable_total "));
    let counted: u64 = line.and_then(|value| value.parse().ok()).unwrap_or(0);
    assert!(counted >= 3, "{counted}");
}

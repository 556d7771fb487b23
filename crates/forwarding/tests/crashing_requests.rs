//! Requests that crash every engine that runs them.
//!
//! Guards against one such request crashing engine after engine: it is resumed at another engine,
//! and its caller sends it again under new ids and to other nodes.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use dalestand_forwarding::stopped_requests;
use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of};

/// Crashes after which a request has to be stopped. One or two may be due to chance.
const STOP_AFTER_CRASHES: usize = 3;

/// How often the same request is sent.
const ARRIVALS: usize = 9;

/// Prefix of the stopped requests in the key-value service.
const STOPPED_PREFIX: &str = "dalestand/quarantine/stopped/";

/// Path of the request that crashes engines.
const CRASHING_PATH: &str = "/r/crashing";

/// Path of a request that crashes engines while they stream without a length or chunks. Begins with
/// [`CRASHING_PATH`].
const UNFRAMED_CRASHING_PATH: &str = "/r/crashing-unframed";

/// Path of a request that takes a while.
const SLOW_PATH: &str = "/r/slow";

/// Starts the answer to the crashing request and never ends it; answers all others.
fn crashing_or_succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    if head.contains(SLOW_PATH) {
        thread::sleep(Duration::from_millis(60));
    }
    if !head.contains(CRASHING_PATH) {
        answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
        return;
    }
    let begun = if head.contains(UNFRAMED_CRASHING_PATH) {
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nid: 1\nda")
    } else {
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n9\r\nid: 1\nda")
    };
    let _ = stream.write_all(begun.as_bytes());
}

/// Starts engines that crash shortly after they start to run the crashing request.
fn engines(node: &TestNode, count: usize) -> Vec<TestEngine> {
    let engines: Vec<TestEngine> = (0..count)
        .map(|_| TestEngine::start(crashing_or_succeeding))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    engines
}

/// Crashes engines that run the crashing request; runs until dropped.
async fn crash_engines(engines: &[TestEngine]) {
    loop {
        let runs_it = |engine: &&TestEngine| {
            !engine.has_crashed()
                && engine
                    .heads()
                    .iter()
                    .any(|head| head.contains(CRASHING_PATH))
        };
        engines.iter().filter(runs_it).for_each(TestEngine::crash);
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

fn crashed_count(engines: &[TestEngine]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

/// Sends the crashing request repeatedly, to the nodes in turn and under new ids.
async fn send_crashing_request(nodes: &[&TestNode], engines: &[TestEngine], path: &str) {
    let arrivals = async {
        for arrival in 0..ARRIVALS {
            let node = nodes[arrival % nodes.len()];
            node.request(&format!("crashing-{arrival}"), path).await;
            node.settle().await;
        }
    };
    tokio::select! {
        () = arrivals => {}
        () = crash_engines(engines) => {}
    }
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

#[rstest]
#[case::resumed_at_other_engines("resumable-stream", 3, CRASHING_PATH)]
#[case::resumed_without_framing("resumable-stream", 3, UNFRAMED_CRASHING_PATH)]
#[case::streamed("stream", 1, CRASHING_PATH)]
#[case::streamed_without_framing("stream", 1, UNFRAMED_CRASHING_PATH)]
#[case::buffered("once", 1, CRASHING_PATH)]
#[case::repeated("repeatable", 2, CRASHING_PATH)]
#[actix_rt::test]
async fn a_crashing_request_is_stopped_however_often_it_is_sent(
    #[case] kind: &str,
    #[case] attempts: u32,
    #[case] path: &str,
) {
    let node = TestNode::start().await;
    node.declare(1, kind, attempts, 1_000);
    let engines = engines(&node, 2 * ARRIVALS);
    node.settle().await;
    send_crashing_request(&[&node], &engines, path).await;
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES);
    let refused = node.request("again", path).await;
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    let other = node.request("other", "/r/other").await;
    assert_eq!(status(&other), "200", "{other}");
}

#[actix_rt::test]
async fn nodes_share_crash_evidence() {
    let first = TestNode::start().await;
    first.declare(1, "once", 1, 1_000);
    let engines = engines(&first, ARRIVALS);
    let second = first.start_beside("node-2").await;
    let third = first.start_beside("node-3").await;
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    send_crashing_request(&[&first, &second, &third], &engines, CRASHING_PATH).await;
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES);
}

#[actix_rt::test]
async fn a_started_node_knows_the_stopped_requests() {
    let first = TestNode::start().await;
    first.declare(1, "once", 1, 1_000);
    let engines = engines(&first, ARRIVALS);
    first.settle().await;
    send_crashing_request(&[&first], &engines, CRASHING_PATH).await;
    let later = first.start_beside("node-2").await;
    later.settle().await;
    send_crashing_request(&[&later], &engines, CRASHING_PATH).await;
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES);
}

/// A node learns of stopped requests from the other nodes if the key-value service has no entries
/// for them.
#[actix_rt::test]
async fn nodes_send_stopped_requests_to_nodes_that_start_later() {
    let first = TestNode::start().await;
    first.store.refuse_writes(STOPPED_PREFIX);
    first.declare(1, "once", 1, 1_000);
    let engines = engines(&first, ARRIVALS);
    first.settle().await;
    send_crashing_request(&[&first], &engines, CRASHING_PATH).await;
    assert!(first.store.entries(STOPPED_PREFIX).is_empty());
    let later = first.start_beside("node-2").await;
    // Nodes need a moment to find each other by their entries, and repeat stopped requests every
    // second.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    send_crashing_request(&[&later], &engines, CRASHING_PATH).await;
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES);
}

/// Crashing engines also end other requests, but only the crashing request is present at each
/// crash.
#[actix_rt::test]
async fn a_request_beside_a_crashing_one_is_served() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let engines = engines(&node, ARRIVALS);
    node.settle().await;
    for arrival in 0..ARRIVALS {
        let id = format!("crashing-{arrival}");
        let crashing = async {
            tokio::select! {
                _ = node.request(&id, CRASHING_PATH) => {}
                () = crash_engines(&engines) => {}
            }
        };
        let beside = node.request("beside", "/r/beside");
        let ((), beside) = tokio::join!(crashing, beside);
        assert_eq!(status(&beside), "200", "{beside}");
    }
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES);
}

/// Engines crash for unrelated reasons while they run the same frequent request.
#[actix_rt::test]
async fn a_request_that_completes_elsewhere_is_not_stopped() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let engines = engines(&node, ARRIVALS);
    node.settle().await;
    for arrival in 0..STOP_AFTER_CRASHES + 2 {
        let id = format!("slow-{arrival}");
        let crash_first = async {
            let runs_it =
                |engine: &&TestEngine| engine.heads().iter().any(|head| id_of(head) == id);
            loop {
                if let Some(engine) = engines.iter().find(runs_it) {
                    return engine.crash();
                }
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let ((), answer) = tokio::join!(crash_first, node.request(&id, SLOW_PATH));
        assert_eq!(status(&answer), "200", "{arrival}: {answer}");
        node.settle().await;
    }
}

#[actix_rt::test]
async fn an_operator_can_release_a_stopped_request() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let engines = engines(&node, ARRIVALS);
    node.settle().await;
    send_crashing_request(&[&node], &engines, CRASHING_PATH).await;
    let stopped = node.store.entries(STOPPED_PREFIX);
    let (key, value) = stopped.first().expect("a stopped request");
    let released = value.replace("\"is_released\":false", "\"is_released\":true");
    node.store.write(key, Some(&released));
    node.settle().await;
    tokio::select! {
        _ = node.request("released", CRASHING_PATH) => {}
        () = crash_engines(&engines) => {}
    }
    assert_eq!(crashed_count(&engines), STOP_AFTER_CRASHES + 1);
}

/// Guards against refusing a frequent request permanently because it was present at engines that
/// another request crashed.
#[actix_rt::test]
async fn a_wrongly_stopped_request_is_released_by_a_trial() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    for round in 0..STOP_AFTER_CRASHES {
        let engine = TestEngine::start(crashing_or_succeeding);
        let name = format!("both-{round}");
        node.write_entry(&name, &engine, "ready");
        node.settle().await;
        let crash = async {
            while engine.heads().len() < 2 {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
            engine.crash();
        };
        let (slow_id, crashing_id) = (format!("slow-{round}"), format!("crashing-{round}"));
        let crashing = node.request(&crashing_id, CRASHING_PATH);
        let slow = node.request(&slow_id, SLOW_PATH);
        let ((), _, slow) = tokio::join!(crash, crashing, slow);
        assert_eq!(status(&slow), "502", "its engine crashed: {slow}");
        node.store.write(&format!("engines/{name}"), None);
        node.settle().await;
    }
    let engines = engines(&node, ARRIVALS);
    node.settle().await;
    let refused = node.request("slow-refused", SLOW_PATH).await;
    assert_eq!(status(&refused), "503", "{refused}");
    // Delay of the first trial of a possible bystander.
    actix_rt::time::sleep(Duration::from_millis(2_100)).await;
    for arrival in 0..3 {
        let served = node
            .request(&format!("slow-back-{arrival}"), SLOW_PATH)
            .await;
        assert_eq!(status(&served), "200", "{served}");
    }
    // The completed trials have cleared the other request, so the crashing one is the only suspect.
    send_crashing_request(&[&node], &engines, CRASHING_PATH).await;
    assert_eq!(crashed_count(&engines), 0);
}

/// Guards against one unreadable entry that hides all stopped requests and held parts from the operator.
#[actix_rt::test]
async fn an_unreadable_entry_is_listed_beside_the_stopped_requests() {
    let store = support::MemoryStore::default();
    let key = format!("{STOPPED_PREFIX}{}", "0".repeat(32));
    store.write(&key, Some(r#"{"engines":[1],"last_crash_unix_ms":5}"#));
    let (no_entry, no_fingerprint) = (
        format!("{STOPPED_PREFIX}{}", "1".repeat(32)),
        format!("{STOPPED_PREFIX}x"),
    );
    store.write(&no_entry, Some("[[["));
    store.write(&no_fingerprint, Some("{}"));
    let listed = stopped_requests(&store).await.expect("a listing");
    assert_eq!(listed.entries.len(), 1);
    assert_eq!(listed.unreadable_keys, [no_entry, no_fingerprint]);
}

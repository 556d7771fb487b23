//! A member whose relay does not deliver changes of engine entries takes them from another.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::EntryRecord;
use rstest::rstest;
use support::{MemoryStore, RelayScript, ScriptedRelay, TestEngine, TestNode, answer, get, id_of};

/// The drain bound of test nodes.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Time after the start until the node follows a relay.
const STEADY_TIME: Duration = Duration::from_millis(2_500);

fn succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

/// The record of an engine's entry, as nodes send it.
fn record(name: &str, engine: &TestEngine, is_accepting: bool, revision: u64) -> EntryRecord {
    let address = engine.address;
    EntryRecord {
        key: format!("engines/{name}"),
        value: Some(format!(
            r#"["engines/{name}","pool","{address}","here",4,{is_accepting},null,"o"]"#
        )),
        revision,
    }
}

/// A member of three relays, of which it follows the first, and an engine known to all.
struct Members {
    node: TestNode,
    relays: Vec<ScriptedRelay>,
    engine: TestEngine,
}

async fn start() -> Members {
    let store: Rc<MemoryStore> = Rc::default();
    let engine = TestEngine::start(succeeding);
    let entry = record("leaving", &engine, true, 1);
    let mut relays = Vec::new();
    for (name, script) in [
        ("relay-1", RelayScript::All),
        ("relay-2", RelayScript::Requests),
        ("relay-3", RelayScript::Requests),
    ] {
        let relay = ScriptedRelay::start(&store, name, script).await;
        relay
            .entries
            .borrow_mut()
            .apply_listing(1, vec![entry.clone()]);
        relays.push(relay);
    }
    let node = TestNode::start_on(&store).await;
    node.wait_for_engines(1).await;
    actix_rt::time::sleep(STEADY_TIME).await;
    Members {
        node,
        relays,
        engine,
    }
}

async fn metrics(node: &TestNode) -> String {
    get(node.metrics, "host: a.example\r\n", "/metrics").await
}

/// Guards against requests to engines that had left for 3.7 s: a relay with a full link lost the changes and the
/// answers to its members' requests, and they asked nobody else, or only when one of its tables arrived.
#[rstest]
#[case::all_tables_arrive(RelayScript::Reports)]
#[case::few_tables_arrive(RelayScript::RareReports)]
#[actix_rt::test]
async fn a_member_whose_relay_answers_no_requests_hears_of_a_drain_from_another(
    #[case] script: RelayScript,
) {
    let Members {
        node,
        relays,
        engine,
    } = start().await;
    assert!(metrics(&node).await.contains("dalestand_reads_store 0\n"));
    relays[0].set_script(script);
    let drain = record("leaving", &engine, false, 2);
    for relay in &relays {
        let mut entries = relay.entries.borrow_mut();
        assert!(entries.insert_if_newer(drain.clone()));
        entries.advance_complete_to(2);
    }
    actix_rt::time::sleep(DRAIN_BOUND).await;
    let metrics = metrics(&node).await;
    assert!(
        metrics.contains("dalestand_engines_accepting 0\n"),
        "{} requests to its relay, {} and {} to the others: {metrics}",
        relays[0].requests.get(),
        relays[1].requests.get(),
        relays[2].requests.get()
    );
}

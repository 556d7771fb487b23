//! Retries of all nodes together, as seen by engines.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::HashMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use support::{MemoryStore, Script, TestEngine, TestNode, answer, get, id_of};

fn succeeding(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "whole");
}

fn refusing(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-refused: 1\r\n", id_of(head));
    answer(stream, "503 Service Unavailable", &headers, "");
}

/// Calls that reached engines beyond the first of each request. The first prefill of a request that
/// an engine accepts does not count.
fn calls_beyond_the_first(engines: &[TestEngine], refuses: &[bool]) -> usize {
    let mut calls: HashMap<String, usize> = HashMap::new();
    let mut is_prefilled: HashMap<String, bool> = HashMap::new();
    for (engine, refuses) in engines.iter().zip(refuses) {
        for head in engine.heads() {
            let id = id_of(&head);
            if id.is_empty() {
                continue;
            }
            let is_free = head.contains("x-prefill")
                && !refuses
                && !is_prefilled.insert(id.clone(), true).unwrap_or(false);
            *calls.entry(id).or_default() += usize::from(!is_free);
        }
    }
    calls.values().map(|count| count.saturating_sub(1)).sum()
}

/// Guards against exceeding the retry budget when most engines refuse: a refused prefill and the
/// run after it both count.
#[rstest]
#[case::one_node(1)]
#[case::several_nodes(3)]
#[actix_rt::test]
async fn retries_of_all_kinds_and_nodes_stay_within_the_budget(#[case] count: usize) {
    const SLACK: u32 = 12;
    const REQUESTS: usize = 60;
    let first = TestNode::start_with_slack(SLACK).await;
    first.declare_prompts(1, "repeatable", 4, 1_000);
    let refuses = [true, true, true, true, true, true, false];
    let engines: Vec<TestEngine> = refuses
        .iter()
        .map(|refuses| TestEngine::start(if *refuses { refusing } else { succeeding }))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        let role = if index < 3 { "prefill" } else { "decode" };
        first.write_entry(&format!("e{index}"), engine, &format!("ready {role}"));
    }
    let mut nodes = vec![first];
    for index in 1..count {
        nodes.push(
            nodes[0]
                .start_beside_with_slack(&format!("node-{}", index + 1), SLACK)
                .await,
        );
    }
    // Nodes need a moment to find each other by their entries, and then share the budget.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    for index in 0..REQUESTS {
        let node = &nodes[index % nodes.len()];
        let headers = format!("x-id: {index}\r\nhost: a.example\r\nx-prompt: 20000\r\n");
        get(node.callers, &headers, "/r/x").await;
        // After this time, engines that refused may be called again.
        actix_rt::time::sleep(Duration::from_millis(25)).await;
    }
    let beyond = calls_beyond_the_first(&engines, &refuses);
    // Nodes use this fraction of the budget at most.
    let spent = f64::from(SLACK) * 0.95;
    assert!(beyond as f64 <= spent, "{beyond} calls beyond the first");
    assert!(beyond > 0, "the budget is used");
}

/// Guards against each start of a node renewing its part of the slack: a node that starts cannot know what its former
/// process used, whatever its settings say.
#[actix_rt::test]
async fn a_restarted_node_does_not_use_the_slack_of_a_window_again() {
    const SLACK: u32 = 12;
    const REQUESTS: usize = 20;
    let engines: Vec<TestEngine> = (0..6).map(|_| TestEngine::start(refusing)).collect();
    let store: Rc<MemoryStore> = Rc::default();
    let mut node = TestNode::start_with_default_budget(&store, SLACK).await;
    node.declare(1, "repeatable", 4, 1_000);
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    // Until the node uses its part of the slack.
    actix_rt::time::sleep(Duration::from_millis(11_500)).await;
    let refuses = [true; 6];
    let mut beyond_before_restart = 0;
    for restart in 0..3 {
        if restart > 0 {
            node.crash();
            node = TestNode::start_with_default_budget(&store, SLACK).await;
        }
        node.wait_for_engines(engines.len()).await;
        node.wait_for_declaration(1).await;
        for index in 0..REQUESTS {
            let headers = format!("x-id: {restart}-{index}\r\nhost: a.example\r\n");
            get(node.callers, &headers, "/r/x").await;
            // After this time, engines that refused may be called again.
            actix_rt::time::sleep(Duration::from_millis(25)).await;
        }
        if restart == 0 {
            beyond_before_restart = calls_beyond_the_first(&engines, &refuses);
        }
    }
    assert!(beyond_before_restart > 0, "the budget is used");
    let beyond = calls_beyond_the_first(&engines, &refuses);
    assert!(
        beyond <= SLACK as usize,
        "{beyond} calls beyond the first, {beyond_before_restart} of them before the restarts"
    );
}

/// Whether the engine of `stalling` reads nothing.
static IS_STALLED: AtomicBool = AtomicBool::new(true);

fn stalling(head: &str, stream: &mut TcpStream) {
    wait_while(&IS_STALLED);
    succeeding(head, stream);
}

/// Whether the engine of `suspended` reads nothing and writes no heartbeats.
static IS_SUSPENDED: AtomicBool = AtomicBool::new(true);

fn suspended(head: &str, stream: &mut TcpStream) {
    wait_while(&IS_SUSPENDED);
    succeeding(head, stream);
}

fn wait_while(condition: &AtomicBool) {
    while condition.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against calls that are given up at a suspended engine counting nowhere when it reads them: by then the retry
/// elsewhere was the first arrival of the request. The engine's entry may expire meanwhile, as it sends no heartbeats.
#[rstest]
#[case::its_entry_stays(stalling, &IS_STALLED, false)]
#[case::its_entry_expires(suspended, &IS_SUSPENDED, true)]
#[actix_rt::test]
async fn calls_that_an_engine_reads_late_are_charged_to_the_budget(
    #[case] script: Script,
    #[case] is_stalled: &AtomicBool,
    #[case] its_entry_expires: bool,
) {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 10_000);
    let engines = [script, succeeding].map(TestEngine::start);
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    for index in 0..10 {
        let headers = format!("x-id: {index}\r\nhost: a.example\r\n");
        let served = get(node.callers, &headers, "/r/x").await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    }
    let given_up = engines[0].heads().len();
    assert!(given_up > 0, "the stalled engine was called");
    if its_entry_expires {
        node.store.write("engines/e0", None);
        node.wait_for_engines(1).await;
        // Longer than the interval at which nodes remove what has expired.
        actix_rt::time::sleep(Duration::from_millis(1_200)).await;
        node.write_entry("e0", &engines[0], "ready");
        node.wait_for_engines(2).await;
    }
    is_stalled.store(false, Ordering::SeqCst);
    // So that the engine that goes on is called again.
    node.write_entry("e1", &engines[1], "draining");
    node.wait_for_engines(1).await;
    let charged =
        format!("dalestand_repeated_sends_total{{outcome=\"read late\",pool=\"pool\"}} {given_up}");
    for index in 10..200 {
        let headers = format!("x-id: {index}\r\nhost: a.example\r\n");
        get(node.callers, &headers, "/r/x").await;
        let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
        if metrics.lines().any(|line| line == charged) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{charged} is not among the metrics");
}

//! A node with engines that prefill prompts: queues, KV caches used elsewhere, and retries.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::HashMap;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use support::{Script, TestEngine, TestNode, get, id_of, refusing, status, succeeding};

/// Guards against sending more than a slow link can carry: requests would reach engines seconds
/// later, when these may be gone.
#[actix_rt::test]
async fn bytes_waiting_for_the_link_count_as_a_queue() {
    // At this rate, the link takes two seconds for one request head.
    const LINK_MBPS: f64 = 0.0025;
    let node = TestNode::start_with_link(LINK_MBPS).await;
    node.declare_prompts(1, "stream", 1, 3_000);
    let engine = TestEngine::start(succeeding);
    node.write_entry("e0", &engine, "ready decode");
    node.settle().await;
    let head = |id: u32| format!("x-id: {id}\r\nhost: a.example\r\nx-prompt: 100\r\n");
    let first = get(node.callers, &head(1), "/r/x").await;
    assert_eq!(status(&first), "200", "{first}");
    let second = get(node.callers, &head(2), "/r/x").await;
    assert_eq!(status(&second), "503", "the link is busy: {second}");
    assert!(second.contains("retry-after"), "{second}");
    actix_rt::time::sleep(Duration::from_millis(2_400)).await;
    let third = get(node.callers, &head(3), "/r/x").await;
    assert_eq!(status(&third), "200", "{third}");
}

fn prefilling_but_not_running(head: &str, stream: &mut TcpStream) {
    if head.contains("x-prefill: 1") {
        succeeding(head, stream);
    } else {
        refusing(head, stream);
    }
}

fn slow(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(700));
    succeeding(head, stream);
}

/// Guards against starting requests that queues would make late: they are refused before any engine
/// is called.
#[actix_rt::test]
async fn a_request_that_queues_make_late_is_refused_at_once() {
    let node = TestNode::start().await;
    node.declare_prompts(1, "stream", 1, 3_000);
    let engine = TestEngine::start(slow);
    node.write_entry("e0", &engine, "ready decode");
    node.settle().await;
    let head = |id: u32| format!("x-id: {id}\r\nhost: a.example\r\nx-prompt: 15000\r\n");
    let callers = node.callers;
    let first = actix_rt::spawn(async move { get(callers, &head(1), "/r/x").await });
    node.settle().await;
    let asked = Instant::now();
    let second = get(callers, &head(2), "/r/x").await;
    assert_eq!(status(&second), "503", "{second}");
    assert!(second.contains("retry-after: 0."), "{second}");
    assert!(asked.elapsed() < Duration::from_millis(300));
    let first = first.await.expect("no panic");
    assert_eq!(status(&first), "200", "{first}");
    let heads = engine.heads();
    let ran = heads.iter().filter(|head| head.starts_with("GET /r/x"));
    assert_eq!(ran.count(), 1, "the refused request did not run");
}

/// Number of nodes after which the chance that none of them calls a given one of two equal engines
/// first is one in a million.
const MAX_NODES: usize = 20;

/// Guards against prefilling a prompt again because the first decode engine was full.
#[actix_rt::test]
async fn another_engine_uses_the_kv_cache_that_a_full_one_refused() {
    // Equal engines are chosen at random: half of the nodes call the full one first.
    for _ in 0..MAX_NODES {
        if continues_after_refusal().await {
            return;
        }
    }
    panic!("the full engine was never called first");
}

/// Sends a prompt to a node with two equal decode engines, one of them full, and checks that it is
/// prefilled once and answered. Returns whether the full engine was called.
async fn continues_after_refusal() -> bool {
    let node = TestNode::start().await;
    node.declare_prompts(1, "stream", 1, 1_000);
    let scripts: [Script; 4] = [succeeding, succeeding, refusing, succeeding];
    let engines = scripts.map(TestEngine::start);
    node.write_entry("prefill-a", &engines[0], "ready prefill");
    node.write_entry("prefill-b", &engines[1], "ready prefill");
    node.write_entry("decode-a", &engines[2], "ready decode");
    node.write_entry("decode-b", &engines[3], "ready decode");
    node.settle().await;
    let headers = "x-id: 1\r\nhost: a.example\r\nx-prompt: 60000\r\n";
    let answer = get(node.callers, headers, "/r/x").await;
    assert_eq!(status(&answer), "200", "{answer}");
    let prefilled = engines.iter().flat_map(TestEngine::heads);
    let prefilled = prefilled.filter(|head| head.contains("x-prefill: 1"));
    assert_eq!(prefilled.count(), 1);
    let refused = engines[2].heads();
    let refused = refused.iter().filter(|head| head.starts_with("GET /r/x"));
    let refused = refused.count();
    assert!(refused <= 1, "the full engine was called {refused} times");
    refused == 1
}

/// Guards against retries that the budget does not count: a repeated prefill and the run after it
/// are two sends.
#[actix_rt::test]
async fn every_retry_is_taken_from_the_budget() {
    const SLACK: u32 = 4;
    let node = TestNode::start_with_slack(SLACK).await;
    node.declare_prompts(1, "stream", 1, 1_000);
    let roles = [
        "prefill", "prefill", "prefill", "decode", "decode", "decode",
    ];
    let engines = roles.map(|_| TestEngine::start(prefilling_but_not_running));
    for (index, (engine, role)) in engines.iter().zip(roles).enumerate() {
        node.write_entry(&format!("e{index}"), engine, &format!("ready {role}"));
    }
    node.settle().await;
    for request in 0..12 {
        let headers = format!("x-id: {request}\r\nhost: a.example\r\nx-prompt: 60000\r\n");
        let answer = get(node.callers, &headers, "/r/x").await;
        assert_eq!(status(&answer), "503", "{answer}");
    }
    let heads: Vec<String> = engines.iter().flat_map(TestEngine::heads).collect();
    let mut sends: HashMap<(String, bool), u32> = HashMap::new();
    for head in heads.iter().filter(|head| head.starts_with("GET /r/x")) {
        let is_prefill = head.contains("x-prefill: 1");
        *sends.entry((id_of(head), is_prefill)).or_default() += 1;
    }
    let repeated: u32 = sends.values().map(|sends| sends - 1).sum();
    assert!(repeated > 0, "some sends are retries");
    assert!(repeated <= SLACK, "{repeated} retries");
}

//! Engines that announce a request rate limit for all nodes together.
//!
//! Guards against nodes that ignore such a limit, and against nodes that each keep to it alone and
//! exceed it together.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of};

/// Rate limit of the engines in these tests, in requests per second.
const LIMIT: f64 = 2.0;

/// An engine may get [`FACTOR`] times its limit in a window, plus [`BURST`] requests: the required
/// bound.
const FACTOR: f64 = 1.5;

/// Requests that an engine may get in a window beyond [`FACTOR`] times its limit.
const BURST: f64 = 5.0;

/// Share of the limit that has to be used if there are enough requests.
const USED_SHARE: f64 = 0.5;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests after which the engine no longer announces a limit.
const LIMIT_ENDS: usize = 4;

/// Time for nodes to exchange an engine's signals.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Requests sent together.
const AT_ONCE: usize = 4;

/// Time between rounds of requests.
const PAUSE: Duration = Duration::from_millis(100);

fn succeeding(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "whole");
}

/// Answers after a delay, so that an engine that answers at once looks better.
fn slow(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(80));
    succeeding(head, stream);
}

/// Answers, and announces its limit.
fn limited(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-limit: {LIMIT}\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "whole");
}

/// Refuses, and announces its limit.
fn refusing_and_limited(head: &str, stream: &mut TcpStream) {
    let headers = format!(
        "x-id: {}\r\nx-refused: 1\r\nx-limit: {LIMIT}\r\n",
        id_of(head)
    );
    answer(stream, "503 Service Unavailable", &headers, "");
}

/// Answers with a limit that cannot be parsed.
fn unreadable(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-limit: few\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "whole");
}

/// Number of callers' requests sent to an engine, without the nodes' internal calls.
fn requests(engine: &TestEngine) -> usize {
    let heads = engine.heads().into_iter();
    heads.filter(|head| head.contains("x-id: ")).count()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// Sends requests to all nodes in turn for one window, and returns the answers.
async fn send_for_a_window(nodes: &[&TestNode], headers: &str) -> Vec<String> {
    let mut answers = Vec::new();
    let begun = tokio::time::Instant::now();
    let mut round = 0;
    while begun.elapsed() < WINDOW {
        round += 1;
        let at_once = (0..AT_ONCE * nodes.len()).map(|index| {
            let node = nodes[index % nodes.len()];
            let headers = format!("x-id: {round}-{index}\r\nhost: a.example\r\n{headers}");
            async move { support::get(node.callers, &headers, "/r/x").await }
        });
        answers.extend(futures_util::future::join_all(at_once).await);
        actix_rt::time::sleep(PAUSE).await;
    }
    answers
}

fn allowed() -> f64 {
    FACTOR * LIMIT * WINDOW.as_secs_f64() + BURST
}

/// Writes the entry of each engine and sends it one request, so that the node learns its limit. The
/// entries are deleted in between, which must not end a limit.
async fn learn_limits(node: &TestNode, engines: &[TestEngine]) {
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("e{index}");
        node.write_entry(&name, engine, "ready");
        node.settle().await;
        node.request(&name, "/r/x").await;
        node.store.write(&format!("engines/{name}"), None);
        node.settle().await;
    }
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.settle().await;
}

/// Starts three nodes that know each other.
async fn fleet(kind: &str) -> [TestNode; 3] {
    let first = TestNode::start().await;
    first.declare(1, kind, 3, 1_000);
    let second = first.start_beside("node-2").await;
    let third = first.start_beside("node-3").await;
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    [first, second, third]
}

#[rstest]
#[case::with_a_whole_answer(limited)]
#[case::with_a_refusal(refusing_and_limited)]
#[actix_rt::test]
async fn all_nodes_together_keep_the_limit_of_an_engine(
    #[case] script: support::Script,
    #[values("repeatable", "once", "resumable-stream")] kind: &str,
) {
    let [first, second, third] = fleet(kind).await;
    let (limited_engine, other) = (TestEngine::start(script), TestEngine::start(slow));
    first.write_entry("limited", &limited_engine, "ready");
    first.settle().await;
    first.request("first", "/r/x").await;
    first.write_entry("other", &other, "ready");
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    // The relays that issue permits have to know each other, which `fleet` waits for.
    let before = requests(&limited_engine);
    let answers = send_for_a_window(&[&first, &second, &third], "").await;
    let arrived = requests(&limited_engine) - before;
    assert!(arrived as f64 <= allowed(), "{arrived} requests");
    let used = USED_SHARE * LIMIT * WINDOW.as_secs_f64();
    assert!(arrived as f64 >= used, "{arrived} requests only");
    let unserved = answers.iter().find(|answer| status(answer) != "200");
    assert_eq!(unserved, None, "the other engine can take every request");
}

/// Announces a limit until [`LIMIT_ENDS`] requests have come after the first.
fn limited_for_a_time(head: &str, stream: &mut TcpStream) {
    static SEEN: AtomicUsize = AtomicUsize::new(0);
    if SEEN.fetch_add(1, Ordering::Relaxed) <= LIMIT_ENDS {
        limited(head, stream);
    } else {
        succeeding(head, stream);
    }
}

/// An answer without a limit ends the limit at all nodes, whichever node receives it.
#[actix_rt::test]
async fn a_limit_ends_at_all_nodes_with_the_first_answer_without_one() {
    let [first, second, third] = fleet("once").await;
    let limited_engine = TestEngine::start(limited_for_a_time);
    first.write_entry("limited", &limited_engine, "ready");
    first.settle().await;
    first.request("first", "/r/x").await;
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    send_for_a_window(&[&first, &second, &third], "").await;
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    for node in [&first, &second, &third] {
        for index in 0..AT_ONCE {
            let answer = node.request(&format!("after-{index}"), "/r/x").await;
            assert_eq!(status(&answer), "200", "{answer}");
        }
    }
}

/// A value that is not a rate neither sets nor ends a limit.
#[actix_rt::test]
async fn an_unreadable_limit_changes_nothing() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let engine = TestEngine::start(unreadable);
    node.write_entry("engine", &engine, "ready");
    node.settle().await;
    for index in 0..AT_ONCE {
        let answer = node.request(&index.to_string(), "/r/x").await;
        assert_eq!(status(&answer), "200", "{answer}");
    }
    let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let counted = format!("dalestand_engine_limits_unreadable_total {AT_ONCE}");
    assert!(metrics.lines().any(|line| line == counted), "{metrics}");
}

#[actix_rt::test]
async fn a_prefilled_prompt_continues_within_the_limit() {
    let node = TestNode::start().await;
    node.declare_prompts(1, "resumable-stream", 3, 3_000);
    let prefill = TestEngine::start(limited);
    let (limited_engine, other) = (TestEngine::start(limited), TestEngine::start(slow));
    node.write_entry("prefill", &prefill, "ready prefill");
    node.write_entry("limited", &limited_engine, "ready decode");
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let long = "x-prompt: 20000\r\n";
    let headers = format!("x-id: first\r\nhost: a.example\r\n{long}");
    support::get(node.callers, &headers, "/r/x").await;
    node.write_entry("other", &other, "ready decode");
    node.settle().await;
    let before = [&prefill, &limited_engine].map(requests);
    send_for_a_window(&[&node], long).await;
    for (engine, before) in [&prefill, &limited_engine].into_iter().zip(before) {
        let arrived = requests(engine) - before;
        assert!(arrived as f64 <= allowed(), "{arrived} requests");
    }
}

/// Rate-limited engines look idle; those without a permit left must not use up the calls allowed
/// for a request.
#[actix_rt::test]
async fn a_request_skips_limited_engines_without_a_permit() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let limited: Vec<TestEngine> = (0..12).map(|_| TestEngine::start(limited)).collect();
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let other = TestEngine::start(slow);
    learn_limits(&node, &limited).await;
    node.write_entry("other", &other, "ready");
    node.settle().await;
    let answers = send_for_a_window(&[&node], "").await;
    let unserved = answers.iter().find(|answer| status(answer) != "200");
    assert_eq!(unserved, None, "the other engine can take every request");
}

#[actix_rt::test]
async fn callers_get_a_retry_after_if_all_engines_are_limited() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let engines: Vec<TestEngine> = (0..3).map(|_| TestEngine::start(limited)).collect();
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    learn_limits(&node, &engines).await;
    let before: usize = engines.iter().map(requests).sum();
    let answers = send_for_a_window(&[&node], "").await;
    let arrived = engines.iter().map(requests).sum::<usize>() - before;
    let of_all = allowed() * engines.len() as f64;
    assert!(arrived as f64 <= of_all, "{arrived} requests");
    let served = answers.iter().filter(|answer| status(answer) == "200");
    let wanted = LIMIT * WINDOW.as_secs_f64() * engines.len() as f64;
    assert!(
        served.count() as f64 >= wanted * 0.75,
        "the limits are used"
    );
    let refused = answers.iter().filter(|answer| status(answer) == "503");
    assert!(refused.clone().count() > 0);
    let has_retry_after = |answer: &&String| answer.contains("retry-after: ");
    assert!(
        refused.clone().all(|answer| has_retry_after(&answer)),
        "{answers:?}"
    );
}

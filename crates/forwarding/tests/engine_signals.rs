//! Engines that announce in their answers that they drain or ask for a backoff.
//!
//! Guards against sending requests to such engines because their entries still say ready, or
//! because they look idle.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of, refusing, status, succeeding};

/// Backoff that engines of these tests ask for.
const BACKOFF: Duration = Duration::from_millis(1_500);

/// Calls that may reach an engine after its answer, as they were sent before the answer arrived.
const CROSSING: usize = 1;

/// Rounds in a series of requests.
const SERIES: usize = 12;

/// Concurrent requests in a round: enough to make the engine that takes them look busier than an
/// idle one.
const AT_ONCE: usize = 4;

/// Answers, and announces that it drains.
fn draining(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let headers = format!("x-id: {id}\r\nx-drains: 1\r\n");
    answer(stream, "200 OK", &headers, "whole");
}

/// Refuses, and announces that it drains.
fn refusing_and_draining(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let headers = format!("x-id: {id}\r\nx-refused: 1\r\nx-drains: 1\r\n");
    answer(stream, "503 Service Unavailable", &headers, "");
}

/// Fails, and announces that it drains.
fn failing_and_draining(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let headers = format!("x-id: {id}\r\nx-drains: 1\r\n");
    answer(stream, "500 Internal Server Error", &headers, "");
}

/// Refuses, and asks for a backoff.
fn backing_off(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let backoff_ms = BACKOFF.as_millis();
    let headers = format!("x-id: {id}\r\nx-refused: 1\r\nx-backoff-ms: {backoff_ms}\r\n");
    answer(stream, "503 Service Unavailable", &headers, "");
}

/// The same after a delay, so that other requests are sent before the answer arrives.
fn backing_off_late(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(150));
    backing_off(head, stream);
}

/// Answers after a delay, so that an engine that answers at once looks better.
fn slow(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(80));
    succeeding(head, stream);
}

/// Heads of the callers' requests sent to an engine, without the node's internal calls.
fn requests(engine: &TestEngine) -> Vec<String> {
    let heads = engine.heads().into_iter();
    heads.filter(|head| head.contains("x-id: ")).collect()
}

/// The `Retry-After` value of an answer, in seconds.
fn retry_after_s(answer: &str) -> f64 {
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Sends a series of requests spread over `time`, [`AT_ONCE`] at a time, and returns the answers.
async fn send_series(node: &TestNode, name: &str, time: Duration) -> Vec<String> {
    let mut answers = Vec::new();
    for round in 0..SERIES {
        let at_once = (0..AT_ONCE).map(|index| async move {
            let id = format!("{name}-{round}-{index}");
            node.request(&id, "/r/x").await
        });
        answers.extend(futures_util::future::join_all(at_once).await);
        actix_rt::time::sleep(time / SERIES as u32).await;
    }
    answers
}

#[rstest]
#[case::with_a_whole_answer(draining)]
#[case::with_a_refusal(refusing_and_draining)]
#[case::with_a_failure(failing_and_draining)]
#[actix_rt::test]
async fn an_engine_that_announces_draining_gets_no_further_request(
    #[case] script: support::Script,
    #[values("repeatable", "once", "stream", "resumable-stream")] kind: &str,
) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, 1_000);
    let (leaving, staying) = (TestEngine::start(script), TestEngine::start(slow));
    node.write_entry("leaving", &leaving, "ready");
    node.settle().await;
    node.request("first", "/r/x").await;
    assert_eq!(leaving.heads().len(), 1);
    node.write_entry("staying", &staying, "ready");
    node.settle().await;
    let answers = send_series(&node, "later", Duration::from_millis(300)).await;
    assert_eq!(leaving.heads().len(), 1, "its entry still says ready");
    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
}

#[actix_rt::test]
async fn an_entry_of_the_same_run_does_not_end_draining() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let (leaving, staying) = (TestEngine::start(draining), TestEngine::start(succeeding));
    node.write_entry("leaving", &leaving, "ready");
    node.write_entry("staying", &staying, "ready");
    node.settle().await;
    while leaving.heads().is_empty() {
        node.request("first", "/r/x").await;
    }
    // The entry is rewritten, deleted and written again, as by an engine or writer with older
    // state.
    node.write_entry("leaving", &leaving, "ready");
    node.settle().await;
    node.store.write("engines/leaving", None);
    node.settle().await;
    node.write_entry("leaving", &leaving, "ready");
    node.settle().await;
    send_series(&node, "later", Duration::from_millis(200)).await;
    assert_eq!(leaving.heads().len(), 1);
    // A new run at the same address is another engine.
    node.write_entry("leaving-again", &leaving, "ready");
    node.store.write("engines/staying", None);
    node.settle().await;
    node.request("last", "/r/x").await;
    assert_eq!(leaving.heads().len(), 2);
}

#[actix_rt::test]
async fn all_nodes_learn_that_an_engine_drains() {
    let first = TestNode::start().await;
    first.declare(1, "repeatable", 3, 1_000);
    let (leaving, staying) = (TestEngine::start(draining), TestEngine::start(succeeding));
    first.write_entry("leaving", &leaving, "ready");
    first.write_entry("staying", &staying, "ready");
    let second = first.start_beside("node-2").await;
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    while leaving.heads().is_empty() {
        first.request("first", "/r/x").await;
    }
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let before = leaving.heads().len();
    send_series(&second, "later", Duration::from_millis(300)).await;
    assert_eq!(leaving.heads().len(), before);
}

#[rstest]
#[case::one_after_the_other(backing_off)]
#[case::crossing(backing_off_late)]
#[actix_rt::test]
async fn an_engine_that_asks_for_backoff_gets_no_call_until_it_is_over(
    #[case] script: support::Script,
    #[values("repeatable", "once", "resumable-stream")] kind: &str,
) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, 2_000);
    let (in_backoff, working) = (TestEngine::start(script), TestEngine::start(slow));
    node.write_entry("in-backoff", &in_backoff, "ready");
    node.settle().await;
    node.request("first", "/r/x").await;
    assert_eq!(in_backoff.heads().len(), 1);
    node.write_entry("working", &working, "ready");
    node.settle().await;
    let answers = send_series(&node, "later", BACKOFF.mul_f64(0.8)).await;
    assert!(
        in_backoff.heads().len() <= 1 + CROSSING,
        "{} calls",
        in_backoff.heads().len()
    );
    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
}

#[actix_rt::test]
async fn an_entry_that_lapses_does_not_end_a_backoff() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 2_000);
    let in_backoff = TestEngine::start(backing_off);
    node.write_entry("in-backoff", &in_backoff, "ready");
    node.settle().await;
    node.request("first", "/r/x").await;
    node.store.write("engines/in-backoff", None);
    node.settle().await;
    node.write_entry("in-backoff", &in_backoff, "ready");
    node.settle().await;
    let again = node.request("again", "/r/x").await;
    assert_eq!(status(&again), "503", "{again}");
    assert_eq!(in_backoff.heads().len(), 1);
}

#[actix_rt::test]
async fn while_all_engines_back_off_none_is_called_and_callers_get_a_retry_after() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let engines: Vec<TestEngine> = (0..4).map(|_| TestEngine::start(backing_off)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.settle().await;
    let calls = || {
        engines
            .iter()
            .map(|engine| engine.heads().len())
            .sum::<usize>()
    };
    for index in 0..engines.len() {
        node.request(&format!("first-{index}"), "/r/x").await;
    }
    assert_eq!(calls(), engines.len(), "each engine has refused once");
    let answers = send_series(&node, "later", Duration::from_millis(300)).await;
    assert_eq!(calls(), engines.len());
    for answer in &answers {
        assert_eq!(status(answer), "503", "{answer}");
        let retry_after_s = retry_after_s(answer);
        assert!(
            (0.5..=BACKOFF.as_secs_f64() + 0.5).contains(&retry_after_s),
            "{retry_after_s}"
        );
    }
}

#[actix_rt::test]
async fn retry_after_ignores_a_backoff_if_another_engine_accepts_calls() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 3, 1_000);
    let (in_backoff, full) = (TestEngine::start(backing_off), TestEngine::start(refusing));
    node.write_entry("in-backoff", &in_backoff, "ready");
    node.write_entry("full", &full, "ready");
    node.settle().await;
    for index in 0..4 {
        let answer = node.request(&index.to_string(), "/r/x").await;
        assert_eq!(status(&answer), "503", "{answer}");
        let retry_after_s = retry_after_s(&answer);
        assert!(retry_after_s <= 0.5, "{retry_after_s}");
    }
}

#[actix_rt::test]
async fn a_prefilled_request_does_not_continue_at_a_draining_engine() {
    let node = TestNode::start().await;
    node.declare_prompts(1, "resumable-stream", 3, 3_000);
    let prefill = TestEngine::start(slow);
    let (leaving, staying) = (TestEngine::start(draining), TestEngine::start(succeeding));
    node.write_entry("prefill", &prefill, "ready prefill");
    node.write_entry("leaving", &leaving, "ready decode");
    node.settle().await;
    let long = async {
        let headers = "x-id: long\r\nhost: a.example\r\nx-prompt: 20000\r\n";
        support::get(node.callers, headers, "/r/x").await
    };
    let short = async {
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        node.request("short", "/r/x").await;
        node.write_entry("staying", &staying, "ready decode");
    };
    let (answered, ()) = tokio::join!(long, short);
    let heads = prefill.heads();
    let is_prefilled_separately = heads.iter().any(|head| head.contains("x-prefill"));
    assert!(is_prefilled_separately, "{heads:?}");
    assert_eq!(status(&answered), "200", "{answered}");
    let at_leaving = requests(&leaving);
    assert_eq!(at_leaving.len(), 1, "{at_leaving:?}");
}

#[actix_rt::test]
async fn a_kv_cache_of_a_draining_engine_is_used() {
    let node = TestNode::start().await;
    node.declare_prompts(1, "resumable-stream", 3, 3_000);
    let (prefill, decode) = (TestEngine::start(draining), TestEngine::start(succeeding));
    node.write_entry("prefill", &prefill, "ready prefill");
    node.write_entry("decode", &decode, "ready decode");
    node.settle().await;
    let headers = "x-id: long\r\nhost: a.example\r\nx-prompt: 20000\r\n";
    let answered = support::get(node.callers, headers, "/r/x").await;
    assert_eq!(status(&answered), "200", "{answered}");
    assert_eq!(requests(&prefill).len(), 1);
    let at_decode = requests(&decode);
    assert_eq!(at_decode.len(), 1, "{at_decode:?}");
    assert!(at_decode[0].contains("x-memory"), "{at_decode:?}");
}

/// Announces to quick requests that it drains, and never answers slow ones.
fn draining_and_busy(head: &str, stream: &mut TcpStream) {
    if head.contains("/r/slow") {
        thread::sleep(Duration::from_secs(5));
    } else {
        draining(head, stream);
    }
}

#[actix_rt::test]
async fn the_end_of_a_draining_engine_is_not_counted_as_a_crash() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 3_000);
    let leaving = TestEngine::start(draining_and_busy);
    node.write_entry("leaving", &leaving, "ready");
    node.settle().await;
    let slow = node.request("slow", "/r/slow");
    let ends = async {
        node.settle().await;
        node.request("quick", "/r/x").await;
        leaving.crash();
        node.store.write("engines/leaving", None);
        node.settle().await;
    };
    let (broken, ()) = tokio::join!(slow, ends);
    assert_eq!(status(&broken), "502", "{broken}");
    let metrics = support::get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let attributed = "dalestand_engine_crashes_attributed_total 0";
    assert!(metrics.lines().any(|line| line == attributed), "{metrics}");
}

#[actix_rt::test]
async fn calls_return_to_an_engine_one_by_one_after_its_backoff() {
    let node = TestNode::start().await;
    // A repeatable request would be retried elsewhere before the delayed answer.
    node.declare(1, "once", 1, 2_000);
    let in_backoff = TestEngine::start(backing_off_late);
    node.write_entry("in-backoff", &in_backoff, "ready");
    node.settle().await;
    node.request("first", "/r/x").await;
    actix_rt::time::sleep(BACKOFF.mul_f64(1.4)).await;
    let burst = (0..SERIES).map(|index| {
        let node = &node;
        async move { node.request(&format!("burst-{index}"), "/r/x").await }
    });
    let answers = futures_util::future::join_all(burst).await;
    assert_eq!(
        in_backoff.heads().len(),
        2,
        "one call probes whether it is over"
    );
    assert!(answers.iter().all(|answer| status(answer) == "503"));
}

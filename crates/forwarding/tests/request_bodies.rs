//! Requests whose bodies are not wanted, or do not arrive.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, status, succeeding};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Time limit of the route, in milliseconds.
const LIMIT_MS: u64 = 1_000;

/// Time limit for an answer: many times that of the route, and less than a body had before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves a route; a quarter of its megabyte is for bodies.
async fn start() -> (TestNode, TestEngine) {
    let store = std::rc::Rc::default();
    let node = TestNode::start_on_with(&store, "memory_mb = 1\n").await;
    node.declare(1, "once", 1, LIMIT_MS);
    let engine = TestEngine::start(succeeding);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    node.settle().await;
    (node, engine)
}

/// Sends the head of a request and `body`; returns what is answered first.
async fn first_answer(node: &TestNode, path: &str, headers: &str, body: &str) -> String {
    let mut caller = TcpStream::connect(node.callers).await.expect("connected");
    let text = format!("POST {path} HTTP/1.1\r\nx-id: 1\r\nhost: a.example\r\n{headers}\r\n{body}");
    caller.write_all(text.as_bytes()).await.expect("written");
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(ANSWER_TIMEOUT, caller.read(&mut answer)).await;
    let length = read.expect("no silence").expect("no reset");
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against callers that are asked for a body which is refused when it has been sent.
#[rstest]
#[case::wanted("/r/x", 100, "100")]
#[case::without_route("/none", 100, "404")]
#[case::too_long("/r/x", 1 << 30, "413")]
#[case::without_memory("/r/x", 1 << 20, "503")]
#[actix_rt::test]
async fn a_body_is_asked_for_only_if_it_is_wanted(
    #[case] path: &str,
    #[case] length: usize,
    #[case] expected: &str,
) {
    let (node, _engine) = start().await;
    let headers = format!("content-length: {length}\r\nexpect: 100-continue\r\n");
    let answer = first_answer(&node, path, &headers, "").await;
    assert_eq!(status(&answer), expected, "{answer}");
    let has_delay = answer.contains("retry-after");
    assert_eq!(has_delay, expected == "503", "{answer}");
}

/// Guards against requests that wait for their bodies when nobody waits for their answers any more, and against a refusal that does
/// not say that they have not run.
#[rstest]
#[case::of_known_length("content-length: 100\r\n", "~~~")]
#[case::in_chunks("transfer-encoding: chunked\r\n", "3\r\n~~~\r\n")]
#[case::with_endless_framing("transfer-encoding: chunked\r\n", &["3\r\n~~~\r\n1;", &"x".repeat(100_000)].concat())]
#[actix_rt::test]
async fn a_body_that_does_not_arrive_is_refused_at_the_time_limit(
    #[case] headers: &str,
    #[case] body: &str,
) {
    let (node, engine) = start().await;
    let answer = first_answer(&node, "/r/x", headers, body).await;
    assert_eq!(status(&answer), "408", "{answer}");
    assert!(engine.heads().is_empty(), "it has not run");
    let refused = "dalestand_request_bodies_refused_total{reason=\"BodyTooSlow\"}";
    node.wait_for_metric(refused, 1).await;
    node.wait_for_metric("dalestand_request_body_bytes", 0)
        .await;
}

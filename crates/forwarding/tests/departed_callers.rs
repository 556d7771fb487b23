//! Callers whose connections end before their answers are complete.
//!
//! Guards against requests that end without a trace: each is counted by how far it had come.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, id_of, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Pause of the engine before its answer and within it.
const ENGINE_PAUSE: Duration = Duration::from_millis(300);

fn hesitating(head: &str, stream: &mut std::net::TcpStream) {
    std::thread::sleep(ENGINE_PAUSE);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n",
        id_of(head)
    );
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    std::thread::sleep(ENGINE_PAUSE);
    let _ = stream.write_all(b"0\r\n\r\n");
}

async fn node_with_engine() -> (TestNode, TestEngine) {
    let node = TestNode::start().await;
    node.declare_with_long_objective(1, "stream", 1, 10_000);
    let engine = TestEngine::start(hesitating);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    (node, engine)
}

async fn wait_for_departures(node: &TestNode, phase: &str, count: usize) {
    let name = format!("dalestand_callers_left_total{{phase=\"{phase}\"}}");
    node.wait_for_metric(&name, count).await;
}

#[rstest]
#[case::before_the_answer(ENGINE_PAUSE / 2, "waiting")]
#[case::within_the_answer(ENGINE_PAUSE * 3 / 2, "answering")]
#[actix_rt::test]
async fn a_caller_that_leaves_is_counted_by_how_far_its_request_has_come(
    #[case] left_after: Duration,
    #[case] phase: &str,
) {
    let (node, _engine) = node_with_engine().await;
    let mut caller = TcpStream::connect(node.callers).await.expect("connected");
    let head = "POST /r/x HTTP/1.1\r\nx-id: 1\r\nhost: a.example\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("written");
    actix_rt::time::sleep(left_after).await;
    drop(caller);
    wait_for_departures(&node, phase, 1).await;
}

#[actix_rt::test]
async fn a_caller_that_gets_its_whole_answer_or_refusal_is_not_counted() {
    let (node, _engine) = node_with_engine().await;
    let mut caller = TcpStream::connect(node.callers).await.expect("connected");
    let mut buffer = vec![0; 4_096];
    for (path, expected) in [("/none/x", "404"), ("/r/x", "200")] {
        let head = format!("GET {path} HTTP/1.1\r\nx-id: 1\r\nhost: a.example\r\n\r\n");
        caller.write_all(head.as_bytes()).await.expect("written");
        let mut answer = String::new();
        while !answer.ends_with("0\r\n\r\n") && !answer.contains("content-length: 0") {
            let length = caller.read(&mut buffer).await.expect("no reset");
            assert!(length > 0, "{answer}");
            answer += &String::from_utf8_lossy(&buffer[..length]);
        }
        assert_eq!(status(&answer), expected);
    }
    drop(caller);
    // One that leaves shows that the others would have been counted by now.
    let mut leaving = TcpStream::connect(node.callers).await.expect("connected");
    let head = "GET /r/x HTTP/1.1\r\nx-id: 2\r\nhost: a.example\r\n\r\n";
    leaving.write_all(head.as_bytes()).await.expect("written");
    actix_rt::time::sleep(ENGINE_PAUSE * 3 / 2).await;
    drop(leaving);
    wait_for_departures(&node, "answering", 1).await;
}

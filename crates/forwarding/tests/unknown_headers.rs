//! Answers with unknown headers.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;

use support::{TestEngine, TestNode, answer, get, id_of, status};

/// Unknown header names sent by an engine: more than are logged.
const UNKNOWN_HEADERS: usize = 100;

/// Answers with unknown headers, one of them long.
fn answer_with_unknown_headers(head: &str, stream: &mut TcpStream) {
    let mut headers = format!(
        "x-id: {}\r\nx-new-{}: secret\r\n",
        id_of(head),
        "y".repeat(8_000)
    );
    for index in 0..UNKNOWN_HEADERS / 2 {
        headers.push_str(&format!("x-new-{}-{index}: secret\r\n", id_of(head)));
    }
    answer(stream, "200 OK", &headers, "whole");
}

#[actix_rt::test]
async fn unknown_headers_are_counted_and_change_nothing() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    let engine = TestEngine::start(answer_with_unknown_headers);
    node.write_entry("engine", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    for index in 0..2 {
        let answered = node.request(&index.to_string(), "/r/x").await;
        assert_eq!(status(&answered), "200", "{answered}");
    }
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let counted = format!(
        "dalestand_unknown_headers_total{{sender=\"engine\"}} {}",
        UNKNOWN_HEADERS + 2
    );
    assert!(metrics.lines().any(|line| line == counted), "{metrics}");
}

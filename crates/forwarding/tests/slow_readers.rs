//! Callers that request long answers and do not read them, beside ordinary callers.
//!
//! Guards against unbounded memory for buffered answers. Over loopback the kernel buffers most of
//! the data, so the limit itself is tested with `HeldBytes`; this test checks that ordinary callers
//! are served in time and that the memory is released.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use support::{TestEngine, TestNode, answer, get, id_of};
use tokio::io::AsyncWriteExt as _;

/// Callers that read nothing.
const SLOW_CALLERS: usize = 500;

/// Length of their answers: just short enough to be buffered.
const LONG_ANSWER: usize = 1_000_000;

/// Maximum number of bytes that a node may hold for them.
const MAX_HELD_MIB: usize = 16;

/// Requests of ordinary callers.
const ORDINARY: usize = 100;

/// Bound on the 99th percentile of their latency: the objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(100);

static LONG: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; LONG_ANSWER]);

fn long_or_short(head: &str, stream: &mut TcpStream) {
    if !head.contains("/r/long") {
        let headers = format!("x-id: {}\r\n", id_of(head));
        return answer(stream, "200 OK", &headers, "whole");
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-length: {LONG_ANSWER}\r\n\r\n",
        id_of(head)
    );
    // Write errors are ignored, as the node may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&LONG);
}

/// Bytes of buffered answers that a node holds now.
async fn held(node: &TestNode) -> usize {
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("dalestand_held_answer_bytes "));
    line.and_then(|value| value.parse().ok()).expect("a number")
}

#[actix_rt::test]
async fn slow_readers_use_bounded_memory_and_delay_no_other_callers() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 1, 20_000);
    let engines: Vec<TestEngine> = (0..8).map(|_| TestEngine::start(long_or_short)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.settle().await;
    let mut slow = Vec::new();
    for index in 0..SLOW_CALLERS {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("a small buffer");
        let mut stream = socket.connect(node.callers).await.expect("a connection");
        let head = format!("GET /r/long HTTP/1.1\r\nx-id: slow-{index}\r\nhost: a.example\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("written");
        slow.push(stream);
    }
    let mut max_held = 0;
    let mut took = Vec::new();
    for index in 0..ORDINARY {
        let begun = Instant::now();
        let answered = node.request(&format!("ordinary-{index}"), "/r/x").await;
        took.push(begun.elapsed());
        assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
        max_held = max_held.max(held(&node).await);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    took.sort();
    let p99 = took[ORDINARY * 99 / 100 - 1];
    println!("held at most {max_held} bytes, p99 of ordinary callers {p99:?}");
    assert!(max_held <= MAX_HELD_MIB << 20, "{max_held} bytes held");
    assert!(p99 <= OBJECTIVE, "{p99:?}");
    drop(slow);
    // The memory is released after the callers have disconnected.
    for _ in 0..50 {
        if held(&node).await == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{} bytes are still held", held(&node).await);
}

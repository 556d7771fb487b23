//! Long answers whose heads name no length.
//!
//! Guards against an answer that is given up because it exceeds what a node buffers, although its request ran and its engine
//! sends all of it.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;

use rstest::rstest;
use support::{Script, TestEngine, TestNode, get, id_of, status};

/// Several times what a node buffers of an answer.
const ANSWER_BYTES: usize = 5 << 20;

const CHUNK_BYTES: usize = 64 << 10;

fn chunked(head: &str, stream: &mut TcpStream) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        id_of(head)
    );
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    for _ in 0..ANSWER_BYTES / CHUNK_BYTES {
        let _ = stream.write_all(format!("{CHUNK_BYTES:x}\r\n").as_bytes());
        let _ = stream.write_all(&[b'~'; CHUNK_BYTES]);
        let _ = stream.write_all(b"\r\n");
    }
    let _ = stream.write_all(b"0\r\n\r\n");
}

fn until_close(head: &str, stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\n\r\n", id_of(head));
    let _ = stream.write_all(head.as_bytes());
    for _ in 0..ANSWER_BYTES / CHUNK_BYTES {
        let _ = stream.write_all(&[b'~'; CHUNK_BYTES]);
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

#[rstest]
#[actix_rt::test]
async fn a_long_answer_without_a_length_arrives_whole_and_its_request_runs_once(
    #[values("once", "repeatable")] kind: &str,
    #[values(chunked as Script, until_close as Script)] script: Script,
) {
    let node = TestNode::start().await;
    node.declare_with_long_objective(1, kind, 2, 10_000);
    let engines = [TestEngine::start(script), TestEngine::start(script)];
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let answer = get(node.callers, "x-id: 1\r\nhost: a.example\r\n", "/r/x").await;
    assert_eq!(status(&answer), "200", "{answer:.200}");
    let body = answer.bytes().filter(|byte| *byte == b'~').count();
    assert_eq!(body, ANSWER_BYTES);
    assert!(answer.ends_with("0\r\n\r\n"), "the end of the body");
    let runs: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(runs, 1);
}

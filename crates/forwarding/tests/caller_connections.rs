//! Most connections of all callers at one node.
//!
//! Guards against connections of callers that take all descriptors of a node, so that it can open none to engines.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::time::Duration;

use support::{TestEngine, TestNode, status, succeeding};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Descriptors of the node, of which 200 are kept for files and half of the others are for callers.
const MAX_OPEN_FILES: usize = 260;

/// Connections that callers may open.
const MAX_CONNECTIONS: usize = 30;

async fn node_with_engine() -> (TestNode, TestEngine) {
    let store = std::rc::Rc::default();
    let extra = format!("max_open_files = {MAX_OPEN_FILES}\n");
    let node = TestNode::start_on_with(&store, &extra).await;
    node.declare(1, "once", 1, 1_000);
    let engine = TestEngine::start(succeeding);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    // The connections over which the node was asked are closed soon.
    node.settle().await;
    (node, engine)
}

async fn connections(node: &TestNode, count: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..count {
        let connection = TcpStream::connect(node.callers).await;
        connections.push(connection.expect("a connection"));
    }
    node.settle().await;
    connections
}

/// Sends a request on an open connection; returns the head of the answer, empty if the connection is closed.
async fn ask(connection: &mut TcpStream) -> String {
    let text = "GET /r/x HTTP/1.1\r\nx-id: 1\r\nhost: a.example\r\n\r\n";
    let mut answer = vec![0; 4_096];
    // A connection that is closed unread breaks the writing or the reading.
    if connection.write_all(text.as_bytes()).await.is_err() {
        return String::new();
    }
    let read = tokio::time::timeout(Duration::from_secs(2), connection.read(&mut answer)).await;
    let length = read.expect("no silence").unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

#[actix_rt::test]
async fn connections_beyond_the_limit_are_closed_unread_and_the_others_served() {
    let (node, engine) = node_with_engine().await;
    let mut open = connections(&node, 3 * MAX_CONNECTIONS).await;
    let mut served = 0;
    for connection in &mut open {
        let answer = ask(connection).await;
        served += usize::from(status(&answer) == "200");
        assert!(answer.is_empty() || status(&answer) == "200", "{answer}");
    }
    assert_eq!(served, MAX_CONNECTIONS);
    assert_eq!(
        engine.heads().len(),
        MAX_CONNECTIONS,
        "what was closed did not run"
    );
    drop(open);
    node.settle().await;
    let later = node.request("later", "/r/x").await;
    assert_eq!(status(&later), "200", "{later}");
}

/// Guards against connections at rest that keep new ones out.
#[actix_rt::test]
async fn callers_of_a_crowded_node_are_asked_to_close_their_connections() {
    let (node, _engine) = node_with_engine().await;
    let mut few = connections(&node, MAX_CONNECTIONS / 2 - 2).await;
    let answer = ask(&mut few[0]).await;
    assert!(!answer.contains("connection: close"), "{answer}");
    let mut more = connections(&node, MAX_CONNECTIONS / 2).await;
    let answer = ask(&mut more[0]).await;
    assert!(answer.contains("connection: close"), "{answer}");
}

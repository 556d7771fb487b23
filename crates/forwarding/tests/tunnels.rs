//! Connections to engines that a node carries for others.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::time::Duration;

use dalestand_tunnel::{OpenError, PROTOCOL_VERSION, TunnelReply, TunnelRequest, open_tunnel};
use rstest::rstest;
use support::{TestEngine, TestNode, get, succeeding};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const LIMIT: Duration = Duration::from_secs(5);

async fn start() -> (TestNode, TestEngine) {
    let node = TestNode::start().await;
    let engine = TestEngine::start(succeeding);
    node.declare(1, "once", 1, 1_000);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    (node, engine)
}

fn request(node: &str, engine: &str, version: u8) -> TunnelRequest {
    TunnelRequest {
        version,
        node: node.to_owned(),
        engine: engine.to_owned(),
    }
}

/// Guards against a node that lets strangers, or anybody to anywhere, through: it carries connections of registered nodes to
/// engines of its list only, and counts what it refuses.
#[rstest]
#[case::a_stranger("stranger", "engines/e0", PROTOCOL_VERSION, TunnelReply::UnknownNode)]
#[case::an_unknown_engine("node-1", "engines/e1", PROTOCOL_VERSION, TunnelReply::UnknownEngine)]
#[case::another_version("node-1", "engines/e0", PROTOCOL_VERSION + 1, TunnelReply::Malformed)]
#[actix_rt::test]
async fn other_requests_are_refused_and_counted(
    #[case] name: &str,
    #[case] engine_name: &str,
    #[case] version: u8,
    #[case] reply: TunnelReply,
) {
    let (node, engine) = start().await;
    let request = request(name, engine_name, version);
    let opened = open_tunnel(node.peers.ip(), node.peers, &request, LIMIT).await;
    assert_eq!(opened.expect_err("refused"), OpenError::Refused(reply));
    assert_eq!(engine.accepted(), 0);
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let counted = format!(
        "dalestand_tunnel_requests_total{{reply=\"{}\"}} 1",
        reply.label()
    );
    assert!(metrics.contains(&counted), "{metrics}");
}

#[actix_rt::test]
async fn bytes_that_are_no_request_are_refused() {
    let (node, engine) = start().await;
    let mut stream = tokio::net::TcpStream::connect(node.peers)
        .await
        .expect("open");
    stream.write_all(&[0xff; 64]).await.expect("written");
    let mut answer = Vec::new();
    // The node closes the connection.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.len() < 32, "{answer:?}");
    assert_eq!(engine.accepted(), 0);
}

#[actix_rt::test]
async fn a_registered_node_reaches_an_engine() {
    let (node, engine) = start().await;
    let request = request("node-1", "engines/e0", PROTOCOL_VERSION);
    let opened = open_tunnel(node.peers.ip(), node.peers, &request, LIMIT).await;
    let mut stream = opened.expect("a tunnel");
    let call = b"GET /r/x HTTP/1.1\r\nx-id: 7\r\n\r\n";
    stream.write_all(call).await.expect("written");
    let length = stream.read_u32().await.expect("a frame");
    let mut answer = vec![0; length as usize];
    stream.read_exact(&mut answer).await.expect("a frame");
    assert!(answer.starts_with(b"HTTP/1.1 200 OK\r\nx-id: 7"));
    assert_eq!(engine.heads().len(), 1);
    engine.crash();
    let end = stream.read_u32().await;
    assert_eq!(end.expect("the end of the engine's connection"), 0);
}

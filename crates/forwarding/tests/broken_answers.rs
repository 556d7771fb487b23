//! Engines that send what is not an answer, on each kind of route.
//!
//! Guards against a caller that gets it as an answer, with the engine's status and a body that is not the engine's.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::{Shutdown, TcpStream};

use rstest::rstest;
use support::{Script, TestEngine, TestNode, get, id_of, status};

/// What stands in the place of an answer's head, after its id.
const FORMS: [(&str, &str); 10] = [
    ("HTTP/1.1 000 OK", "content-length: 4\r\n\r\nsent"),
    ("HTTP/1.1 600 OK", "content-length: 4\r\n\r\nsent"),
    (
        "HTTP/1.1 200 OK",
        "x more: 1\r\ncontent-length: 4\r\n\r\nsent",
    ),
    (
        "HTTP/1.1 200 OK",
        "x-more : 1\r\ncontent-length: 4\r\n\r\nsent",
    ),
    (
        "HTTP/1.1 200 OK",
        "x-\x01more: 1\r\ncontent-length: 4\r\n\r\nsent",
    ),
    (
        "HTTP/1.1 200 OK",
        "nofield\r\ncontent-length: 4\r\n\r\nsent",
    ),
    ("HTTP/1.1 200 OK", "content-length : 2\r\n\r\nsent"),
    ("HTTP/1.1 200 OK", "content-length: 4x\r\n\r\nsent"),
    ("HTTP/1.1 200 OK", "transfer-encoding: identity\r\n\r\nsent"),
    (
        "HTTP/1.1 200 OK",
        "transfer-encoding: chunked\r\n\r\n0\r\nsent\r\n0\r\n\r\n",
    ),
];

/// Sends one of the [`FORMS`] and closes the connection.
fn broken<const FORM: usize>(head: &str, stream: &mut TcpStream) {
    let (status_line, rest) = FORMS[FORM];
    let text = format!("{status_line}\r\nx-id: {}\r\n{rest}", id_of(head));
    write_and_close(&text, stream);
}

fn write_and_close(text: &str, stream: &mut TcpStream) {
    // The node may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.shutdown(Shutdown::Both);
}

/// Stops in the middle of a head.
fn stopped_in_its_head(head: &str, stream: &mut TcpStream) {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-le", id_of(head));
    write_and_close(&text, stream);
}

/// Stops before the last byte of a head.
fn stopped_at_the_end_of_its_head(head: &str, stream: &mut TcpStream) {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\n\r", id_of(head));
    write_and_close(&text, stream);
}

/// Answers without the mark of a request that ran.
fn unmarked(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let text =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-unmarked: 1\r\ncontent-length: 4\r\n\r\nsent");
    write_and_close(&text, stream);
}

/// Answers with a body that is not the engine's own.
fn encoded(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let text = format!(
        "HTTP/1.1 203 OK\r\nx-id: {id}\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nsent"
    );
    write_and_close(&text, stream);
}

/// Refuses the request in a head that is broken.
fn refusing_in_a_broken_head(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let text = format!("HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-refused: 1\r\nnofield\r\n\r\n");
    write_and_close(&text, stream);
}

fn whole(head: &str, stream: &mut TcpStream) {
    let (id, event) = (id_of(head), "id: 1\ndata: whole\n\n");
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: {}\r\n\r\n{event}",
        event.len()
    );
    // The node may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

async fn start(kind: &str, scripts: &[Script]) -> (TestNode, Vec<TestEngine>) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, 5_000);
    let engines: Vec<_> = scripts
        .iter()
        .map(|script| TestEngine::start(*script))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    (node, engines)
}

#[rstest]
#[actix_rt::test]
async fn what_is_no_answer_ends_like_a_broken_connection(
    #[values("once", "stream", "repeatable", "resumable-stream")] kind: &str,
    #[values(
        broken::<0>, broken::<1>, broken::<2>, broken::<3>, broken::<4>,
        broken::<5>, broken::<6>, broken::<7>, broken::<8>, broken::<9>,
        stopped_in_its_head, stopped_at_the_end_of_its_head, refusing_in_a_broken_head, unmarked, encoded
    )]
    script: Script,
) {
    let (node, engines) = start(kind, &[script, whole]).await;
    for request in 0..40 {
        let answer = node.request(&request.to_string(), "/r/x").await;
        let was_broken = !engines[0].heads().is_empty();
        if matches!(kind, "repeatable" | "resumable-stream") {
            assert_eq!(status(&answer), "200", "{answer:.200}");
            assert!(answer.contains("data: whole\n\n"), "{answer:.200}");
        } else if was_broken {
            assert!(!answer.contains("sent"), "{answer:.200}");
            let is_broken_off =
                answer.contains("transfer-encoding: chunked\r\n") && !answer.ends_with("0\r\n\r\n");
            assert!(status(&answer) == "502" || is_broken_off, "{answer:.200}");
        }
        if was_broken {
            assert_eq!(engines[0].heads().len(), 1);
            return;
        }
    }
    panic!("the first engine was never called");
}

/// The reason is in the metrics, so that a 502 can be traced to what the engine sent.
#[actix_rt::test]
async fn what_is_no_answer_is_counted_by_its_reason() {
    let (node, _engines) = start("once", &[broken::<7>]).await;
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "502", "{answer:.200}");
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let counted = "dalestand_engine_malformed_answers_total{reason=\"length\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}

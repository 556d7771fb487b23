//! Engines that send bytes without end.
//!
//! Guards against a request that waits for such an engine although another one could serve it, a node that holds what the engine
//! sends, and a caller that takes a part for a whole answer.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Script, TestEngine, TestNode, id_of, status, succeeding};

/// Time limit of requests.
const LIMIT_MS: u64 = 1_500;

/// Time in which a request has to be served by another engine if the bytes can't be an answer.
const MAX_DELAY: Duration = Duration::from_millis(LIMIT_MS / 2);

/// Time after a request's time limit in which the connection to the engine has to be closed.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Pause between the writes of a slow engine.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// Writes `start` and then `part` again and again, until the node closes the connection.
fn write_endlessly(stream: &mut TcpStream, start: &str, part: &str, pause: Duration) {
    let mut written = stream.write_all(start.as_bytes());
    while written.is_ok() {
        thread::sleep(pause);
        written = stream.write_all(part.as_bytes());
    }
}

/// A head whose body follows.
fn head_of(head: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {}\r\n{framing}\r\n", id_of(head))
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

fn no_answer(_head: &str, stream: &mut TcpStream) {
    write_endlessly(stream, "", "~~~~~~~~", Duration::ZERO);
}

fn one_line(_head: &str, stream: &mut TcpStream) {
    write_endlessly(stream, "HTTP/1.1 200 O", "KKKKKKKK", Duration::ZERO);
}

fn headers(_head: &str, stream: &mut TcpStream) {
    let start = "HTTP/1.1 200 OK\r\n";
    write_endlessly(stream, start, "x-more: of this\r\n", Duration::ZERO);
}

fn informational_heads(_head: &str, stream: &mut TcpStream) {
    let part = "HTTP/1.1 103 Early Hints\r\n\r\n";
    write_endlessly(stream, "", part, Duration::ZERO);
}

fn slow_informational_heads(_head: &str, stream: &mut TcpStream) {
    let part = "HTTP/1.1 103 Early Hints\r\n\r\n";
    write_endlessly(stream, "", part, WRITE_PAUSE);
}

fn chunk_extension(head: &str, stream: &mut TcpStream) {
    let start = head_of(head, CHUNKED) + "5;";
    write_endlessly(stream, &start, "extension", Duration::ZERO);
}

fn chunks(head: &str, stream: &mut TcpStream) {
    let start = head_of(head, CHUNKED);
    write_endlessly(stream, &start, "5\r\npiece\r\n", WRITE_PAUSE);
}

fn trailers(head: &str, stream: &mut TcpStream) {
    let start = head_of(head, CHUNKED) + "5\r\npiece\r\n0\r\n";
    write_endlessly(stream, &start, "x-more: of this\r\n", Duration::ZERO);
}

fn body_without_a_length(head: &str, stream: &mut TcpStream) {
    let start = head_of(head, "");
    write_endlessly(stream, &start, "piece", WRITE_PAUSE);
}

fn refusal_without_an_end(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let start = format!("HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-refused: 1\r\n\r\n");
    write_endlessly(stream, &start, "full", WRITE_PAUSE);
}

fn more_after_a_whole_answer(head: &str, stream: &mut TcpStream) {
    succeeding(head, stream);
    write_endlessly(stream, "", "more", WRITE_PAUSE);
}

async fn start(kind: &str, scripts: &[Script]) -> (TestNode, Vec<TestEngine>) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, LIMIT_MS);
    let scripts = scripts.iter();
    let engines: Vec<TestEngine> = scripts.map(|script| TestEngine::start(*script)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    (node, engines)
}

/// A request that may be repeated is served by another engine while there is time.
#[rstest]
#[case::no_answer(no_answer)]
#[case::one_line(one_line)]
#[case::headers(headers)]
#[case::informational_heads(informational_heads)]
#[case::slow_informational_heads(slow_informational_heads)]
#[case::chunk_extension(chunk_extension)]
#[case::trailers(trailers)]
#[case::refusal_without_an_end(refusal_without_an_end)]
#[case::more_after_a_whole_answer(more_after_a_whole_answer)]
#[actix_rt::test]
async fn a_repeatable_request_is_served_by_another_engine(#[case] script: Script) {
    let (node, engines) = start("repeatable", &[script, succeeding]).await;
    for request in 0..20 {
        let started = Instant::now();
        let answer = node.request(&request.to_string(), "/r/x").await;
        assert_eq!(status(&answer), "200", "{answer:.200}");
        assert!(answer.ends_with("whole"), "{answer:.200}");
        assert!(started.elapsed() < MAX_DELAY, "{:?}", started.elapsed());
        if !engines[0].heads().is_empty() {
            return;
        }
    }
    panic!("the first engine was never called");
}

/// A request that must not be repeated runs once, gets a status that promises nothing in time, and its connection is closed.
#[rstest]
#[case::no_answer(no_answer)]
#[case::one_line(one_line)]
#[case::headers(headers)]
#[case::informational_heads(informational_heads)]
#[case::slow_informational_heads(slow_informational_heads)]
#[case::chunk_extension(chunk_extension)]
#[case::chunks(chunks)]
#[case::trailers(trailers)]
#[case::body_without_a_length(body_without_a_length)]
#[actix_rt::test]
async fn a_request_that_runs_once_gets_no_promise(#[case] script: Script) {
    let (node, engines) = start("once", &[script, script]).await;
    let started = Instant::now();
    let answer = node.request("1", "/r/x").await;
    assert!(matches!(status(&answer), "502" | "504"), "{answer:.200}");
    assert!(started.elapsed() < Duration::from_millis(LIMIT_MS) + CLOSE_DELAY);
    let runs: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(runs, 1);
}

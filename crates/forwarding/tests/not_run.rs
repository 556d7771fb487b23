//! Answers to callers whose requests must not be repeated, for every outcome of a call.
//!
//! Some statuses guarantee that the request has not run and never will. A caller must get such a
//! status only if the engine itself reported that it did not run the request; in particular, an
//! engine's own 503, 429 or 408 without that report must not be forwarded. No second engine may get
//! a request that may have run.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{Script, TestEngine, TestNode, answer, id_of};

/// Statuses that guarantee that a request has not run.
const NOT_RUN_STATUSES: [&str; 4] = ["408", "421", "429", "503"];

/// Time limit of the route.
const LIMIT_MS: u64 = 600;

fn with_status(head: &str, stream: &mut TcpStream, status: &str) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, status, &headers, "body");
}

fn whole(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "200 OK");
}

fn failed(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "500 Internal Server Error");
}

fn gateway_timeout(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "504 Gateway Timeout");
}

/// Answers with a status only; the engine does not report whether it ran the request.
fn unavailable(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "503 Service Unavailable");
}

/// Answers like [`unavailable`], with a body too long to be buffered.
fn unavailable_with_a_long_body(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    let body = "x".repeat(2 << 20);
    answer(stream, "503 Service Unavailable", &headers, &body);
}

fn too_many(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "429 Too Many Requests");
}

fn request_timeout(head: &str, stream: &mut TcpStream) {
    with_status(head, stream, "408 Request Timeout");
}

fn refusing(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-refused: 1\r\n", id_of(head));
    answer(stream, "503 Service Unavailable", &headers, "");
}

fn closing(_head: &str, stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

fn silent(_head: &str, _stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(3 * LIMIT_MS));
}

fn half_a_head(_head: &str, stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nx-id");
    let _ = stream.shutdown(Shutdown::Both);
}

fn not_http(_head: &str, stream: &mut TcpStream) {
    let _ = stream.write_all(b"these bytes are not HTTP\r\n\r\n");
}

fn foreign(_head: &str, stream: &mut TcpStream) {
    answer(stream, "200 OK", "x-id: another\r\n", "another's");
}

fn foreign_refusal(_head: &str, stream: &mut TcpStream) {
    let headers = "x-id: another\r\nx-refused: 1\r\n";
    answer(stream, "503 Service Unavailable", headers, "");
}

fn half_a_body(head: &str, stream: &mut TcpStream) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-length: 90\r\n\r\nwh",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.shutdown(Shutdown::Both);
}

fn stalled_body(head: &str, stream: &mut TcpStream) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-length: 90\r\n\r\nwh",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    thread::sleep(Duration::from_millis(3 * LIMIT_MS));
}

fn encoded(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\ncontent-encoding: gzip\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "body");
}

/// A request is sent to an engine that handles it by `script`.
#[rstest]
#[case::whole(whole, false)]
#[case::failed(failed, false)]
#[case::gateway_timeout(gateway_timeout, false)]
#[case::unavailable_without_a_report(unavailable, false)]
#[case::unavailable_without_a_report_with_a_long_body(unavailable_with_a_long_body, false)]
#[case::too_many_without_a_report(too_many, false)]
#[case::request_timeout_without_a_report(request_timeout, false)]
#[case::refused(refusing, true)]
#[case::closed(closing, false)]
#[case::silent(silent, false)]
#[case::half_a_head(half_a_head, false)]
#[case::not_http(not_http, false)]
#[case::another_requests_answer(foreign, false)]
#[case::another_requests_refusal(foreign_refusal, false)]
#[case::half_a_body(half_a_body, false)]
#[case::stalled_body(stalled_body, false)]
#[case::encoded(encoded, false)]
#[actix_rt::test]
async fn not_run_is_reported_only_if_the_engine_reported_it(
    #[case] script: Script,
    #[case] is_not_run_reported: bool,
    #[values("once", "stream")] kind: &str,
) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, LIMIT_MS);
    let ending = TestEngine::start(script);
    node.write_entry("ending", &ending, "ready");
    node.settle().await;
    let answered = node.request("request", "/r/x").await;
    let status = answered.split(' ').nth(1).unwrap_or("none");
    assert_eq!(ending.heads().len(), 1, "it reached the engine");
    assert_eq!(
        NOT_RUN_STATUSES.contains(&status),
        is_not_run_reported,
        "{answered}"
    );
}

/// A request that may have run is not sent to another engine.
#[rstest]
#[case::failed(failed)]
#[case::unavailable_without_a_report(unavailable)]
#[case::closed(closing)]
#[case::silent(silent)]
#[case::half_a_head(half_a_head)]
#[case::another_requests_refusal(foreign_refusal)]
#[case::half_a_body(half_a_body)]
#[actix_rt::test]
async fn a_request_that_may_have_run_is_sent_to_no_second_engine(#[case] script: Script) {
    let node = TestNode::start().await;
    node.declare(1, "once", 3, LIMIT_MS);
    let engines = [TestEngine::start(script), TestEngine::start(script)];
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.settle().await;
    node.request("request", "/r/x").await;
    let calls: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(calls, 1);
}

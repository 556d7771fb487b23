//! Engines that send an answer again, late, in the place of the answer to a later call on the same connection.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::{HashMap, HashSet};
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{LazyLock, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Script, TestEngine, TestNode, answer, id_of, status, succeeding};

const KEY: &str = "curator";

/// Time that an engine takes for a request.
const WORK: Duration = Duration::from_millis(60);

/// Time limit of requests that get no answer of their own.
const LIMIT_MS: u64 = 5_000;

/// Statuses with which an engine refuses a request that it has not run.
const REFUSAL_STATUSES: [&str; 4] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "400 Bad Request",
];

/// When the second refusal is sent.
#[derive(Clone, Copy, PartialEq)]
enum Surplus {
    /// As the next answer of the connection, before the request runs.
    BeforeRun,
    /// While the request runs.
    DuringRun,
    /// Just before the request's own answer.
    BeforeAnswer,
}

/// What an engine has received of one request.
#[derive(Default)]
struct Received {
    /// Connections on which it was refused, by the node's port.
    refused_on: HashSet<u16>,
    runs: u32,
}

/// Requests received, by the engine's port and their ids.
static RECEIVED: LazyLock<Mutex<HashMap<(u16, String), Received>>> = LazyLock::new(Mutex::default);

fn refuse(id: &str, stream: &mut TcpStream, status: &str) {
    answer(
        stream,
        status,
        &format!("x-id: {id}\r\nx-refused: 1\r\n"),
        "",
    );
}

/// Refuses each request the first time, and runs it the second time. On a connection on which it refused the request, it sends
/// the refusal again.
fn refuse_then_run(head: &str, stream: &mut TcpStream, refusal: &str, surplus: Surplus) {
    let id = id_of(head);
    let port = stream.local_addr().expect("an address").port();
    let connection = stream.peer_addr().expect("an address").port();
    let mut received = RECEIVED.lock().expect("no panic");
    let request = received.entry((port, id.clone())).or_default();
    if request.refused_on.is_empty() {
        request.refused_on.insert(connection);
        drop(received);
        return refuse(&id, stream, refusal);
    }
    request.runs += 1;
    let sends_surplus = request.refused_on.contains(&connection);
    drop(received);
    let mut send_at = |moment| {
        if sends_surplus && surplus == moment {
            refuse(&id, stream, refusal);
        }
    };
    send_at(Surplus::BeforeRun);
    thread::sleep(WORK / 2);
    send_at(Surplus::DuringRun);
    thread::sleep(WORK / 2);
    send_at(Surplus::BeforeAnswer);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

fn refuses_again_before_run(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[0], Surplus::BeforeRun);
}

fn refuses_again_during_run(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[0], Surplus::DuringRun);
}

fn refuses_again_before_answer(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[0], Surplus::BeforeAnswer);
}

fn refuses_again_for_its_rate(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[1], Surplus::DuringRun);
}

fn refuses_again_as_another_engine(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[2], Surplus::DuringRun);
}

fn refuses_again_as_invalid(head: &str, stream: &mut TcpStream) {
    refuse_then_run(head, stream, REFUSAL_STATUSES[3], Surplus::DuringRun);
}

/// How often an engine has run a request.
fn runs(engine: &TestEngine, id: &str) -> u32 {
    let received = RECEIVED.lock().expect("no panic");
    received[&(engine.address.port(), id.to_owned())].runs
}

/// Guards against a late copy of the refusal of one call that is taken for the answer to a later call of the same request: the
/// request ran, and was sent again or rejected as not run.
#[rstest]
#[case::before_the_run(refuses_again_before_run)]
#[case::during_the_run(refuses_again_during_run)]
#[case::before_the_answer(refuses_again_before_answer)]
#[case::with_429(refuses_again_for_its_rate)]
#[case::with_421(refuses_again_as_another_engine)]
#[case::with_400(refuses_again_as_invalid)]
#[actix_rt::test]
async fn a_late_refusal_is_not_taken_for_that_of_a_later_call(
    #[case] script: Script,
    #[values("once", "stream", "repeatable")] kind: &str,
) {
    let node = TestNode::start().await;
    let engine = TestEngine::start(script);
    node.declare_tenants(1, &[KEY], kind, 1);
    node.write_entry("e", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    let answered = node.request_with_key("1", KEY).await;
    assert_eq!(runs(&engine, "1"), 1, "{answered}");
    assert_eq!(status(&answered), "200", "{answered}");
}

/// Sends an answer to another request first, by `stray`, and then the request's own.
fn answer_after(head: &str, stream: &mut TcpStream, stray: &[u8]) {
    // The node may have closed the connection.
    let _ = stream.write_all(stray);
    thread::sleep(WORK);
    succeeding(head, stream);
}

fn after_a_refusal(head: &str, stream: &mut TcpStream) {
    refuse("another", stream, REFUSAL_STATUSES[0]);
    answer_after(head, stream, b"");
}

fn after_an_answer_with_a_length(head: &str, stream: &mut TcpStream) {
    let stray = b"HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 7\r\n\r\nforeign";
    answer_after(head, stream, stray);
}

fn after_a_chunked_answer(head: &str, stream: &mut TcpStream) {
    let stray = b"HTTP/1.1 200 OK\r\nx-id: another\r\ntransfer-encoding: chunked\r\n\r\n\
                  7\r\nforeign\r\n0\r\n\r\n";
    answer_after(head, stream, stray);
}

fn after_several_answers(head: &str, stream: &mut TcpStream) {
    for _ in 0..3 {
        refuse("another", stream, REFUSAL_STATUSES[1]);
    }
    answer_after(head, stream, b"");
}

/// Guards against requests that are answered 502 although their own answer follows that to another request, and against
/// connections that are given up for it.
#[rstest]
#[case::a_refusal(after_a_refusal)]
#[case::an_answer_with_a_length(after_an_answer_with_a_length)]
#[case::a_chunked_answer(after_a_chunked_answer)]
#[case::several_answers(after_several_answers)]
#[actix_rt::test]
async fn an_answer_after_those_to_other_requests_reaches_the_caller(
    #[case] script: Script,
    #[values("once", "repeatable")] kind: &str,
) {
    let node = TestNode::start().await;
    let engine = TestEngine::start(script);
    node.declare(1, kind, 1, 1_000);
    node.write_entry("e", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    for request in ["1", "2"] {
        let answered = node.request(request, "/r/x").await;
        assert_eq!(status(&answered), "200", "{answered}");
        assert!(answered.ends_with("whole"), "{answered}");
    }
    assert_eq!(engine.heads().len(), 2);
    assert_eq!(engine.accepted(), 1, "the connection is kept");
}

fn after_an_answer_without_a_length(head: &str, stream: &mut TcpStream) {
    answer_after(
        head,
        stream,
        b"HTTP/1.1 200 OK\r\nx-id: another\r\n\r\nforeign",
    );
}

fn after_an_answer_with_a_broken_chunk(head: &str, stream: &mut TcpStream) {
    let stray =
        b"HTTP/1.1 200 OK\r\nx-id: another\r\ntransfer-encoding: chunked\r\n\r\nforeign\r\n";
    answer_after(head, stream, stray);
}

fn after_an_answer_that_closes(head: &str, stream: &mut TcpStream) {
    let stray =
        b"HTTP/1.1 200 OK\r\nx-id: another\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    answer_after(head, stream, stray);
}

/// Sends an answer to another request, in chunks, without an end.
fn after_an_endless_answer(_head: &str, stream: &mut TcpStream) {
    let head = b"HTTP/1.1 200 OK\r\nx-id: another\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut chunk = b"10000\r\n".to_vec();
    chunk.resize(chunk.len() + 0x10000, b'~');
    chunk.extend_from_slice(b"\r\n");
    let mut written = stream.write_all(head);
    while written.is_ok() {
        written = stream.write_all(&chunk);
    }
}

/// Sends answers to other requests without end.
fn after_answers_without_end(_head: &str, stream: &mut TcpStream) {
    let stray = b"HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 0\r\n\r\n";
    while stream.write_all(stray).is_ok() {}
}

/// Guards against an answer to another request whose end is not known, and that is skipped without a bound: the bytes after
/// it may belong to it.
#[rstest]
#[case::without_a_length(after_an_answer_without_a_length)]
#[case::with_a_broken_chunk(after_an_answer_with_a_broken_chunk)]
#[case::that_closes_the_connection(after_an_answer_that_closes)]
#[case::without_an_end(after_an_endless_answer)]
#[case::one_after_the_other(after_answers_without_end)]
#[actix_rt::test]
async fn an_answer_after_one_that_cannot_be_skipped_reaches_no_caller(#[case] script: Script) {
    let node = TestNode::start().await;
    let engine = TestEngine::start(script);
    node.declare(1, "once", 1, LIMIT_MS);
    node.write_entry("e", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    let started = Instant::now();
    let answered = node.request("1", "/r/x").await;
    assert_eq!(status(&answered), "502", "{answered}");
    assert!(started.elapsed() < Duration::from_millis(LIMIT_MS / 2));
    assert_eq!(engine.heads().len(), 1);
}

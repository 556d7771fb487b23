//! Engines that send an answer again, late, in the place of the answer to a later call on the same connection.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::sync::{LazyLock, Mutex};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{Script, TestEngine, TestNode, answer, id_of, status};

const KEY: &str = "curator";

/// Time that an engine takes for a request.
const WORK: Duration = Duration::from_millis(60);

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

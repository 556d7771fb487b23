//! Requests at each moment of a planned stop.
//!
//! Guards against a stop that ends a request without an answer, or closes a connection with a request in it. The program has
//! one test only, as the signal stops all nodes of its process.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::{ErrorKind, Read as _, Write as _};
use std::process::Command;
use std::time::Duration;

use support::{TestEngine, TestNode, id_of, status};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

const BODY: &[u8] = b"the body";

/// Time from one round of requests to the next.
const STEP: Duration = Duration::from_millis(7);

/// Rounds of requests: they end well after the node has closed its connections, 2.3 s after the signal.
const ROUNDS: u32 = 420;

/// The round in which the signal is sent.
const SIGNAL_ROUND: u32 = 20;

/// Pause between the head and the body of some requests, and of the engine before and within its answers.
const PAUSE: Duration = Duration::from_millis(60);

/// Reads the body of a request, and answers in two halves, each after a pause.
fn hesitating(head: &str, stream: &mut std::net::TcpStream) {
    let mut body = vec![0; BODY.len()];
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.read_exact(&mut body);
    std::thread::sleep(PAUSE);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    std::thread::sleep(PAUSE);
    let _ = stream.write_all(b"f\r\nid: 2\ndata: 2\n\n\r\n0\r\n\r\n");
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its answer or its refusal arrived whole.
    Answered,
    /// The connection was closed, or could not be opened, before the request was sent.
    NotSent,
    /// Its connection ended without a whole answer.
    Lost,
}

/// Whether the connection is open and silent. Nothing else runs between this check and a write that follows at once, as callers
/// and node share a thread.
fn is_open(caller: &TcpStream) -> bool {
    let read = caller.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Sends a request, with a pause before its body if `is_slow`; returns how it ended.
async fn ask(caller: &mut TcpStream, id: &str, is_slow: bool) -> End {
    let head = format!(
        "POST /r/x HTTP/1.1\r\nx-id: {id}\r\nhost: a.example\r\ncontent-length: {}\r\n\r\n",
        BODY.len()
    );
    if !is_open(caller) || caller.try_write(head.as_bytes()).is_err() {
        return End::NotSent;
    }
    if is_slow {
        actix_rt::time::sleep(PAUSE).await;
    }
    let is_written = caller.try_write(BODY).is_ok();
    let mut answer = String::new();
    let mut buffer = [0; 4_096];
    let is_whole = |answer: &str| {
        answer.ends_with("0\r\n\r\n")
            || (status(answer) == "503" && answer.contains("content-length: 0\r\n"))
    };
    while !is_whole(&answer) {
        match caller.read(&mut buffer).await {
            Ok(length) if length > 0 => answer += &String::from_utf8_lossy(&buffer[..length]),
            Ok(_) | Err(_) => return End::Lost,
        }
    }
    if is_written { End::Answered } else { End::Lost }
}

async fn ask_on_new_connection(node: std::net::SocketAddr, id: String, is_slow: bool) -> End {
    match TcpStream::connect(node).await {
        Ok(mut caller) => ask(&mut caller, &id, is_slow).await,
        Err(_) => End::NotSent,
    }
}

#[actix_rt::test]
async fn requests_at_each_moment_of_a_planned_stop_are_answered_or_not_accepted() {
    let node = TestNode::start().await;
    node.declare_with_long_objective(1, "stream", 1, 10_000);
    let engines: Vec<TestEngine> = (0..4).map(|_| TestEngine::start(hesitating)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let callers = node.callers;
    let mut idle = Vec::new();
    for _ in 0..ROUNDS {
        idle.push(TcpStream::connect(callers).await.expect("connected"));
    }
    node.settle().await;
    let mut requests = Vec::new();
    for (round, mut kept) in (0..ROUNDS).zip(idle) {
        if round == SIGNAL_ROUND {
            let own_id = std::process::id().to_string();
            let sent = Command::new("kill").args(["-TERM", &own_id]).status();
            assert!(sent.expect("kill").success());
        }
        let is_slow = round % 3 == 0;
        requests.push(actix_rt::spawn(async move {
            ask(&mut kept, &format!("kept-{round}"), is_slow).await
        }));
        let id = format!("new-{round}");
        requests.push(actix_rt::spawn(ask_on_new_connection(callers, id, is_slow)));
        actix_rt::time::sleep(STEP).await;
    }
    let mut ends = Vec::new();
    for request in requests {
        ends.push(request.await.expect("an end"));
    }
    let count = |end| ends.iter().filter(|other| **other == end).count();
    let (answered, not_sent) = (count(End::Answered), count(End::NotSent));
    println!("{answered} answered, {not_sent} not sent");
    assert_eq!(count(End::Lost), 0);
    assert!(answered > SIGNAL_ROUND as usize && not_sent > 0);
}

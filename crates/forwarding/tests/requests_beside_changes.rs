//! Requests that are under way when the declaration changes.
//!
//! Guards against a change that ends a request which a node has read, or has begun to read, without an answer: what a
//! request needs of the declaration is kept for it until its end.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::{Read as _, Write as _};
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, id_of, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const BODY: &str = "the body of the request";

/// Time limit and objective of requests, longer than any test.
const LIMIT_MS: u64 = 10_000;

/// Pause of an engine before its answer and within it.
const ENGINE_PAUSE: Duration = Duration::from_millis(600);

/// Time from a request that is to be at a certain point when the declaration changes to one that is to be at the point before.
const STEP: Duration = ENGINE_PAUSE;

/// Number of declarations in quick succession.
const DECLARATIONS: u64 = 20;

/// Kinds of routes; each has one, whose prefix is its kind.
const KINDS: [&str; 4] = ["once", "repeatable", "stream", "resumable-stream"];

const KEY: &str = "key-one";

/// A change of the declaration.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The routes are gone.
    RoutesRemoved,
    /// The routes and their pool are gone.
    PoolRemoved,
    /// The routes lead to a pool without engines.
    RoutesMoved,
    /// The routes are split between their pool and one without engines.
    RoutesSplit,
    /// The routes allow one attempt and a time limit that has passed.
    RoutesRestricted,
    /// The caller's key is no longer valid.
    KeyRevoked,
    /// Callers may send and take less than this request does.
    LimitsLowered,
    /// The limits on callers are raised.
    LimitsRaised,
}

/// The declaration of `revision` before a change.
fn before(revision: u64) -> String {
    let mut text = format!(
        "revision = {revision}\n[[tenant]]\nname = \"curators\"\nkeys = [\"{KEY}\"]\n\
         [[pool]]\nname = \"pool\"\nmax_connections = 100\n\
         [[pool]]\nname = \"empty\"\nmax_connections = 100\n"
    );
    for kind in KINDS {
        text += &format!(
            "[[route]]\nname = \"{kind}\"\nhost = \"a.example\"\npath_prefix = \"/{kind}/\"\n\
             kind = \"{kind}\"\npools = [{{ pool = \"pool\", weight = 1 }}]\n\
             time_limit_ms = {LIMIT_MS}\nobjective_ms = {LIMIT_MS}\nmax_attempts = 2\n"
        );
    }
    text
}

/// The declaration of `revision` after a change.
fn after(revision: u64, change: Change) -> String {
    let text = before(revision);
    let limits = |bytes: usize, time_ms: u64| {
        format!(
            "[callers]\nmax_body_bytes = {bytes}\nmax_head_bytes = {bytes}\n\
             head_timeout_ms = {time_ms}\nidle_timeout_ms = {time_ms}\n"
        )
    };
    let routes = text.find("[[route]]").expect("routes");
    match change {
        Change::RoutesRemoved => text[..routes].to_owned(),
        Change::PoolRemoved => text[..routes].replace("\"pool\"", "\"another\""),
        Change::RoutesMoved => text.replace("pool = \"pool\"", "pool = \"empty\""),
        Change::RoutesSplit => {
            let split = "{ pool = \"empty\", weight = 9 }, { pool = \"pool\"";
            text.replace("{ pool = \"pool\"", split)
        }
        Change::RoutesRestricted => text
            .replace("max_attempts = 2", "max_attempts = 1")
            .replace(&format!("time_limit_ms = {LIMIT_MS}"), "time_limit_ms = 1"),
        Change::KeyRevoked => text.replace(KEY, "key-two"),
        Change::LimitsLowered => text + &limits(1, 1),
        Change::LimitsRaised => text + &limits(1 << 30, 3_600_000),
    }
}

/// Reads the body of a request, and answers in two halves, each after a pause.
fn hesitating(head: &str, stream: &mut std::net::TcpStream) {
    let mut body = vec![0; BODY.len()];
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.read_exact(&mut body);
    std::thread::sleep(ENGINE_PAUSE);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(b"13\r\nid: 1\ndata: half\n\n\n\r\n");
    std::thread::sleep(ENGINE_PAUSE);
    let _ = stream.write_all(b"13\r\nid: 2\ndata: rest\n\n\n\r\n0\r\n\r\n");
}

/// A request whose head has been sent, on each route.
async fn begin_requests(node: &TestNode, name: &str) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for kind in KINDS {
        let mut caller = TcpStream::connect(node.callers).await.expect("connected");
        let head = format!(
            "POST /{kind}/x HTTP/1.1\r\nx-id: {name}-{kind}\r\nhost: a.example\r\nx-key: {KEY}\r\n\
             content-length: {}\r\n\r\n",
            BODY.len()
        );
        caller.write_all(head.as_bytes()).await.expect("written");
        callers.push(caller);
    }
    callers
}

async fn send_bodies(callers: &mut [TcpStream]) {
    for caller in callers {
        caller.write_all(BODY.as_bytes()).await.expect("written");
    }
}

/// Whether an answer has arrived to its end: a last chunk, or the last byte of a body of known length.
fn is_complete(answer: &str) -> bool {
    let has_length = answer.contains("content-length: ");
    answer.ends_with(if has_length {
        "rest\n\n\n"
    } else {
        "0\r\n\r\n"
    })
}

/// Reads an answer until its end or the end of its connection.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = String::new();
    let mut buffer = [0; 4_096];
    while !is_complete(&answer) {
        match caller.read(&mut buffer).await {
            Ok(length) if length > 0 => answer += &String::from_utf8_lossy(&buffer[..length]),
            Ok(_) | Err(_) => break,
        }
    }
    answer
}

#[rstest]
#[case::routes_removed(Change::RoutesRemoved)]
#[case::pool_removed(Change::PoolRemoved)]
#[case::routes_moved(Change::RoutesMoved)]
#[case::routes_split(Change::RoutesSplit)]
#[case::routes_restricted(Change::RoutesRestricted)]
#[case::key_revoked(Change::KeyRevoked)]
#[case::limits_lowered(Change::LimitsLowered)]
#[case::limits_raised(Change::LimitsRaised)]
#[actix_rt::test]
async fn requests_under_way_are_answered_as_declared_when_their_heads_arrived(
    #[case] change: Change,
) {
    let node = TestNode::start().await;
    node.store.write("declaration", Some(&before(1)));
    let engines: Vec<TestEngine> = (0..2).map(|_| TestEngine::start(hesitating)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let mut within_answer = begin_requests(&node, "within-answer").await;
    send_bodies(&mut within_answer).await;
    actix_rt::time::sleep(STEP).await;
    let mut before_answer = begin_requests(&node, "before-answer").await;
    send_bodies(&mut before_answer).await;
    let mut before_body = begin_requests(&node, "before-body").await;
    actix_rt::time::sleep(STEP / 2).await;
    for revision in 2..DECLARATIONS {
        node.store.write("declaration", Some(&before(revision)));
    }
    node.store
        .write("declaration", Some(&after(DECLARATIONS, change)));
    node.wait_for_declaration(DECLARATIONS as usize).await;
    send_bodies(&mut before_body).await;
    for caller in [within_answer, before_answer, before_body]
        .iter_mut()
        .flatten()
    {
        let answer = read_answer(caller).await;
        assert_eq!(status(&answer), "200", "{answer}");
        assert!(is_complete(&answer) && answer.contains("half"), "{answer}");
    }
    let runs: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(runs, 3 * KINDS.len(), "each ran once");
}

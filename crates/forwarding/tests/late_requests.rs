//! Requests that a planned stop finds unfinished, or that arrive late in it.
//!
//! Guards against a request that is taken although the node ends before its answer, and one whose connection ends without an
//! answer. The program has one test only, as the signal stops all nodes of its process.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Read as _;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use actix_rt::time::{Instant, sleep_until};
use support::{TestEngine, TestNode, answer, id_of, refusing, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const KINDS: [&str; 4] = ["once", "stream", "repeatable", "resumable-stream"];

/// Time limit of the routes, far beyond the grace of 8 s.
const LIMIT_MS: u64 = 30_000;

const BODY: &[u8] = b"the whole of the body";

/// Time from the start of the test to the signal.
const SIGNAL_DELAY: Duration = Duration::from_secs(1);

/// A request, and when its parts are sent, from the start of the test on.
#[derive(Clone, Copy, Debug)]
struct TestRequest {
    name: &'static str,
    /// When the connection is opened and a half of the request is sent.
    begun_ms: u64,
    /// When the rest is sent.
    sent_ms: u64,
    /// What the engine does: works for some milliseconds, or refuses the request.
    work: &'static str,
}

const fn request(
    name: &'static str,
    begun_ms: u64,
    sent_ms: u64,
    work: &'static str,
) -> TestRequest {
    TestRequest {
        name,
        begun_ms,
        sent_ms,
        work,
    }
}

const REQUESTS: [TestRequest; 7] = [
    request("quick", 2_000, 2_000, "50"),
    request("without-end", 800, 800, "60000"),
    request("late-without-end", 3_000, 3_000, "60000"),
    request("without-room", 3_000, 3_000, "refuse"),
    request("half-read", 800, 4_500, "5000"),
    request("half-read-until-late", 2_000, 7_800, "2000"),
    request("never-read", 2_000, 60_000, "50"),
];

/// Works as the request says.
fn working(head: &str, stream: &mut std::net::TcpStream) {
    let mut body = vec![0; BODY.len()];
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.read_exact(&mut body);
    let work = head.lines().find_map(|line| line.strip_prefix("x-work: "));
    match work.and_then(|work| work.parse().ok()) {
        Some(work_ms) => std::thread::sleep(Duration::from_millis(work_ms)),
        None => return refusing(head, stream),
    }
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, "200 OK", &headers, "id: 1\ndata: 1\n\n");
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// With this status.
    Answered(String),
    /// The connection ended without a whole answer, after the whole request was sent.
    Lost,
    /// The connection ended before the whole request was sent.
    NotSent,
}

fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

async fn ask(node: SocketAddr, id: String, request: TestRequest, start: Instant) -> End {
    let at = |millis| start + Duration::from_millis(millis);
    let head = format!(
        "POST /r/x HTTP/1.1\r\nx-id: {id}\r\nhost: a.example\r\nx-work: {}\r\ncontent-length: {}\r\n\r\n",
        request.work,
        BODY.len()
    );
    let (first, rest) = BODY.split_at(BODY.len() / 2);
    sleep_until(at(request.begun_ms)).await;
    let mut caller = TcpStream::connect(node).await.expect("connected");
    caller.write_all(head.as_bytes()).await.expect("written");
    caller.write_all(first).await.expect("written");
    let (mut reader, mut writer) = caller.split();
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    let mut is_sent = false;
    loop {
        tokio::select! {
            () = sleep_until(at(request.sent_ms)), if !is_sent => {
                is_sent = writer.write_all(rest).await.is_ok();
                if !is_sent {
                    return End::NotSent;
                }
            }
            read = reader.read(&mut buffer) => match read {
                Ok(length) if length > 0 => received += &String::from_utf8_lossy(&buffer[..length]),
                Ok(_) | Err(_) if is_sent => return End::Lost,
                Ok(_) | Err(_) => return End::NotSent,
            }
        }
        if is_whole(&received) {
            return End::Answered(status(&received).to_owned());
        }
    }
}

async fn start(kind: &str) -> (TestNode, Vec<TestEngine>) {
    let node = TestNode::start().await;
    node.declare_with_long_objective(1, kind, 2, LIMIT_MS);
    let engines: Vec<_> = (0..2).map(|_| TestEngine::start(working)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    node.settle().await;
    (node, engines)
}

/// Whether an engine has run a request: it refuses those of which it does not.
fn has_run(engines: &[TestEngine], id: &str, request: TestRequest) -> bool {
    let mut heads = engines.iter().flat_map(TestEngine::heads);
    request.work != "refuse" && heads.any(|head| id_of(&head) == id)
}

#[actix_rt::test]
async fn requests_that_a_planned_stop_finds_unfinished_are_answered() {
    let mut nodes = Vec::new();
    for kind in KINDS {
        nodes.push((kind, start(kind).await));
    }
    let started = Instant::now();
    let mut asked = Vec::new();
    for (kind, (node, _)) in &nodes {
        for request in REQUESTS {
            let id = format!("{kind}-{}", request.name);
            let asking = ask(node.callers, id.clone(), request, started);
            asked.push((*kind, request, id, actix_rt::spawn(asking)));
        }
    }
    sleep_until(started + SIGNAL_DELAY).await;
    let own_id = std::process::id().to_string();
    let sent = Command::new("kill").args(["-TERM", &own_id]).status();
    assert!(sent.expect("kill").success());
    let mut faults = Vec::new();
    for (kind, request, id, asking) in asked {
        let end = asking.await.expect("an end");
        let (_, (_, engines)) = nodes
            .iter()
            .find(|(other, _)| *other == kind)
            .expect("a node");
        let has_run = has_run(engines, &id, request);
        println!("{id}: {end:?}, run: {has_run}");
        let is_fault = match &end {
            End::Answered(status) if status == "503" => has_run,
            End::Answered(status) if request.name == "quick" => status != "200",
            End::Answered(_) | End::NotSent => false,
            End::Lost => true,
        };
        if is_fault {
            faults.push((id, end));
        }
    }
    assert!(faults.is_empty(), "{faults:?}");
}

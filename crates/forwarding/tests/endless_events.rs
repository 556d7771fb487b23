//! Engines that send bytes without end within one event of a stream.
//!
//! Guards against a node that holds them until it ends by its memory. The program has one test only, as it watches the memory of
//! its process.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream as EngineStream;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use support::{TestEngine, TestNode, id_of, status, succeeding};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Memory of the machine, which limits what the node may hold.
const MEMORY_MB: usize = 64;

const CALLERS: usize = 96;

/// What engines send again and again, shared by all, as their memory is that of the process too.
static PART: [u8; 1 << 16] = [b'x'; 1 << 16];

/// Parts of an event before the engine pauses: a little less than the longest event that a node accepts.
const EVENT_PARTS: usize = 15;

/// Time for the streams to be read.
const READ_TIME: Duration = Duration::from_secs(3);

/// Sends most of an event, and its end never.
fn endless_event(head: &str, stream: &mut EngineStream) {
    let id = id_of(head);
    let start = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\ndata: "
    );
    // Errors are ignored: the node may have closed the connection.
    let _ = stream.write_all(start.as_bytes());
    for _ in 0..EVENT_PARTS {
        let _ = stream.write_all(&PART);
    }
    std::thread::sleep(2 * READ_TIME);
}

/// Sends a first event, and breaks off; goes on without end where a stream is resumed.
fn endless_when_resumed(head: &str, stream: &mut EngineStream) {
    let id = id_of(head);
    let start = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let _ = stream.write_all(start.as_bytes());
    if !head.contains("last-event-id") {
        let _ = stream.write_all(b"f\r\nid: 1\ndata: 1\n\n\r\n");
        let _ = stream.shutdown(std::net::Shutdown::Both);
        return;
    }
    let chunk_size = format!("{:x}\r\n", PART.len());
    while stream.write_all(chunk_size.as_bytes()).is_ok()
        && stream.write_all(&PART).is_ok()
        && stream.write_all(b"\r\n").is_ok()
    {}
}

/// Memory of this process in use, in MB.
fn resident_mb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes
        .and_then(|text| text.parse::<usize>().ok())
        .expect("a size")
        >> 10
}

async fn start(script: support::Script) -> (TestNode, Vec<TestEngine>) {
    let store = std::rc::Rc::default();
    let extra = format!("memory_mb = {MEMORY_MB}\n");
    let node = TestNode::start_on_with(&store, &extra).await;
    node.declare_with_long_objective(1, "resumable-stream", 3, 30_000);
    let engines: Vec<_> = (0..2).map(|_| TestEngine::start(script)).collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    (node, engines)
}

/// Asks for a stream and reads what comes of it.
async fn read_stream(node: std::net::SocketAddr, id: usize) {
    let mut caller = TcpStream::connect(node).await.expect("connected");
    let request = format!("GET /r/x HTTP/1.1\r\nx-id: {id}\r\nhost: a.example\r\n\r\n");
    caller.write_all(request.as_bytes()).await.expect("written");
    let mut buffer = [0; 4_096];
    while caller
        .read(&mut buffer)
        .await
        .is_ok_and(|length| length > 0)
    {}
}

/// The most memory that the process had while callers read streams of these engines, beyond what it had before.
async fn peak_mb(script: support::Script) -> usize {
    let (node, _engines) = start(script).await;
    let before = resident_mb();
    let callers: Vec<_> = (0..CALLERS)
        .map(|id| actix_rt::spawn(read_stream(node.callers, id)))
        .collect();
    let mut peak = before;
    let watched = async {
        loop {
            sleep(Duration::from_millis(5)).await;
            peak = peak.max(resident_mb());
        }
    };
    let _ = timeout(READ_TIME, watched).await;
    for caller in callers {
        caller.abort();
    }
    let engine = TestEngine::start(succeeding);
    node.write_entry("sound", &engine, "ready");
    node.write_entry("e0", &engine, "draining");
    node.write_entry("e1", &engine, "draining");
    node.settle().await;
    let answer = node.request("last", "/r/x").await;
    assert!(matches!(status(&answer), "200" | "503"), "{answer:.200}");
    node.crash();
    peak - before
}

#[actix_rt::test]
async fn events_without_end_are_held_within_the_memory_of_the_machine() {
    let first = peak_mb(endless_event).await;
    let resumed = peak_mb(endless_when_resumed).await;
    println!("{first} MB in first streams, {resumed} MB in resumed ones");
    assert!(first < MEMORY_MB / 2, "{first} MB");
    assert!(resumed < MEMORY_MB / 2, "{resumed} MB");
}

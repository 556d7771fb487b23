//! Answers whose length is not known and that do not end.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream as EngineStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use support::{TestEngine, TestNode, id_of, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Callers at once.
const CALLERS: usize = 20;

/// Bytes of an answer before its end, of which a node holds a mebibyte.
const ANSWER_BYTES: usize = 900 << 10;

/// Whole answers that fit into the memory for answers: a sixteenth of the machine's.
const HELD_ANSWERS: usize = 2;

/// Time for the heads of the other answers. They come at once, or not before the engines go on.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

static MAY_END: AtomicBool = AtomicBool::new(false);

/// Sends most of an answer and its end only when the test has seen what it wants.
fn endless(head: &str, stream: &mut EngineStream) {
    let id = id_of(head);
    let start = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n{ANSWER_BYTES:x}\r\n"
    );
    // The node may have closed the connection.
    let _ = stream.write_all(start.as_bytes());
    let _ = stream.write_all(&vec![b'x'; ANSWER_BYTES]);
    while !MAY_END.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    let _ = stream.write_all(b"\r\n0\r\n\r\n");
}

/// Guards against answers of unknown length that hold more memory than all answers together may use: what does not fit is passed on as
/// it arrives.
#[actix_rt::test]
async fn answers_that_do_not_end_are_held_within_the_memory_for_answers() {
    let store = std::rc::Rc::default();
    let node = TestNode::start_on_with(&store, "memory_mb = 32\n").await;
    node.declare(1, "once", 1, 30_000);
    let engine = TestEngine::start(endless);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = TcpStream::connect(node.callers)
            .await
            .expect("a connection");
        let text = format!("GET /r/x HTTP/1.1\r\nx-id: {number}\r\nhost: a.example\r\n\r\n");
        caller.write_all(text.as_bytes()).await.expect("written");
        callers.push(caller);
    }
    let mut begun = 0;
    let until = tokio::time::Instant::now() + HEAD_TIMEOUT;
    for caller in &mut callers {
        let mut head = vec![0; 15];
        let read = tokio::time::timeout_at(until, caller.read_exact(&mut head)).await;
        begun += usize::from(read.is_ok_and(|read| read.is_ok()) && status_of(&head) == "200");
    }
    MAY_END.store(true, Ordering::SeqCst);
    assert!(
        begun >= CALLERS - HELD_ANSWERS,
        "{begun} of {CALLERS} begun"
    );
}

fn status_of(head: &[u8]) -> String {
    status(&String::from_utf8_lossy(head)).to_owned()
}

//! Answers that are sent before the request has arrived completely.
//!
//! Guards against refusals that never reach their callers: closing a connection with unread bytes resets it, and the
//! reset discards the answer on its way.

use std::future::ready;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_http_server::{Connections, ServerLimits, StatusCode, serve, text_answer};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// More than the server reads at once and the buffers of both sockets hold.
const BODY_BYTES: usize = 16 << 20;

/// Bytes of a body that are sent at a time.
const PART_BYTES: usize = 4 << 20;

/// Pause of a caller between the parts of a request.
const PAUSE: Duration = Duration::from_millis(50);

/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that refuses all requests by their heads.
async fn start() -> (SocketAddr, Connections) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let limits = ServerLimits::default();
    actix_rt::spawn(serve(listener, limits, connections.clone(), |_| {
        ready(text_answer(StatusCode::NOT_FOUND, "no route"))
    }));
    (address, connections)
}

fn head(framing: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n")
}

/// Reads until the answer's body has arrived; returns what arrived until then or until the connection ended.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !answer.ends_with(b"no route") {
        let read = tokio::time::timeout(ANSWER_TIMEOUT, caller.read(&mut buffer)).await;
        match read.expect("no silence") {
            Ok(length) if length > 0 => answer.extend_from_slice(&buffer[..length]),
            Ok(_) | Err(_) => break,
        }
    }
    String::from_utf8(answer).expect("text")
}

/// Writes a request whose body follows its head after a pause, as a caller does that writes everything before it reads.
async fn write_slowly(caller: &mut TcpStream, head: &str, body: &[u8]) {
    caller.write_all(head.as_bytes()).await.expect("written");
    for part in body.chunks(PART_BYTES) {
        actix_rt::time::sleep(PAUSE).await;
        caller.write_all(part).await.expect("written");
    }
}

#[rstest]
#[case::of_known_length(format!("content-length: {BODY_BYTES}"), vec![b'~'; BODY_BYTES])]
#[case::announced("content-length: 9\r\nexpect: 100-continue".to_owned(), b"~~~~~~~~~".to_vec())]
#[case::short("content-length: 9".to_owned(), b"~~~~~~~~~".to_vec())]
#[case::in_chunks("transfer-encoding: chunked".to_owned(), b"9\r\n~~~~~~~~~\r\n0\r\n\r\n".to_vec())]
#[actix_rt::test]
async fn a_caller_that_is_still_sending_gets_the_refusal(
    #[case] framing: String,
    #[case] body: Vec<u8>,
) {
    let (address, _connections) = start().await;
    let mut caller = TcpStream::connect(address).await.expect("connected");
    write_slowly(&mut caller, &head(&framing), &body).await;
    // The answer is read late, as by a caller that writes first.
    actix_rt::time::sleep(PAUSE).await;
    let answer = read_answer(&mut caller).await;
    assert!(answer.contains("HTTP/1.1 404"), "{answer:?}");
    assert!(answer.ends_with("no route"), "{answer:?}");
}

/// Length of an answer that a caller with a small buffer has not received completely when the server has written it.
const LONG_ANSWER_BYTES: usize = 256 << 10;

/// Guards against an answer whose last part the server discards, although it has written it to the socket.
#[actix_rt::test]
async fn the_refusal_of_an_unread_body_is_delivered_to_its_end() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (limits, connections) = (ServerLimits::default(), Connections::default());
    actix_rt::spawn(serve(listener, limits, connections, |_| {
        ready(text_answer(
            StatusCode::NOT_FOUND,
            "~".repeat(LONG_ANSWER_BYTES),
        ))
    }));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let mut caller = socket.connect(address).await.expect("connected");
    write_slowly(&mut caller, &head("content-length: 9"), b"~~~~~~~~~").await;
    actix_rt::time::sleep(PAUSE).await;
    let mut received = 0;
    let mut buffer = [0; 4_096];
    while received < LONG_ANSWER_BYTES {
        let length = caller.read(&mut buffer).await.expect("no reset");
        assert!(length > 0, "cut after {received} bytes");
        received += length;
    }
}

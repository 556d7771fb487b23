//! Draining closes a connection only after the last byte of its answer.

use std::future::ready;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_http_server::{
    Connections, ServerLimits, StatusCode, serve, stream_answer, text_answer,
};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// More than the send and receive buffers hold.
const ANSWER_BYTES: usize = 32 << 20;
const CHUNK_BYTES: usize = 1 << 20;

async fn start(stream: bool) -> (SocketAddr, Connections) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let limits = ServerLimits::default();
    actix_rt::spawn(serve(listener, limits, connections.clone(), move |_| {
        let chunk = bytes::Bytes::from(vec![b'~'; CHUNK_BYTES]);
        let chunks = std::iter::repeat_n(chunk, ANSWER_BYTES / CHUNK_BYTES);
        ready(if stream {
            stream_answer(
                StatusCode::OK,
                "text/plain",
                futures_util::stream::iter(chunks),
            )
        } else {
            text_answer(StatusCode::OK, "~".repeat(ANSWER_BYTES))
        })
    }));
    (address, connections)
}

fn slow_caller(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    socket.connect(&address.into()).expect("connected");
    socket.set_nonblocking(true).expect("nonblocking");
    TcpStream::from_std(socket.into()).expect("a stream")
}

#[rstest]
#[case::not_streamed(false)]
#[case::streamed(true)]
#[actix_rt::test]
async fn the_answer_to_a_slow_caller_is_complete(#[case] stream: bool) {
    let (address, connections) = start(stream).await;
    let mut caller = slow_caller(address);
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("sent");
    let mut first = [0; 1];
    caller
        .read_exact(&mut first)
        .await
        .expect("the answer has begun");
    let drained = actix_rt::spawn({
        let connections = connections.clone();
        async move { connections.drain().await }
    });
    // A server that closes connections too early does so within this time.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(connections.open(), 1);
    assert!(!drained.is_finished());
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.expect("the end");
    let body = answer.iter().filter(|byte| **byte == b'~').count();
    assert_eq!(body, ANSWER_BYTES);
    drained.await.expect("drained");
}

#[actix_rt::test]
async fn an_idle_connection_does_not_delay_draining() {
    let (address, connections) = start(false).await;
    let mut idle = TcpStream::connect(address).await.expect("connected");
    while connections.open() == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    connections.drain().await;
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.expect("the end");
    assert!(rest.is_empty());
}

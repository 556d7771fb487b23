//! Requests whose connection or handler is about to end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_http_server::{
    Answer, ConnectionType, Connections, Request, ServerLimits, StatusCode, serve, text_answer,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

async fn start<F>(handler: impl Fn(Request) -> F + 'static) -> (SocketAddr, Connections)
where
    F: Future<Output = Answer> + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let limits = ServerLimits::default();
    actix_rt::spawn(serve(listener, limits, connections.clone(), handler));
    (address, connections)
}

async fn read_some(caller: &mut TcpStream) -> String {
    let mut answer = vec![0; 4_096];
    let length = caller.read(&mut answer).await.expect("no reset");
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against a fault in the handling of one request that ends its connection without an answer.
#[actix_rt::test]
async fn a_caller_whose_handler_panics_gets_an_answer_and_keeps_its_connection() {
    let requests = Cell::new(0);
    let (address, _connections) = start(move |_| {
        requests.set(requests.get() + 1);
        let is_first = requests.get() == 1;
        async move {
            assert!(!is_first, "a panic on purpose");
            text_answer(StatusCode::OK, "whole")
        }
    })
    .await;
    let mut caller = TcpStream::connect(address).await.expect("connected");
    for status in ["500", "200"] {
        caller.write_all(REQUEST).await.expect("written");
        let answer = read_some(&mut caller).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer:?}"
        );
    }
}

/// Guards against a request that is dropped because it arrives when a planned stop closes the connections: it lies in the
/// socket, so its caller can't know that it was not run.
#[rstest]
#[case::on_a_kept_connection(1)]
#[case::on_a_new_connection(0)]
#[actix_rt::test]
async fn a_request_that_has_arrived_when_draining_begins_is_answered(#[case] earlier: usize) {
    let (address, connections) = start(|_| async { text_answer(StatusCode::OK, "whole") }).await;
    let mut caller = TcpStream::connect(address).await.expect("connected");
    for _ in 0..earlier {
        caller.write_all(REQUEST).await.expect("written");
        read_some(&mut caller).await;
    }
    while connections.open() == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    // Both happen in the same turn of the event loop.
    caller.write_all(REQUEST).await.expect("written");
    let drained = actix_rt::spawn(async move { connections.drain().await });
    let answer = read_some(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert_eq!(read_some(&mut caller).await, "", "the connection has ended");
    drained.await.expect("drained");
}

/// Guards against a request that runs although its caller can't get the answer: it was sent behind one whose answer closes
/// the connection.
#[actix_rt::test]
async fn a_request_behind_an_answer_that_closes_the_connection_is_not_run() {
    let runs = Rc::new(Cell::new(0));
    let counted = Rc::clone(&runs);
    let (address, _connections) = start(move |_| {
        counted.set(counted.get() + 1);
        async {
            // The next request arrives meanwhile.
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            let mut answer = text_answer(StatusCode::OK, "whole");
            answer.head_mut().set_connection_type(ConnectionType::Close);
            answer
        }
    })
    .await;
    let mut caller = TcpStream::connect(address).await.expect("connected");
    caller.write_all(&REQUEST.repeat(3)).await.expect("written");
    let mut answers = String::new();
    caller.read_to_string(&mut answers).await.expect("the end");
    assert_eq!(runs.get(), 1);
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 1, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 503").count(), 2, "{answers}");
}

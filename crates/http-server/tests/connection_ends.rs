//! Requests whose connection or handler is about to end.

use std::cell::Cell;
use std::net::SocketAddr;

use dalestand_http_server::{
    Answer, Connections, Request, ServerLimits, StatusCode, serve, text_answer,
};
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

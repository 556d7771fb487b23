//! Backpressure: if a caller does not read, the server pulls no more of the answer than fits into the
//! buffers.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dalestand_http_server::{Connections, ServerLimits, StatusCode, serve, stream_answer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const CHUNK_BYTES: usize = 64 << 10;

/// Upper bound on the bytes of an answer in the buffers of both sockets and the server.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

#[actix_rt::test]
async fn an_endless_answer_waits_for_its_reader() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pulled = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&pulled);
    let connections = Connections::default();
    actix_rt::spawn(serve(
        listener,
        ServerLimits::default(),
        connections,
        move |_| {
            let counter = Arc::clone(&counter);
            let chunks = std::iter::repeat_with(move || {
                let pulled = counter.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
                assert!(
                    pulled < MAX_BUFFERED_BYTES,
                    "the server pulled more than the buffers hold although the caller does not read"
                );
                bytes::Bytes::from(vec![b'~'; CHUNK_BYTES])
            });
            let answer = futures_util::stream::iter(chunks);
            ready(stream_answer(StatusCode::OK, "text/plain", answer))
        },
    ));
    let mut caller = TcpStream::connect(address).await.expect("connected");
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("sent");
    let mut last = 0;
    loop {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let now = pulled.load(Ordering::SeqCst);
        if now > 0 && now == last {
            break;
        }
        last = now;
    }
    // Reading makes the server pull more of the answer.
    let mut buffer = vec![0; 1 << 20];
    while pulled.load(Ordering::SeqCst) == last {
        assert!(caller.read(&mut buffer).await.expect("more") > 0);
    }
}

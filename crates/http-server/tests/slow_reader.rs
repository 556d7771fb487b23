//! A caller that does not read holds back its own answer: the server takes no more of it than its
//! buffers hold.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dalestand_http_server::{Connections, ServerLimits, StatusCode, serve, stream_answer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const CHUNK_BYTES: usize = 64 << 10;

/// What both sockets and the server may hold of an answer.
const MOST_HELD_BYTES: usize = 64 << 20;

#[actix_rt::test]
async fn an_endless_answer_waits_for_its_reader() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let taken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&taken);
    let connections = Connections::default();
    actix_rt::spawn(serve(
        listener,
        ServerLimits::default(),
        connections,
        move |_| {
            let counter = Arc::clone(&counter);
            let chunks = std::iter::repeat_with(move || {
                let taken = counter.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
                assert!(
                    taken < MOST_HELD_BYTES,
                    "the answer was taken without a reader"
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
        let now = taken.load(Ordering::SeqCst);
        if now > 0 && now == last {
            break;
        }
        last = now;
    }
    // Reading lets the answer go on.
    let mut buffer = vec![0; 1 << 20];
    while taken.load(Ordering::SeqCst) == last {
        assert!(caller.read(&mut buffer).await.expect("more") > 0);
    }
}

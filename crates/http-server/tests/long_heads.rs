//! Heads of requests over the server's limit.

use std::future::ready;

use dalestand_http_server::{Connections, ServerLimits, StatusCode, listen, serve, status_answer};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Sends a head with a field of `length` bytes; returns the first line of the answer.
async fn first_line(length: usize, end: &str) -> String {
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (limits, connections) = (ServerLimits::default(), Connections::default());
    actix_rt::spawn(serve(listener, limits, connections, |_| {
        ready(status_answer(StatusCode::NO_CONTENT))
    }));
    let mut caller = TcpStream::connect(address).await.expect("connected");
    let head = format!(
        "GET / HTTP/1.1\r\nhost: x\r\na: {}{end}",
        "~".repeat(length)
    );
    caller.write_all(head.as_bytes()).await.expect("written");
    let mut answer = [0; 1_024];
    let read = caller.read(&mut answer).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against heads without end that are held until the time for a head is over.
#[rstest]
#[case::within_the_limit(15 << 10, "\r\n\r\n", "HTTP/1.1 204 No Content")]
#[case::without_end(24 << 10, "", "HTTP/1.1 431 Request Header Fields Too Large")]
#[actix_rt::test]
async fn a_head_over_the_limit_is_refused(
    #[case] length: usize,
    #[case] end: &str,
    #[case] expected: &str,
) {
    assert_eq!(first_line(length, end).await, expected);
}

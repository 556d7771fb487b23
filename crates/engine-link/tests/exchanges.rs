//! Reuse of connections, and the errors of exchanges that fail, against scripted engines.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use dalestand_clock::test_util::suspend;
use dalestand_engine_link::{
    AllowedPaths, Body, BodyError, CallKey, ConnectionTerms, ConnectionUse, EngineLink, Exchange,
    LinkLimits, LinkTarget, MalformedResponse, NewConnection, RequestHead, SendError,
};
use rstest::rstest;

const BODY_LIMIT_BYTES: usize = 1 << 20;

/// An engine that accepts one connection per script and runs the scripts in order.
fn engine(scripts: Vec<fn(&mut TcpStream)>) -> (LinkTarget, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let thread = thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("a connection");
            script(&mut stream);
        }
    });
    (target(address), thread)
}

fn target(address: SocketAddr) -> LinkTarget {
    LinkTarget {
        address,
        run: Arc::from("run-1"),
    }
}

/// An engine that answers every request on every connection.
fn answering_engine() -> LinkTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_until_close(&mut { stream }));
        }
    });
    target(address)
}

/// Answers the requests on a connection, which have no bodies, until it closes.
fn answer_until_close(stream: &mut TcpStream) {
    let mut read = Vec::new();
    let mut byte = [0_u8; 1];
    while stream.read(&mut byte).is_ok_and(|count| count > 0) {
        read.push(byte[0]);
        if read.ends_with(b"\r\n\r\n") {
            read.clear();
            write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    }
}

/// Reads a request that has no body.
fn read_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut byte = [0_u8; 1];
    while !read.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a byte of the head");
        read.push(byte[0]);
    }
    String::from_utf8(read).expect("a head of text")
}

fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

/// Makes the close of a stream send a reset.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("linger");
}

fn link() -> EngineLink {
    EngineLink::new(LinkLimits::default())
}

/// Calls the engine for a request and reads the whole response; returns the connection used.
async fn call(
    link: &EngineLink,
    target: &LinkTarget,
    max_connections: usize,
    request: Option<&str>,
) -> ConnectionUse {
    let terms = ConnectionTerms {
        call: Some(CallKey::new(request)),
        max_connections,
        share: max_connections,
        is_scarce: false,
        paths: AllowedPaths::Any,
        new_connection: NewConnection::AtOnce,
    };
    let (head, body) = (RequestHead::default(), Body::default());
    let sent = link.send_if(target, terms, head, &body, || true, |_| true);
    let mut exchange = sent.await.expect("a response");
    let read = exchange.body.collect(BODY_LIMIT_BYTES).await;
    read.expect("a whole body");
    exchange.connection
}

async fn get(link: &EngineLink, target: &LinkTarget) -> Result<Exchange, SendError> {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = "/a/b".parse().expect("a path");
    link.send(target, 4, head, &Body::default()).await
}

/// Gets a path and reads the whole response body.
async fn get_body(link: &EngineLink, target: &LinkTarget) -> Result<Bytes, BodyError> {
    let mut exchange = get(link, target).await.expect("a response");
    exchange.body.collect(BODY_LIMIT_BYTES).await
}

#[actix_rt::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\nrequest-id: 1\r\n\r\nhello ");
        write(stream, "world");
    }]);
    assert_eq!(
        get_body(&link(), &target).await,
        Ok(Bytes::from("hello world"))
    );
    thread.join().expect("the engine");
}

#[actix_rt::test]
async fn a_response_without_a_length_is_incomplete_after_a_reset() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\n\r\nhello");
        thread::sleep(Duration::from_millis(50));
        reset_on_close(stream);
    }]);
    assert!(matches!(
        get_body(&link(), &target).await,
        Err(BodyError::Incomplete(_))
    ));
    thread.join().expect("the engine");
}

#[rstest]
#[case::content_length("content-length: 9\r\n\r\nhell")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n4\r\nhell\r\n")]
#[actix_rt::test]
async fn a_response_that_ends_before_its_length_is_incomplete(#[case] rest: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target(listener.local_addr().expect("an address"));
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        write(&mut stream, &format!("HTTP/1.1 200 OK\r\n{rest}"));
    });
    assert!(matches!(
        get_body(&link(), &target).await,
        Err(BodyError::Incomplete(_))
    ));
    thread.join().expect("the engine");
}

#[actix_rt::test]
async fn a_connection_is_reused_after_a_complete_exchange() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        for _ in 0..2 {
            read_head(stream);
            write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    }]);
    let link = link();
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ok")));
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ok")));
    thread.join().expect("the engine");
}

/// Guards against a connection that is closed because nobody reads the body of a refusal, though it is empty.
#[actix_rt::test]
async fn a_connection_is_reused_after_an_empty_response_that_is_not_read() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        for _ in 0..2 {
            read_head(stream);
            write(stream, "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n");
        }
    }]);
    let link = link();
    for call in 1..=2 {
        let exchange = get(&link, &target).await.expect("a response");
        assert_eq!(exchange.connection.call, call);
    }
    thread.join().expect("the engine");
}

#[rstest]
#[case::surplus_at_once(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
    ""
)]
#[case::surplus_later(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n\r\n"
)]
#[case::connection_close(
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    ""
)]
#[actix_rt::test]
async fn a_connection_with_surplus_data_or_close_is_not_reused(
    #[case] response: &'static str,
    #[case] later: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target(listener.local_addr().expect("an address"));
    let thread = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        read_head(&mut first);
        write(&mut first, response);
        thread::sleep(Duration::from_millis(30));
        write(&mut first, later);
        let (mut second, _) = listener.accept().expect("another connection");
        read_head(&mut second);
        write(
            &mut second,
            "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond",
        );
    });
    let link = link();
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ok")));
    actix_rt::time::sleep(Duration::from_millis(80)).await;
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("second")));
    thread.join().expect("the engine");
}

#[actix_rt::test]
async fn a_refused_connection_means_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target(listener.local_addr().expect("an address"));
    drop(listener);
    let error = get(&link(), &target).await.err().expect("an error");
    assert!(error.is_not_sent(), "{error}");
}

#[actix_rt::test]
async fn a_close_after_the_request_means_it_may_have_run() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
    }]);
    let error = get(&link(), &target).await.err().expect("an error");
    assert!(matches!(error, SendError::MayHaveRun(_)), "{error}");
    thread.join().expect("the engine");
}

#[actix_rt::test]
async fn the_connection_limit_is_enforced() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no");
        thread::sleep(Duration::from_millis(100));
        write(stream, "k");
    }]);
    let link = link();
    let mut first = link
        .send(&target, 1, RequestHead::default(), &Body::default())
        .await
        .expect("a response");
    let second = link
        .send(&target, 1, RequestHead::default(), &Body::default())
        .await;
    assert!(matches!(second, Err(SendError::ConnectionLimitReached(1))));
    assert_eq!(
        first.body.collect(BODY_LIMIT_BYTES).await,
        Ok(Bytes::from("ok"))
    );
    thread.join().expect("the engine");
}

/// Guards against an engine without room for connections that is taken for a crashed or failing one.
#[actix_rt::test]
async fn a_reset_of_a_new_connection_is_reported_and_followed_by_a_pause() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        reset_on_close(stream);
    }]);
    let link = link();
    let terms = ConnectionTerms {
        call: None,
        max_connections: 4,
        is_scarce: false,
        share: 4,
        paths: AllowedPaths::Any,
        new_connection: NewConnection::AtOnceIfRoom,
    };
    let (head, body) = (RequestHead::default(), Body::default());
    let send = || link.send_if(&target, terms, head.clone(), &body, || true, |_| true);
    let first = send().await;
    assert!(matches!(first, Err(SendError::ResetWhenNew(_))));
    let second = send().await;
    assert!(matches!(second, Err(SendError::ConnectionLimitReached(0))));
    thread.join().expect("the engine");
}

#[actix_rt::test]
async fn a_response_before_the_body_is_read_is_returned() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        write(
            stream,
            "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        );
        thread::sleep(Duration::from_millis(50));
    }]);
    let mut head = RequestHead::default();
    head.method = Method::POST;
    let long = Body::from(Bytes::from(vec![b'x'; 32 << 20]));
    let exchange = link().send(&target, 1, head, &long).await;
    let exchange = exchange.expect("a response");
    assert_eq!(exchange.head.status.as_u16(), 503);
    thread.join().expect("the engine");
}

/// Guards against requests on connections that the engine had closed while the node was busy: the runtime had not yet
/// received the close.
#[actix_rt::test]
async fn a_connection_closed_while_the_node_was_busy_is_not_reused() {
    let serve: fn(&mut TcpStream) = |stream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
        thread::sleep(Duration::from_millis(30));
    };
    let (target, thread) = engine(vec![serve, serve]);
    let link = link();
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ab")));
    thread::sleep(Duration::from_millis(100));
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ab")));
    thread.join().expect("the engine");
}

/// The engine closes the connection while the node is suspended. A request sent on it would fail, and
/// may have run.
#[actix_rt::test]
async fn a_connection_that_expired_during_a_suspension_is_not_reused() {
    let serve: fn(&mut TcpStream) = |stream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
    };
    // The first connection stays open, but no further request on it is answered.
    let serve_once: fn(&mut TcpStream) = |stream| {
        read_head(stream);
        write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
        thread::sleep(Duration::from_millis(200));
    };
    let (target, thread) = engine(vec![serve_once, serve]);
    let link = link();
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ab")));
    suspend(Duration::from_secs(10));
    assert_eq!(get_body(&link, &target).await, Ok(Bytes::from("ab")));
    thread.join().expect("two connections");
}

/// Length of a request body that exceeds what the buffers of both sockets hold.
const LONG_BODY_BYTES: usize = 16 << 20;

/// Answers after it has read the head, and ends the answer when it has read the body.
fn answer_before_the_body(stream: &mut TcpStream) {
    read_head(stream);
    write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nfirst");
    thread::sleep(Duration::from_millis(50));
    let mut body = vec![0; LONG_BODY_BYTES];
    if stream.read_exact(&mut body).is_ok() {
        write(stream, ".");
    }
}

/// Guards against an answer that never ends, because the rest of the request is not sent once the answer has begun.
#[actix_rt::test]
async fn the_rest_of_a_request_is_sent_while_its_response_arrives() {
    let (target, thread) = engine(vec![answer_before_the_body]);
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = "/a/b".parse().expect("a path");
    let body = Body::from(Bytes::from(vec![b'~'; LONG_BODY_BYTES]));
    let link = link();
    let mut exchange = link
        .send(&target, 4, head, &body)
        .await
        .expect("a response");
    let collected = exchange.body.collect(BODY_LIMIT_BYTES);
    let collected = tokio::time::timeout(Duration::from_secs(2), collected).await;
    assert_eq!(collected, Ok(Ok(Bytes::from("first."))));
    thread.join().expect("the engine");
}

/// Guards against the late copy of an answer that is taken for the answer to a later call of the same request.
#[rstest]
#[case::at_once(&[Some("a"), Some("a")])]
#[case::after_other_requests(&[Some("a"), Some("b"), Some("c"), Some("a")])]
#[case::without_a_request_id(&[None, Some("b"), None])]
#[actix_rt::test]
async fn a_connection_carries_one_call_of_a_request(#[case] requests: &[Option<&str>]) {
    let target = answering_engine();
    let link = link();
    let mut used = Vec::new();
    for request in requests {
        used.push(call(&link, &target, 4, *request).await);
    }
    let (last, others) = used.split_last().expect("calls");
    assert_eq!(last.call, 1, "a new connection");
    let first = others[0].connection;
    assert!(others.iter().all(|other| other.connection == first));
}

/// Guards against connections beyond the node's share: one that cannot carry a call is closed before another is opened for it.
#[actix_rt::test]
async fn a_connection_that_carried_the_request_is_replaced() {
    // The engine accepts the second connection once the first one is closed.
    let (target, thread) = engine(vec![answer_until_close, answer_until_close]);
    let link = link();
    for _ in 0..2 {
        call(&link, &target, 1, Some("a")).await;
    }
    drop(link);
    thread.join().expect("the engine");
}

/// Guards against a connection whose record of its calls grows without a bound.
#[actix_rt::test]
async fn a_connection_is_closed_after_many_calls() {
    let (target, thread) = engine(vec![answer_until_close, answer_until_close]);
    let link = link();
    let first = call(&link, &target, 1, Some("first")).await;
    let mut last = first;
    while last.connection == first.connection {
        assert!(last.call <= 10_000, "the connection is still open");
        let request = last.call.to_string();
        last = call(&link, &target, 1, Some(&request)).await;
    }
    drop(link);
    thread.join().expect("the engine");
}

/// Guards against an engine that sends informational responses without end, for which a call waited as long as its request had time.
#[actix_rt::test]
async fn informational_responses_without_end_fail_the_call() {
    let (target, thread) = engine(vec![|stream: &mut TcpStream| {
        read_head(stream);
        let part = b"HTTP/1.1 103 Early Hints\r\n\r\n";
        while stream.write_all(part).is_ok() {}
    }]);
    let link = link();
    let called = tokio::time::timeout(Duration::from_secs(2), get(&link, &target)).await;
    let error = called.expect("an end of the call").err().expect("an error");
    let expected = SendError::Malformed(MalformedResponse::TooManyInformational);
    assert_eq!(error, expected);
    thread.join().expect("the engine");
}

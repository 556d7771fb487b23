//! Responses of engines that do not wait for the whole of a long request.

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use dalestand_engine_link::{
    Body, BodyError, EngineLink, LinkLimits, LinkTarget, RequestHead, SendError,
};
use rstest::rstest;

/// Far longer than what the buffers of a connection hold.
const BODY_BYTES: usize = 16 << 20;

const RESPONSE_LIMIT_BYTES: usize = 1 << 20;

/// By then the link has read the response, and waits for room in the socket.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// The system reports a reset to a read or to a write; both have to occur.
const CALLS: usize = 40;

/// An engine that sends `response` once it has read the head of a request, and then resets the connection.
fn resetting_engine(response: &'static str) -> LinkTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_head(&mut stream);
            stream.write_all(response.as_bytes()).expect("written");
            thread::sleep(RESET_DELAY);
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("linger");
        }
    });
    LinkTarget {
        address,
        run: Arc::from("run-1"),
    }
}

fn read_head(stream: &mut TcpStream) {
    let mut read = Vec::new();
    let mut byte = [0_u8; 1];
    while !read.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a byte of the head");
        read.push(byte[0]);
    }
}

/// Sends a long request and reads the response.
async fn upload(
    link: &EngineLink,
    target: &LinkTarget,
) -> Result<Result<Bytes, BodyError>, SendError> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    let body = Body::from(Bytes::from(vec![b'~'; BODY_BYTES]));
    let mut exchange = link.send(target, 4, head, &body).await?;
    Ok(exchange.body.collect(RESPONSE_LIMIT_BYTES).await)
}

/// Guards against a response without a length that is reset in transit, and passes for a whole one as the write of the rest of
/// the request meets the reset first.
#[rstest]
#[case::after_the_head("HTTP/1.1 200 OK\r\n\r\n")]
#[case::after_a_part("HTTP/1.1 200 OK\r\n\r\na part")]
#[actix_rt::test]
async fn a_response_without_a_length_is_incomplete_after_a_reset(#[case] response: &'static str) {
    let target = resetting_engine(response);
    let link = EngineLink::new(LinkLimits::default());
    for _ in 0..CALLS {
        let read = upload(&link, &target).await.expect("a head");
        assert!(matches!(read, Err(BodyError::Incomplete(_))), "{read:?}");
    }
}

/// What was received before the reset can still be read.
#[actix_rt::test]
async fn a_response_that_arrived_whole_before_a_reset_is_complete() {
    let target = resetting_engine("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull");
    let link = EngineLink::new(LinkLimits::default());
    for _ in 0..CALLS {
        let read = upload(&link, &target).await.expect("a head");
        assert_eq!(read, Ok(Bytes::from("full")));
    }
}

/// Longest time without an acknowledgement on the connections of a link.
const USER_TIMEOUT: Duration = Duration::from_millis(400);

/// An engine that answers a long request at once, without a length, and reads on only after several times that long.
fn slowly_reading_engine() -> LinkTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_head(&mut stream);
            let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
            stream.write_all(head).expect("written");
            for _ in 0..PIECES {
                stream.write_all(PIECE).expect("written");
                thread::sleep(USER_TIMEOUT / 2);
            }
            let mut body = vec![0; BODY_BYTES];
            stream.read_exact(&mut body).expect("the whole body");
            stream.write_all(PIECE).expect("written");
        }
    });
    LinkTarget {
        address,
        run: Arc::from("run-1"),
    }
}

const PIECE: &[u8] = b"piece;";

/// Pieces that are sent before the engine reads on.
const PIECES: usize = 8;

/// Guards against a connection that is given up although its engine acknowledges all that it has room for.
#[actix_rt::test]
async fn an_engine_that_reads_slowly_keeps_its_connection() {
    let target = slowly_reading_engine();
    let link = EngineLink::new(LinkLimits {
        tcp_user_timeout: USER_TIMEOUT,
        ..LinkLimits::default()
    });
    let read = upload(&link, &target).await.expect("a head");
    assert_eq!(read, Ok(Bytes::from(PIECE.repeat(PIECES + 1))));
}

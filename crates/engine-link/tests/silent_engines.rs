//! Engines whose machine is silent for a second or two, and goes on.

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use dalestand_engine_link::{Body, EngineLink, LinkLimits, LinkTarget, RequestHead};
use rstest::rstest;
use socket2::{SockFilter, SockRef};

/// Time for which a sound engine may be silent.
const SILENCE: Duration = Duration::from_millis(1_900);

/// Time without any packet before the silence: nearly as long as until the first keep-alive probe.
const QUIET_BEFORE: Duration = Duration::from_millis(900);

const BODY: &str = "0123456789";

/// When the engine is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// Between two requests.
    Idle,
    /// After it has read the second request, before it answers.
    Working,
    /// Within the second answer.
    Answering,
}

/// Drops all packets from the other side, which so gets no acknowledgement, for the time of the silence.
fn be_silent(stream: &TcpStream) {
    let drop_all = SockFilter::new(0x06, 0, 0, 0);
    let take_all = SockFilter::new(0x06, 0, 0, u32::MAX);
    SockRef::from(stream)
        .attach_filter(&[drop_all])
        .expect("a filter");
    thread::sleep(SILENCE);
    SockRef::from(stream)
        .attach_filter(&[take_all])
        .expect("a filter");
}

fn read_request(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => read.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Answers the requests on one connection; accepts no other.
fn serve(listener: &TcpListener, moment: Moment) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", BODY.len());
    let (first_half, second_half) = BODY.split_at(BODY.len() / 2);
    assert!(read_request(&mut stream));
    stream
        .write_all(format!("{head}{BODY}").as_bytes())
        .expect("written");
    if moment == Moment::Idle {
        thread::sleep(QUIET_BEFORE);
        be_silent(&stream);
    }
    if !read_request(&mut stream) {
        return;
    }
    if moment == Moment::Working {
        thread::sleep(QUIET_BEFORE);
        be_silent(&stream);
    }
    let _ = stream.write_all(format!("{head}{first_half}").as_bytes());
    if moment == Moment::Answering {
        thread::sleep(QUIET_BEFORE);
        be_silent(&stream);
    }
    let _ = stream.write_all(second_half.as_bytes());
}

/// Guards against connections to sound engines that were given up after two seconds without an acknowledgement, idle time
/// counted in: requests that may run only once were lost.
#[rstest]
#[case(Moment::Idle)]
#[case(Moment::Working)]
#[case(Moment::Answering)]
#[actix_rt::test]
async fn a_connection_outlives_a_silence_of_its_engine(#[case] moment: Moment) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let engine = thread::spawn(move || serve(&listener, moment));
    let link = EngineLink::new(LinkLimits::default());
    let target = LinkTarget {
        address,
        run: "engine".into(),
    };
    for request in 0..2 {
        let head = RequestHead::default();
        let exchange = link.send(&target, 1, head, &Body::default()).await;
        let mut body = exchange
            .unwrap_or_else(|error| panic!("{request}: {error}"))
            .body;
        let received = body.collect(BODY.len()).await.expect("a whole body");
        assert_eq!(received, BODY);
        if moment == Moment::Idle && request == 0 {
            // The second request is sent while the engine is silent.
            actix_rt::time::sleep(QUIET_BEFORE + SILENCE / 2).await;
        }
    }
    engine.join().expect("no panic");
}

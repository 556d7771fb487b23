//! Engines that fall silent for a second, keep their connections, and go on.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of, refusing, status, succeeding};

/// Time limit of requests.
const LIMIT_MS: u64 = 3_400;

/// Shorter than the silence, and longer than the pause after which a node calls a second engine.
const SHORT_LIMIT_MS: u64 = 1_000;

/// Longer than the pauses after which a node calls a second engine, and shorter than the time limit.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Events of a stream.
const EVENTS: u64 = 5;

/// The place after the last event.
const BEFORE_THE_END: u64 = EVENTS + 1;

/// Time between two writes of an engine, so that they arrive apart.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// Calls that engines have received, by request.
static RECEIVED: Mutex<BTreeMap<String, u32>> = Mutex::new(BTreeMap::new());

/// Counts a call of a request; returns how many there were before.
fn earlier_calls(head: &str) -> u32 {
    let mut received = RECEIVED.lock().expect("no panic");
    let calls = received.entry(id_of(head)).or_default();
    *calls += 1;
    *calls - 1
}

/// Whether the path of a request has this word.
fn asks_for(head: &str, word: &str) -> bool {
    let path = head.split(' ').nth(1).unwrap_or_default();
    path.split(['/', '?', '&']).any(|part| part == word)
}

/// The place of the silence that a request asks for: 0 is before the head, others before the event.
fn silent_place(head: &str) -> Option<u64> {
    (0..=BEFORE_THE_END).find(|place| asks_for(head, &format!("silent-at-{place}")))
}

/// The first event that the request still lacks.
fn first_event(head: &str) -> u64 {
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    last.and_then(|last| last.parse().ok())
        .map_or(1, |last: u64| last + 1)
}

/// Streams events, with a silence before `place`. Returns early when the node has closed the connection.
fn stream_events(head: &str, stream: &mut TcpStream, place: Option<u64>) -> std::io::Result<()> {
    let is_chunked = !asks_for(head, "unframed");
    let pause_at = |at: u64| {
        thread::sleep(if place == Some(at) {
            SILENCE
        } else {
            WRITE_PAUSE
        })
    };
    pause_at(0);
    let framing = if is_chunked {
        "transfer-encoding: chunked\r\n"
    } else {
        ""
    };
    let id = id_of(head);
    write!(stream, "HTTP/1.1 200 OK\r\nx-id: {id}\r\n{framing}\r\n")?;
    for event in first_event(head)..=EVENTS {
        pause_at(event);
        if place.is_some() && asks_for(head, &format!("broken-at-{event}")) {
            return stream.shutdown(Shutdown::Both);
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        if is_chunked {
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        } else {
            stream.write_all(text.as_bytes())?;
        }
    }
    pause_at(BEFORE_THE_END);
    if is_chunked {
        stream.write_all(b"0\r\n\r\n")
    } else {
        stream.shutdown(Shutdown::Both)
    }
}

/// Falls silent in the first call for a request, and does in the second what the request asks for.
fn falling_silent(head: &str, stream: &mut TcpStream) {
    let place = silent_place(head);
    // The node may close the connection, which ends the call.
    let _ = match earlier_calls(head) {
        0 => stream_events(head, stream, place),
        _ if asks_for(head, "second-serves") => stream_events(head, stream, None),
        3 if asks_for(head, "fourth-serves") => stream_events(head, stream, None),
        _ if asks_for(head, "second-silent") => stream_events(head, stream, Some(0)),
        _ if asks_for(head, "second-stalls") => {
            stream_events(head, stream, Some(first_event(head)))
        }
        _ if asks_for(head, "second-empty") => {
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\n\r\n", id_of(head));
            let written = stream.write_all(head.as_bytes());
            written.and_then(|()| stream.shutdown(Shutdown::Both))
        }
        _ => {
            refusing(head, stream);
            Ok(())
        }
    };
}

fn failing(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, "500 Internal Server Error", &headers, "broken");
}

/// Answers the first call for a request late, and does in the others what the request asks for.
fn answering_late(head: &str, stream: &mut TcpStream) {
    let calls = earlier_calls(head);
    if calls < 2 && asks_for(head, "first-fails") {
        thread::sleep(SILENCE);
        [failing, succeeding][calls as usize](head, stream);
    } else if calls == 0 {
        thread::sleep(SILENCE);
        succeeding(head, stream);
    } else if asks_for(head, "second-fails") {
        failing(head, stream);
    } else if asks_for(head, "second-breaks") {
        let id = id_of(head);
        let text = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 9\r\n\r\nwh");
        // The node may have closed the connection.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.shutdown(Shutdown::Both);
    } else {
        refusing(head, stream);
    }
}

async fn node(kind: &str, script: support::Script) -> (TestNode, Vec<TestEngine>) {
    let node = TestNode::start().await;
    node.declare(1, kind, 3, LIMIT_MS);
    let engines = [script; 3].map(TestEngine::start);
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    (node, engines.into())
}

/// Fails unless the answer is a whole stream with each event once.
fn assert_whole_stream(answer: &str, case: &str) {
    assert_eq!(status(answer), "200", "{case}: {answer}");
    let pieces: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let all = ["piece 1", "piece 2", "piece 3", "piece 4", "piece 5"];
    assert_eq!(pieces, all, "{case}: {answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{case} is whole: {answer}");
}

/// Guards against cutting a stream whose engine is silent for a second when no other engine goes on with it.
#[rstest]
#[case::refused("second-refuses")]
#[case::also_silent("second-silent")]
#[case::accepted_without_an_event("second-stalls")]
#[case::ended_without_an_event("second-empty")]
#[case::taken_over("second-serves")]
#[actix_rt::test]
async fn a_stream_whose_engine_falls_silent_is_whole(
    #[case] second: &str,
    #[values("chunked", "unframed")] framing: &str,
) {
    let (node, _engines) = node("resumable-stream", falling_silent).await;
    // An empty rest of a stream may be whole; a stream without any event is not.
    let places = match second {
        "second-empty" => &[1][..],
        _ => &[0, 1, 3, BEFORE_THE_END][..],
    };
    for place in places {
        let case = format!("{framing}/{second}/silent-at-{place}");
        let answer = node.request(&case, &format!("/r/{case}")).await;
        assert_whole_stream(&answer, &case);
    }
}

/// Guards against a stream that a crash cuts because engines that were full during an earlier silence are not asked again.
#[actix_rt::test]
async fn a_stream_that_breaks_off_after_a_silence_goes_on_elsewhere() {
    let (node, _engines) = node("resumable-stream", falling_silent).await;
    let path = "/r/silent-at-3/broken-at-4/fourth-serves";
    let answer = node.request("breaks-later", path).await;
    assert_whole_stream(&answer, path);
}

/// Guards against waiting for a silent engine although another one goes on with the stream.
#[actix_rt::test]
async fn a_stream_whose_engine_falls_silent_goes_on_elsewhere_meanwhile() {
    let (node, _engines) = node("resumable-stream", falling_silent).await;
    let started = Instant::now();
    let answer = node
        .request("meanwhile", "/r/second-serves/silent-at-3")
        .await;
    assert_whole_stream(&answer, "second-serves");
    assert!(started.elapsed() < SILENCE, "{:?}", started.elapsed());
}

/// Guards against a node that is kept busy by a stream whose engine stays silent, and against one that ends early.
#[actix_rt::test]
async fn a_stream_whose_engine_stays_silent_ends_at_its_time_limit() {
    let (node, _engines) = node("resumable-stream", falling_silent).await;
    node.declare(2, "resumable-stream", 3, SHORT_LIMIT_MS);
    node.wait_for_declaration(2).await;
    let started = Instant::now();
    let answer = node.request("limited", "/r/silent-at-3").await;
    let took = started.elapsed().as_millis() as u64;
    assert!(
        (SHORT_LIMIT_MS..SHORT_LIMIT_MS + 300).contains(&took),
        "{took} ms"
    );
    assert!(
        answer.contains("piece 2") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
}

/// Guards against answering a repeatable request with an error although its engine, which was silent, answers in time.
#[rstest]
#[case::refused("second-refuses")]
#[case::failed("second-fails")]
#[case::broken_off("second-breaks")]
#[case::both_late_and_the_first_failed("first-fails")]
#[actix_rt::test]
async fn a_repeatable_request_gets_the_late_answer_of_a_silent_engine(#[case] second: &str) {
    let (node, _engines) = node("repeatable", answering_late).await;
    let answer = node.request(second, &format!("/r/{second}")).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.ends_with("whole"), "{answer}");
}

/// Guards against second calls beside silent engines that are not taken from the retry budget.
#[actix_rt::test]
async fn calls_beside_a_silent_engine_are_taken_from_the_budget() {
    let (node, engines) = node("resumable-stream", falling_silent).await;
    let answer = node
        .request("counted", "/r/second-serves/silent-at-3")
        .await;
    assert_whole_stream(&answer, "counted");
    let calls: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(calls, 2);
    node.wait_for_metric(
        "dalestand_repeated_sends_total{outcome=\"taken\",pool=\"pool\"}",
        1,
    )
    .await;
}

//! Event streams whose end is marked by the end of the connection only, and that an engine breaks off.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{Script, TestEngine, TestNode, get, id_of, status, succeeding};

/// Time limit of requests; no test depends on it.
const LIMIT_MS: u64 = 10_000;

/// Events of a whole stream.
const EVENTS: u64 = 5;

/// The event within which engines break off.
const CUT_EVENT: u64 = 3;

/// Time between two writes of an engine, so that they arrive apart.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// Longer than a test.
const HANGING_TIME: Duration = Duration::from_secs(5);

/// Time from the end of an engine's connections to that of its listener.
const LISTENER_DELAY: Duration = Duration::from_millis(20);

/// Time for a request to reach its engine, and for the first bytes of the answer to come back.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Value of a parameter in the path of a request.
fn parameter(head: &str, name: &str) -> Option<usize> {
    let (path, _) = head.split_once(" HTTP/")?;
    let (_, query) = path.split_once('?')?;
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = parameters.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// The text of an event, with the line ends that the request asks for.
fn event_text(head: &str, event: u64) -> String {
    let padding = "x".repeat(parameter(head, "padding").unwrap_or_default());
    let text = format!("id: {event}\ndata: piece {event}{padding}\n\n");
    match parameter(head, "carriage_returns") {
        Some(_) => text.replace('\n', "\r\n"),
        None => text,
    }
}

/// The first event that the request still lacks.
fn first_event(head: &str) -> u64 {
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    last.and_then(|last| last.parse().ok())
        .map_or(1, |last: u64| last + 1)
}

fn write_unframed_head(head: &str, stream: &mut TcpStream) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-type: text/event-stream\r\n\r\n",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
}

/// Streams without a length or chunks. Closes the connection when `cut` bytes of the third event are sent; `cut` is
/// counted from the event's end with `cut_from_end`. Whole if the request asks for no cut or has the events before it.
fn unframed(head: &str, stream: &mut TcpStream) {
    write_unframed_head(head, stream);
    let first = first_event(head);
    for event in first..=EVENTS {
        let text = event_text(head, event);
        let cut = parameter(head, "cut").or_else(|| {
            let from_end = parameter(head, "cut_from_end")?;
            Some(text.len() - from_end)
        });
        let cut = cut.filter(|_| event == CUT_EVENT && first == 1);
        let _ = stream.write_all(&text.as_bytes()[..cut.unwrap_or(text.len())]);
        thread::sleep(WRITE_PAUSE);
        if cut.is_some() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Ends the connection right after the head.
fn empty(head: &str, stream: &mut TcpStream) {
    write_unframed_head(head, stream);
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Streams all events.
fn whole(head: &str, stream: &mut TcpStream) {
    write_unframed_head(head, stream);
    for event in first_event(head)..=EVENTS {
        let _ = stream.write_all(event_text(head, event).as_bytes());
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Sends two whole events and waits for the crash.
fn two_events(head: &str, stream: &mut TcpStream) {
    write_unframed_head(head, stream);
    for event in first_event(head)..=2 {
        let _ = stream.write_all(event_text(head, event).as_bytes());
    }
    thread::sleep(HANGING_TIME);
}

/// Sends all events and waits for the crash.
fn whole_before_crash(head: &str, stream: &mut TcpStream) {
    write_unframed_head(head, stream);
    for event in first_event(head)..=EVENTS {
        let _ = stream.write_all(event_text(head, event).as_bytes());
    }
    thread::sleep(HANGING_TIME);
}

/// Sends a part of a body that is no stream and waits for the crash.
fn part_of_a_body(head: &str, stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\n\r\npart", id_of(head));
    let _ = stream.write_all(head.as_bytes());
    thread::sleep(HANGING_TIME);
}

/// Requests until one is at the engine, then crashes it; with the answer to that request.
async fn request_and_crash(node: &TestNode, engine: &TestEngine) -> String {
    for request in 0..50 {
        let crash = async {
            actix_rt::time::sleep(CRASH_DELAY).await;
            if !engine.heads().is_empty() {
                engine.crash();
            }
        };
        let id = request.to_string();
        let (answer, ()) = futures_util::join!(node.request(&id, "/r/x"), crash);
        if engine.has_crashed() {
            return answer;
        }
    }
    panic!("the engine was never called");
}

async fn start(
    slack: u32,
    kind: &str,
    attempts: u32,
    scripts: &[Script],
) -> (TestNode, Vec<TestEngine>) {
    let node = TestNode::start_with_slack(slack).await;
    node.declare_with_long_objective(1, kind, attempts, LIMIT_MS);
    let engines: Vec<TestEngine> = scripts
        .iter()
        .map(|script| TestEngine::start(*script))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    (node, engines)
}

fn runs(engines: &[TestEngine]) -> usize {
    engines.iter().map(|engine| engine.heads().len()).sum()
}

/// Numbers of the pieces in an answer, in their order.
fn pieces(answer: &str) -> Vec<u64> {
    let lines = answer.lines();
    let pieces = lines.filter_map(|line| line.strip_prefix("data: piece "));
    let numbers = pieces.map(|piece| piece.trim_end_matches(['x', '\r']));
    numbers
        .map(|piece| piece.parse().expect("a number"))
        .collect()
}

fn looks_complete(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Value of the counter of streamed runs without framing that ended like this.
async fn unframed_ends(node: &TestNode, end: &str) -> u64 {
    let name =
        format!("dalestand_streamed_runs_total{{end=\"{end}\",framing=\"connection close\"}} ");
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Guards against a stream that its engine broke off within an event and that reached the caller as complete, because
/// the end of the connection was taken for the end of the answer.
#[rstest]
#[case::after_its_first_byte("cut=1")]
#[case::after_its_id("cut=6")]
#[case::within_its_data("cut=14")]
#[case::before_the_empty_line("cut_from_end=1")]
#[case::with_carriage_returns_before_the_empty_line("carriage_returns=1&cut_from_end=2")]
#[case::with_carriage_returns_within_the_empty_line("carriage_returns=1&cut_from_end=1")]
#[case::of_many_reads("padding=60000&cut_from_end=1")]
#[actix_rt::test]
async fn an_unframed_stream_that_ends_inside_an_event_goes_on_at_another_engine(
    #[case] query: &str,
) {
    let scripts = [unframed as Script, unframed];
    let (node, engines) = start(50, "resumable-stream", 3, &scripts).await;
    let answer = node.request("1", &format!("/r/x?{query}")).await;
    assert_eq!(status(&answer), "200");
    assert_eq!(pieces(&answer), [1, 2, 3, 4, 5], "{}", answer.len());
    assert!(looks_complete(&answer));
    assert_eq!(runs(&engines), 2);
    assert_eq!(unframed_ends(&node, "inside an event").await, 1);
    assert_eq!(unframed_ends(&node, "complete").await, 1);
}

/// Guards against the same where the stream can't go on: the caller must see that it is incomplete, and get nothing of
/// the event that was cut.
#[rstest]
#[case::it_runs_only_once("stream", 3, 50)]
#[case::no_attempt_is_left("resumable-stream", 1, 50)]
#[case::no_retry_is_left("resumable-stream", 3, 0)]
#[actix_rt::test]
async fn an_unframed_stream_that_ends_inside_an_event_does_not_look_complete(
    #[case] kind: &str,
    #[case] attempts: u32,
    #[case] slack: u32,
    #[values("cut=1", "cut=14", "cut_from_end=1", "padding=60000&cut_from_end=1")] query: &str,
) {
    let scripts = [unframed as Script, unframed];
    let (node, engines) = start(slack, kind, attempts, &scripts).await;
    let answer = node.request("1", &format!("/r/x?{query}")).await;
    assert!(!looks_complete(&answer));
    assert_eq!(pieces(&answer), [1, 2]);
    let (_, rest) = answer.rsplit_once("data: piece 2").expect("two pieces");
    assert!(
        !rest.contains("id"),
        "a part of the third event: {}",
        &rest[..40]
    );
    assert_eq!(runs(&engines), 1);
    assert_eq!(unframed_ends(&node, "inside an event").await, 1);
    assert_eq!(unframed_ends(&node, "complete").await, 0);
}

/// Guards against a stream without a single event that passed for a complete answer.
#[rstest]
#[case::resumable("resumable-stream", true)]
#[case::once("stream", false)]
#[actix_rt::test]
async fn an_unframed_stream_without_an_event_is_not_complete(
    #[case] kind: &str,
    #[case] is_resumed: bool,
) {
    let (node, engines) = start(50, kind, 3, &[empty, whole]).await;
    for request in 0..50 {
        let answer = node.request(&request.to_string(), "/r/x").await;
        if engines[0].heads().is_empty() {
            continue;
        }
        assert_eq!(looks_complete(&answer), is_resumed, "{answer}");
        assert_eq!(!pieces(&answer).is_empty(), is_resumed, "{answer}");
        return;
    }
    panic!("the first engine was never called");
}

#[rstest]
#[actix_rt::test]
async fn a_whole_unframed_stream_is_complete(
    #[values("stream", "resumable-stream")] kind: &str,
    #[values("", "carriage_returns=1", "padding=60000")] query: &str,
) {
    let (node, engines) = start(50, kind, 3, &[whole]).await;
    let answer = node.request("1", &format!("/r/x?{query}")).await;
    assert_eq!(pieces(&answer), [1, 2, 3, 4, 5]);
    assert!(looks_complete(&answer));
    assert_eq!(runs(&engines), 1);
    assert_eq!(unframed_ends(&node, "complete").await, 1);
}

/// Guards against a stream that its engine's crash ended between two events and that passed for complete.
#[rstest]
#[case::resumable("resumable-stream", &[1, 2, 3, 4, 5], true)]
#[case::once("stream", &[1, 2], false)]
#[actix_rt::test]
async fn an_unframed_stream_that_a_crash_ends_between_events_is_not_complete(
    #[case] kind: &str,
    #[case] expected: &[u64],
    #[case] is_complete: bool,
) {
    let (node, engines) = start(50, kind, 3, &[two_events, whole]).await;
    let answer = request_and_crash(&node, &engines[0]).await;
    assert_eq!(pieces(&answer), expected, "{answer}");
    assert_eq!(looks_complete(&answer), is_complete, "{answer}");
}

/// Guards against the same while the other nodes, which were asked whether the engine had ended, could not answer.
#[rstest]
#[case::resumable("resumable-stream", &[1, 2, 3, 4, 5], true)]
#[case::once("stream", &[1, 2], false)]
#[actix_rt::test]
async fn an_unframed_stream_that_a_crash_ends_is_not_complete_while_no_other_node_answers(
    #[case] kind: &str,
    #[case] expected: &[u64],
    #[case] is_complete: bool,
) {
    let (node, engines) = start(50, kind, 3, &[two_events, whole]).await;
    let other = node.start_beside("node-2").await;
    node.wait_for_metric("dalestand_nodes_known", 2).await;
    other.crash();
    let answer = request_and_crash(&node, &engines[0]).await;
    assert_eq!(pieces(&answer), expected, "{answer}");
    assert_eq!(looks_complete(&answer), is_complete, "{answer}");
}

/// Guards against the same with other bodies.
#[rstest]
#[case::repeatable("repeatable", "200")]
#[case::once("once", "502")]
#[actix_rt::test]
async fn an_unframed_body_that_a_crash_ends_is_not_complete(
    #[case] kind: &str,
    #[case] expected: &str,
) {
    let (node, engines) = start(50, kind, 3, &[part_of_a_body, succeeding]).await;
    let answer = request_and_crash(&node, &engines[0]).await;
    assert_eq!(status(&answer), expected, "{answer}");
    assert!(!answer.ends_with("part"), "{answer}");
}

/// Announces the end of the first engine once it has a request, and ends it.
async fn leave(node: &TestNode, engine: &TestEngine) {
    while engine.heads().is_empty() {
        actix_rt::time::sleep(WRITE_PAUSE).await;
    }
    node.write_entry("e0", engine, "draining");
    node.wait_for_engines(1).await;
    engine.crash();
}

/// Requests until the engine has ended; with the answers to the requests that it had received.
async fn answers_of_leaving(node: &TestNode, engine: &TestEngine) -> Vec<String> {
    let mut answers = Vec::new();
    for request in 0.. {
        let known = engine.heads().len();
        let answer = node.request(&request.to_string(), "/r/x").await;
        if engine.heads().len() > known {
            answers.push(answer);
        }
        if engine.has_crashed() {
            break;
        }
    }
    answers
}

/// A stream that may be whole and whose engine ends as it has announced goes on at another one, and its events come once.
#[actix_rt::test]
async fn an_unframed_stream_of_an_engine_that_leaves_goes_on_at_another() {
    let (node, engines) = start(50, "resumable-stream", 3, &[whole_before_crash, whole]).await;
    let requests = answers_of_leaving(&node, &engines[0]);
    let ((), answers) = futures_util::join!(leave(&node, &engines[0]), requests);
    assert!(!answers.is_empty());
    for answer in answers {
        assert_eq!(pieces(&answer), [1, 2, 3, 4, 5], "{answer}");
        assert!(looks_complete(&answer), "{answer}");
    }
}

/// Guards against a stream that its engine cut by ending, as it had announced, and that passed for complete. Whether the
/// events were all is not known.
#[rstest]
#[case::between_events(two_events, &[1, 2])]
#[case::after_the_last_event(whole_before_crash, &[1, 2, 3, 4, 5])]
#[actix_rt::test]
async fn an_unframed_stream_that_a_leaving_engine_cuts_is_not_complete(
    #[case] script: Script,
    #[case] expected: &[u64],
    #[values(("stream", 3), ("resumable-stream", 1))] (kind, attempts): (&str, u32),
) {
    let (node, engines) = start(50, kind, attempts, &[script, whole]).await;
    let requests = answers_of_leaving(&node, &engines[0]);
    let ((), answers) = futures_util::join!(leave(&node, &engines[0]), requests);
    assert!(!answers.is_empty());
    for answer in answers {
        assert_eq!(pieces(&answer), expected, "{answer}");
        assert!(!looks_complete(&answer), "{answer}");
    }
}

/// Guards against the same with other bodies.
#[rstest]
#[case::repeatable("repeatable", "200")]
#[case::once("once", "502")]
#[actix_rt::test]
async fn an_unframed_body_that_a_leaving_engine_cuts_is_not_complete(
    #[case] kind: &str,
    #[case] expected: &str,
) {
    let (node, engines) = start(50, kind, 3, &[part_of_a_body, succeeding]).await;
    let requests = answers_of_leaving(&node, &engines[0]);
    let ((), answers) = futures_util::join!(leave(&node, &engines[0]), requests);
    assert!(!answers.is_empty());
    for answer in answers {
        assert_eq!(status(&answer), expected, "{answer}");
        assert!(!answer.ends_with("part"), "{answer}");
    }
}

/// Guards against whole streams that are broken off because their engine is leaving: it ends them itself while it listens.
#[rstest]
#[actix_rt::test]
async fn a_whole_unframed_stream_of_a_leaving_engine_that_listens_is_complete(
    #[values("stream", "resumable-stream")] kind: &str,
) {
    let (node, engines) = start(50, kind, 1, &[unframed]).await;
    let request = node.request("1", "/r/x");
    let announce = async {
        while engines[0].heads().is_empty() {
            actix_rt::time::sleep(WRITE_PAUSE).await;
        }
        node.write_entry("e0", &engines[0], "draining");
        node.wait_for_engines(0).await;
    };
    let (answer, ()) = futures_util::join!(request, announce);
    assert_eq!(pieces(&answer), [1, 2, 3, 4, 5], "{answer}");
    assert!(looks_complete(&answer), "{answer}");
    assert_eq!(unframed_ends(&node, "complete").await, 1);
}

/// Guards against a check of the listener that comes between the end of an engine's connections and that of its listener: the
/// stream passed for complete.
#[rstest]
#[actix_rt::test]
async fn an_unframed_stream_whose_engine_closes_its_listener_last_is_not_complete(
    #[values("ready", "draining")] state: &str,
) {
    let (node, mut engines) = start(50, "stream", 3, &[two_events]).await;
    let engine = Arc::new(engines.remove(0));
    let end = async {
        while engine.heads().is_empty() {
            actix_rt::time::sleep(WRITE_PAUSE).await;
        }
        node.write_entry("e0", &engine, state);
        actix_rt::time::sleep(CRASH_DELAY).await;
        let ending = Arc::clone(&engine);
        // On its own thread, as the node goes on meanwhile.
        thread::spawn(move || ending.end_connections_first(LISTENER_DELAY));
    };
    let (answer, ()) = futures_util::join!(node.request("1", "/r/x"), end);
    assert_eq!(pieces(&answer), [1, 2], "{answer}");
    assert!(!looks_complete(&answer), "{answer}");
}

/// Time for which crashed engines are away, less than that for which an engine that can't be reached is checked.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Guards against a stream that ends as complete since another process listens at the address of its engine, after all engines
/// crashed: while none can be reached, no node knows whether it is itself cut off.
#[rstest]
#[case::a_stream("stream", two_events)]
#[case::a_stream_that_may_be_resumed("resumable-stream", two_events)]
#[case::a_body("once", part_of_a_body)]
#[actix_rt::test]
async fn an_answer_of_engines_that_all_crash_and_come_back_does_not_look_complete(
    #[case] kind: &str,
    #[case] script: Script,
) {
    let node = TestNode::start().await;
    node.declare_with_long_objective(1, kind, 2, LIMIT_MS);
    let engines = [TestEngine::start(script), TestEngine::start(script)];
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let crash_and_restart = async {
        actix_rt::time::sleep(CRASH_DELAY).await;
        for engine in &engines {
            engine.crash();
        }
        actix_rt::time::sleep(RESTART_TIME).await;
        engines
            .each_ref()
            .map(|engine| TestEngine::start_at(engine.address, empty))
    };
    let (answer, _restarted) =
        futures_util::future::join(node.request("1", "/r/x"), crash_and_restart).await;
    let looks_complete = status(&answer) == "200"
        && (answer.ends_with("0\r\n\r\n") || answer.contains("content-length"));
    assert!(!looks_complete, "{answer}");
}

//! Behaviour towards callers and engines when engines fail.

mod metrics;
#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    MemoryStore, Script, TestEngine, TestNode, answer, get, id_of, refusing, status, succeeding,
};

fn failing(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\n", id_of(head));
    answer(stream, "500 Internal Server Error", &headers, "broken");
}

fn closing(_head: &str, stream: &mut TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn silent(_head: &str, _stream: &mut TcpStream) {
    thread::sleep(Duration::from_secs(3));
}

fn truncating(head: &str, stream: &mut TcpStream) {
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-length: 9\r\n\r\nwh",
        id_of(head)
    );
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn foreign(_head: &str, stream: &mut TcpStream) {
    answer(stream, "200 OK", "x-id: another\r\n", "another's answer");
}

/// Streams five events, starting after the event that the request names. Breaks off within the
/// third event sent.
fn breaking_stream(head: &str, stream: &mut TcpStream) {
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    let first: u64 = last
        .and_then(|last| last.parse().ok())
        .map_or(1, |last: u64| last + 1);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    let chunk = |stream: &mut TcpStream, text: &str| {
        let framed = format!("{:x}\r\n{text}\r\n", text.len());
        let _ = stream.write_all(framed.as_bytes());
    };
    for event in first..=5 {
        if event == first + 2 && event < 5 {
            chunk(stream, &format!("id: {event}\ndata: hal"));
            thread::sleep(Duration::from_millis(20));
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        chunk(stream, &format!("id: {event}\ndata: piece {event}\n\n"));
    }
    let _ = stream.write_all(b"0\r\n\r\n");
}

/// Time limit of requests in tests that do not depend on it: longer than an engine's thread may be
/// starved on a loaded machine.
const LIMIT_MS: u64 = 10_000;

async fn node(kind: &str, attempts: u32, scripts: &[Script]) -> (TestNode, Vec<TestEngine>) {
    with_engines(TestNode::start().await, kind, attempts, scripts).await
}

/// Declares a route on `node`, with engines.
async fn with_engines(
    node: TestNode,
    kind: &str,
    attempts: u32,
    scripts: &[Script],
) -> (TestNode, Vec<TestEngine>) {
    node.declare(1, kind, attempts, LIMIT_MS);
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

#[actix_rt::test]
async fn a_node_without_a_declaration_answers_503() {
    let node = TestNode::start().await;
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "503");
    assert!(answer.contains("retry-after"), "{answer}");
    assert_eq!(
        status(&get(node.ready, "host: a\r\n", "/ready").await),
        "503"
    );
}

#[actix_rt::test]
async fn a_request_with_a_route_reaches_an_engine_and_others_get_404() {
    let (node, engines) = node("once", 1, &[succeeding]).await;
    assert_eq!(
        status(&get(node.ready, "host: a\r\n", "/ready").await),
        "200"
    );
    let answer = node.request("1", "/r/x?y=1").await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("whole"), "{answer}");
    assert!(engines[0].heads()[0].starts_with("GET /r/x?y=1 HTTP/1.1"));
    assert_eq!(status(&node.request("2", "/other/x").await), "404");
    assert_eq!(engines[0].heads().len(), 1);
}

#[rstest]
#[case::once_after_a_refusal("once", 1, refusing, "200")]
#[case::once_after_a_close("once", 2, closing, "502")]
#[case::once_after_a_truncation("once", 2, truncating, "502")]
#[case::once_after_a_failure("once", 2, failing, "500")]
#[case::once_after_another_answer("once", 2, foreign, "502")]
#[case::repeatable_after_a_close("repeatable", 2, closing, "200")]
#[case::repeatable_after_a_truncation("repeatable", 2, truncating, "200")]
#[case::repeatable_after_a_failure("repeatable", 2, failing, "200")]
#[case::repeatable_after_another_answer("repeatable", 2, foreign, "200")]
#[case::repeatable_without_an_attempt_left("repeatable", 1, closing, "502")]
#[actix_rt::test]
async fn a_request_is_retried_elsewhere_only_if_that_is_allowed(
    #[case] kind: &str,
    #[case] attempts: u32,
    #[case] first: Script,
    #[case] expected: &str,
) {
    // Requests are sent until one reaches the failing engine.
    let (node, engines) = node(kind, attempts, &[first, succeeding]).await;
    // A loaded machine may delay an engine that succeeds beyond the objective of most tests; a retry due
    // to that would be counted here by mistake.
    node.declare_with_long_objective(2, kind, attempts, LIMIT_MS);
    node.wait_for_declaration(2).await;
    for request in 0..20 {
        let answer = node.request(&format!("{request}"), "/r/x").await;
        if engines[0].heads().is_empty() {
            assert_eq!(status(&answer), "200");
            continue;
        }
        assert_eq!(status(&answer), expected, "{answer}");
        let sent = engines[1]
            .heads()
            .iter()
            .filter(|head| id_of(head) == request.to_string())
            .count();
        assert_eq!(sent, usize::from(expected == "200"));
        return;
    }
    panic!("the first engine was never called");
}

/// A revoked key is refused as soon as the declaration changes, and no key is sent to an engine.
#[actix_rt::test]
async fn callers_are_served_by_their_keys() {
    let (node, engines) = node("once", 1, &[succeeding]).await;
    node.declare_tenant(2, &["key-one", "key-two"]);
    node.wait_for_declaration(2).await;
    assert_eq!(status(&node.request_with_key("1", "key-one").await), "200");
    assert_eq!(
        status(&node.request_with_key("2", "key-three").await),
        "401"
    );
    assert_eq!(status(&node.request("3", "/r/x").await), "401");
    node.declare_tenant(3, &["key-two"]);
    node.wait_for_declaration(3).await;
    assert_eq!(status(&node.request_with_key("4", "key-one").await), "401");
    assert_eq!(status(&node.request_with_key("5", "key-two").await), "200");
    let heads = engines[0].heads();
    assert_eq!(heads.len(), 2);
    for head in heads {
        assert!(head.contains("x-tenant: curators"), "{head}");
        assert!(!head.contains("key-"), "{head}");
    }
}

/// Without the store, keys are refused after the configured bound if the settings ask for that, and
/// accepted otherwise. Callers without keys are unaffected.
#[rstest]
#[case::fail_closed(true, "503")]
#[case::fail_open(false, "200")]
#[actix_rt::test]
async fn keys_are_handled_without_the_store_as_the_settings_say(
    #[case] fail_closed: bool,
    #[case] expected: &str,
) {
    let table = format!("[revocation]\nbound_ms = 400\nfail_closed = {fail_closed}\n");
    let node = TestNode::start_with_table(&table).await;
    node.declare_tenant(1, &["key-one"]);
    let engine = TestEngine::start(succeeding);
    node.write_entry("e0", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    // Each successful read of the store confirms the declaration, even without a change.
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&node.request_with_key("1", "key-one").await), "200");
    node.store.set_unavailable(true);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let answer = node.request_with_key("2", "key-one").await;
    assert_eq!(status(&answer), expected);
    assert_eq!(answer.contains("retry-after"), fail_closed);
    node.store.set_unavailable(false);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&node.request_with_key("3", "key-one").await), "200");
}

#[actix_rt::test]
async fn a_request_that_may_have_run_gets_504_at_its_time_limit() {
    let (node, _engines) = node("once", 1, &[silent]).await;
    node.declare(2, "once", 1, 1_000);
    node.wait_for_declaration(2).await;
    let started = Instant::now();
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "504");
    assert!(!answer.contains("retry-after"), "it may have run: {answer}");
    let took = started.elapsed();
    assert!(took >= Duration::from_millis(950) && took < Duration::from_millis(1_500));
}

/// Answers far beyond the objective, but within the time limit.
fn late(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(450));
    succeeding(head, stream);
}

/// Guards against abandoning a slow engine when no other engine is left to take the request.
#[rstest]
#[case::alone("repeatable", &[late as Script])]
#[case::stream_alone("resumable-stream", &[late as Script])]
#[actix_rt::test]
async fn a_request_stays_at_a_slow_engine_if_no_other_can_take_it(
    #[case] kind: &str,
    #[case] scripts: &[Script],
) {
    let (node, _engines) = node(kind, 4, scripts).await;
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "200", "{answer}");
}

#[actix_rt::test]
async fn a_draining_or_deleted_engine_gets_no_requests() {
    let (node, engines) = node("repeatable", 2, &[succeeding, succeeding]).await;
    node.write_entry("e0", &engines[0], "draining");
    node.wait_for_engines(1).await;
    let before = engines[0].heads().len();
    for request in 0..10 {
        assert_eq!(
            status(&node.request(&format!("{request}"), "/r/x").await),
            "200"
        );
    }
    assert_eq!(engines[0].heads().len(), before);
    node.store.write("engines/e1", None);
    node.settle().await;
    assert_eq!(status(&node.request("11", "/r/x").await), "503");
}

/// Requests are served, none of them by the first engine.
async fn serves_without_the_first(node: &TestNode, engines: &[TestEngine]) {
    let before = engines[0].heads().len();
    for request in 2..8 {
        let served = node.request(&format!("{request}"), "/r/x").await;
        assert_eq!(status(&served), "200");
    }
    assert_eq!(engines[0].heads().len(), before);
}

/// Time without an answer of the store in which entries can expire: two heartbeats at least.
const OUTAGE: Duration = Duration::from_millis(2_200);

/// Guards against overloading the few engines whose entries are rewritten first after an outage of
/// the store in which most entries lapsed.
#[actix_rt::test]
async fn engines_whose_entries_lapsed_with_the_store_are_used_until_they_had_time_to_return() {
    let (node, engines) = node("repeatable", 2, &[succeeding, succeeding]).await;
    node.store.set_unavailable(true);
    actix_rt::time::sleep(OUTAGE).await;
    for engine in ["engines/e0", "engines/e1"] {
        node.store.write(engine, None);
    }
    node.store.set_unavailable(false);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
    node.write_entry("e1", &engines[1], "ready");
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    serves_without_the_first(&node, &engines).await;
}

/// The same if the outage causes no failed call, but a watch then reports the end of many entries
/// at once.
#[actix_rt::test]
async fn engines_whose_entries_end_all_at_once_are_used_until_they_had_time_to_return() {
    let store: Rc<MemoryStore> = Rc::default();
    // Watches of such a node wait for longer than the outage.
    let node = TestNode::start_on_with(&store, "engine_drain_ms = 12000\n").await;
    let (node, engines) = with_engines(node, "repeatable", 2, &[succeeding, succeeding]).await;
    node.store.delay_watches(true);
    actix_rt::time::sleep(OUTAGE).await;
    for engine in ["engines/e0", "engines/e1"] {
        node.store.write(engine, None);
    }
    node.store.delay_watches(false);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&node.request("1", "/r/x").await), "200");
    node.write_entry("e1", &engines[1], "ready");
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    serves_without_the_first(&node, &engines).await;
}

#[actix_rt::test]
async fn an_older_declaration_is_never_applied() {
    let (node, _engines) = node("once", 1, &[succeeding]).await;
    node.store.write("declaration", Some("revision = 3"));
    node.wait_for_declaration(3).await;
    assert_eq!(status(&node.request("1", "/r/x").await), "404");
    node.declare(2, "once", 1, 1_000);
    node.settle().await;
    assert_eq!(status(&node.request("2", "/r/x").await), "404");
    node.store.write("declaration", Some("revision = nonsense"));
    node.declare(4, "once", 1, 1_000);
    node.wait_for_declaration(4).await;
    assert_eq!(status(&node.request("3", "/r/x").await), "200");
}

#[actix_rt::test]
async fn a_stream_is_resumed_without_gaps_or_duplicates() {
    let (node, engines) = node("resumable-stream", 3, &[breaking_stream, breaking_stream]).await;
    node.declare_with_long_objective(2, "resumable-stream", 3, LIMIT_MS);
    node.wait_for_declaration(2).await;
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "200");
    let pieces: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(
        pieces,
        ["piece 1", "piece 2", "piece 3", "piece 4", "piece 5"]
    );
    assert!(answer.ends_with("0\r\n\r\n"), "the answer is complete");
    let runs: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(runs, 2);
}

/// Sends the head only after several objectives, and the events a little later.
fn late_stream(head: &str, stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(1_500));
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        id_of(head)
    );
    let _ = stream.write_all(head.as_bytes());
    thread::sleep(Duration::from_millis(50));
    let event = "id: 1\ndata: piece 1\n\n";
    let _ = stream.write_all(format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()).as_bytes());
}

/// Guards against giving up an engine that has just begun to answer, although the retry budget allows no other call:
/// the caller's stream would end without an event.
#[actix_rt::test]
async fn a_stream_that_begins_late_is_not_given_up_without_a_retry() {
    let node = TestNode::start_with_slack(0).await;
    node.declare(1, "resumable-stream", 3, LIMIT_MS);
    let engines = [late_stream, late_stream].map(|script| TestEngine::start(script));
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let answer = node.request("1", "/r/x").await;
    assert_eq!(status(&answer), "200");
    assert!(answer.contains("piece 1"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "the answer is complete");
}

#[actix_rt::test]
async fn a_stream_that_may_run_only_once_is_not_resumed() {
    let (node, engines) = node("stream", 2, &[breaking_stream, breaking_stream]).await;
    let answer = node.request("1", "/r/x").await;
    assert!(answer.contains("piece 2") && !answer.contains("piece 3"));
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "the answer must not look complete"
    );
    let runs: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(runs, 1);
}

/// Sends two events and closes, so that both arrive at the node together.
fn ending_after_two_events(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let events = ["id: 1\ndata: piece 1\n\n", "id: 2\ndata: piece 2\n\n"];
    let chunks = events.map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunks.concat()
    );
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Guards against losing data that arrives together with the end of the engine's connection: the
/// server closes a connection without writing what it has buffered.
#[actix_rt::test]
async fn events_that_arrive_together_with_the_end_of_the_connection_are_delivered() {
    let (node, _engines) = node("stream", 1, &[ending_after_two_events]).await;
    for request in 0..20 {
        let answer = node.request(&request.to_string(), "/r/x").await;
        assert!(answer.contains("piece 2"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "it is not complete");
    }
}

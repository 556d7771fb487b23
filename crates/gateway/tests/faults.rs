//! Answers to callers when engines are faulty, compared with the engines' run logs.

mod support;

use std::time::Duration;

use dalestand_gateway::CallerLimits;
use dalestand_standin::engine::text::expected_text;
use dalestand_standin::engine::{EngineFaults, RunLogEvent};
use futures_util::StreamExt as _;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Fixture, FixtureOptions, eventually, start_node};
use tokio::io::AsyncWriteExt as _;

const PATH: &str = "/v1/completions";
const TOKENS: u32 = 30;

fn body(model: &str, stream: bool) -> Value {
    json!({"model": model, "prompt": "a plate", "max_tokens": TOKENS, "stream": stream})
}

fn two_engines() -> FixtureOptions {
    FixtureOptions {
        engines: 2,
        ..FixtureOptions::default()
    }
}

#[rstest]
#[case::repeated(EngineFaults { duplicate_frames: true, ..EngineFaults::default() })]
#[case::reordered(EngineFaults { reorder_frames: true, ..EngineFaults::default() })]
#[case::of_another_attempt(EngineFaults { foreign_frames: true, ..EngineFaults::default() })]
#[case::all_together(EngineFaults {
    duplicate_frames: true, reorder_frames: true, foreign_frames: true, ..EngineFaults::default()
})]
#[actix_rt::test]
async fn faulty_frames_reach_no_caller(#[case] faults: EngineFaults) {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    fixture.set_faults(0, &faults).await;
    for model in ["m", "once"] {
        let expected = expected_text(model, "a plate", TOKENS);
        let streamed = fixture.post(PATH, &body(model, true), &[]).await;
        assert_eq!(streamed.streamed_text(), expected);
        assert!(streamed.text().ends_with("data: [DONE]\n\n"));
        let whole = fixture.post(PATH, &body(model, false), &[]).await;
        assert_eq!(whole.json()["choices"][0]["text"], expected);
    }
}

#[rstest]
#[case::before_its_first_token(EngineFaults { break_after_accept: 1, ..EngineFaults::default() })]
#[case::within_its_answer(EngineFaults {
    break_in_answer: 1, break_at_token: 11, ..EngineFaults::default()
})]
#[case::with_a_malformed_frame(EngineFaults { malformed_frames: 1, ..EngineFaults::default() })]
#[actix_rt::test]
async fn a_repeatable_request_continues_on_another_engine(
    #[case] faults: EngineFaults,
    #[values(false, true)] stream: bool,
) {
    let fixture = Fixture::start(two_engines()).await;
    fixture.set_faults(0, &faults).await;
    fixture.set_faults(1, &faults).await;
    let expected = expected_text("m", "a plate", TOKENS);
    let reply = fixture.post(PATH, &body("m", stream), &[]).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    if stream {
        assert_eq!(reply.streamed_text(), expected);
    } else {
        assert_eq!(reply.json()["choices"][0]["text"], expected);
        assert_eq!(reply.json()["usage"]["completion_tokens"], TOKENS);
    }
    assert!(fixture.accepted().await >= 2);
}

#[rstest]
#[case::before_its_first_token(EngineFaults { break_after_accept: 1, ..EngineFaults::default() })]
#[case::within_its_answer(EngineFaults {
    break_in_answer: 1, break_at_token: 11, ..EngineFaults::default()
})]
#[case::with_a_malformed_frame(EngineFaults { malformed_frames: 1, ..EngineFaults::default() })]
#[actix_rt::test]
async fn an_at_most_once_request_is_never_sent_again(
    #[case] faults: EngineFaults,
    #[values(false, true)] stream: bool,
) {
    let fixture = Fixture::start(two_engines()).await;
    fixture.set_faults(0, &faults).await;
    fixture.set_faults(1, &faults).await;
    let reply = fixture.post(PATH, &body("once", stream), &[]).await;
    if stream {
        assert!(
            reply.text().contains("data: {\"error\":"),
            "{}",
            reply.text()
        );
        assert!(!reply.text().contains("[DONE]"));
    } else {
        assert_eq!(reply.status, 502);
        assert_eq!(reply.header("x-dalestand-run-state"), Some("unknown"));
    }
    assert_eq!(fixture.accepted().await, 1);
}

#[rstest]
#[case("m")]
#[case("once")]
#[actix_rt::test]
async fn a_caller_that_disconnects_cancels_its_attempt(#[case] model: &str) {
    let fixture = Fixture::start(FixtureOptions {
        step: Duration::from_millis(5),
        ..FixtureOptions::default()
    })
    .await;
    let long = json!({"model": model, "prompt": "p", "max_tokens": 20_000, "stream": true});
    let url = format!("http://{}{PATH}", fixture.callers);
    let sent = awc::Client::default().post(url).send_json(&long).await;
    let mut response = sent.expect("an answer");
    assert!(response.next().await.expect("a chunk").is_ok());
    drop(response);
    let tokens = eventually("the engine records the cancellation", || async {
        let runs = fixture.runs(0).await;
        runs.iter().find_map(|run| match run.event {
            RunLogEvent::Cancelled { tokens } => Some(tokens),
            _ => None,
        })
    })
    .await;
    assert!(tokens < 20_000);
    eventually("nothing is in flight", || async {
        (fixture.shared.in_flight() == 0).then_some(())
    })
    .await;
    // The next request on the same node gets its own complete answer.
    let reply = fixture.post(PATH, &body(model, false), &[]).await;
    let expected = expected_text(model, "a plate", TOKENS);
    assert_eq!(reply.json()["choices"][0]["text"], expected);
}

#[actix_rt::test]
async fn a_caller_that_disconnects_before_a_non_streamed_answer_cancels_its_attempt() {
    let fixture = Fixture::start(FixtureOptions {
        step: Duration::from_millis(5),
        ..FixtureOptions::default()
    })
    .await;
    let long = json!({"model": "m", "prompt": "p", "max_tokens": 20_000});
    let body = long.to_string();
    let mut caller = tokio::net::TcpStream::connect(fixture.callers)
        .await
        .expect("connected");
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .expect("sent");
    eventually("the engine runs it", || async {
        let runs = fixture.runs(0).await;
        runs.iter()
            .any(|run| run.event == RunLogEvent::Started)
            .then_some(())
    })
    .await;
    drop(caller);
    eventually("the engine records the cancellation", || async {
        let runs = fixture.runs(0).await;
        let mut runs = runs.iter();
        runs.any(|run| matches!(run.event, RunLogEvent::Cancelled { .. }))
            .then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_caller_that_disconnects_before_an_engine_answers_leaves_a_closed_record() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    // An engine that accepts connections and never answers.
    let silent = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a port");
    let mut view = (**fixture.shared.fleet.load()).clone();
    for engine in &mut view.engines {
        engine.address = silent.local_addr().expect("an address");
    }
    fixture.shared.fleet.store(view.into());
    let mut caller = tokio::net::TcpStream::connect(fixture.callers)
        .await
        .expect("connected");
    let body = body("once", false).to_string();
    let length = body.len();
    let request =
        format!("POST {PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    caller.write_all(request.as_bytes()).await.expect("sent");
    let metrics = &fixture.shared.metrics;
    eventually("it is sent to an engine", || async {
        (metrics.attempts.get() == 1).then_some(())
    })
    .await;
    drop(caller);
    eventually("its record is closed as unknown", || async {
        let unknown = metrics.requests.with_label_values(&["unknown"]);
        (unknown.get() == 1).then_some(())
    })
    .await;
}

/// Reads the first `count` events of a stream and disconnects; returns the id of the last one and
/// the text so far.
async fn read_events(fixture: &Fixture, key: &str, count: usize) -> (String, String) {
    let url = format!("http://{}{PATH}", fixture.callers);
    let request = awc::Client::default()
        .post(url)
        .insert_header(("idempotency-key", key));
    let mut response = request
        .send_json(&body("m", true))
        .await
        .expect("an answer");
    let mut text = String::new();
    while text.matches("\nid: ").count() <= count {
        let chunk = response.next().await.expect("a chunk").expect("no error");
        text.push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
    }
    let mut read = String::new();
    let mut last = String::new();
    for event in text.split_inclusive("\n\n").take(count) {
        let (id, data) = event.split_once("\ndata: ").expect("an id and data");
        last = id.strip_prefix("id: ").expect("an id").to_owned();
        let chunk: Value = serde_json::from_str(data.trim()).expect("JSON");
        read.push_str(chunk["choices"][0]["text"].as_str().expect("text"));
    }
    (last, read)
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(20)]
#[actix_rt::test]
async fn an_interrupted_stream_is_resumed_at_another_node(#[case] read: usize) {
    let mut fixture = Fixture::start(two_engines()).await;
    let (id, begin) = read_events(&fixture, "k", read).await;
    let (other, _) = start_node(&fixture.shared, CallerLimits::default()).await;
    fixture.callers = other;
    let headers = [("idempotency-key", "k"), ("last-event-id", id.as_str())];
    let reply = fixture.post(PATH, &body("m", true), &headers).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let whole = format!("{begin}{}", reply.streamed_text());
    assert_eq!(whole, expected_text("m", "a plate", TOKENS));
    let request = id.split(':').next().expect("the request");
    assert_eq!(reply.header("x-request-id"), Some(request));
}

#[rstest]
#[case::another_position("k", "desk-key", "a plate", 9)]
#[case::another_key("other", "desk-key", "a plate", 0)]
#[case::another_tenant("k", "other-key", "a plate", 0)]
#[case::another_prompt("k", "desk-key", "a vase", 0)]
#[actix_rt::test]
async fn a_forged_or_foreign_event_id_is_refused(
    #[case] key: &str,
    #[case] tenant: &str,
    #[case] prompt: &str,
    #[case] position: u32,
) {
    use dalestand_gateway::RequestFingerprint;
    use dalestand_gateway::resume::EventIds;
    let fixture = Fixture::start(FixtureOptions {
        require_key: true,
        ..FixtureOptions::default()
    })
    .await;
    let authorization = |key: &str| format!("Bearer {key}");
    let owner = authorization("desk-key");
    let headers = [("idempotency-key", "k"), ("authorization", owner.as_str())];
    let first = fixture.post(PATH, &body("m", true), &headers).await.text();
    let line = first.lines().next().expect("an id");
    let mut id = line.strip_prefix("id: ").expect("an id").to_owned();
    if position > 0 {
        let fields: Vec<&str> = id.split(':').collect();
        let [request, attempt, engine, _, signature] = fields[..] else {
            panic!("{id}");
        };
        id = format!("{request}:{attempt}:{engine}:{position}:{signature}");
    }
    let authorization = authorization(tenant);
    let headers = [
        ("idempotency-key", key),
        ("authorization", authorization.as_str()),
        ("last-event-id", id.as_str()),
    ];
    let mut repeated = body("m", true);
    repeated["prompt"] = json!(prompt);
    let reply = fixture.post(PATH, &repeated, &headers).await;
    assert_eq!(reply.status, 400, "{}", reply.text());
    assert_eq!(reply.json()["error"]["param"], "last-event-id");
    assert_eq!(fixture.accepted().await, 1);
    // Nor is the id valid for a caller without an API key.
    let forged = EventIds::new(None, &RequestFingerprint([0; 32]));
    assert!(forged.read(&id).is_err());
}

#[actix_rt::test]
async fn an_at_most_once_stream_is_not_resumed() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let headers = [("idempotency-key", "k"), ("last-event-id", "1:2:e:3:4")];
    let reply = fixture.post(PATH, &body("once", true), &headers).await;
    assert_eq!(reply.status, 409);
    assert_eq!(reply.header("x-dalestand-run-state"), Some("unknown"));
    assert_eq!(fixture.accepted().await, 0);
}

#[actix_rt::test]
async fn a_slow_caller_slows_only_itself() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let long = json!({"model": "m", "prompt": "p", "max_tokens": 20_000, "stream": true});
    let url = format!("http://{}{PATH}", fixture.callers);
    let slow = awc::Client::default().post(&url).send_json(&long).await;
    let slow = slow.expect("an answer");
    // The slow caller reads nothing while others are served.
    let expected = expected_text("m", "a plate", TOKENS);
    for _ in 0..3 {
        let reply = fixture.post(PATH, &body("m", true), &[]).await;
        assert_eq!(reply.streamed_text(), expected);
    }
    assert_eq!(fixture.shared.in_flight(), 1);
    drop(slow);
}

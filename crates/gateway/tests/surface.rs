//! The OpenAI-compatible API: answers, streams, invalid input, API keys.

mod support;

use dalestand_gateway::CallerLimits;
use dalestand_standin::engine::text::expected_text;
use rstest::rstest;
use serde_json::{Value, json};
use support::{DESK_KEY, Fixture, FixtureOptions, eventually, post};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

#[actix_rt::test]
async fn models_are_listed_with_their_adapters() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let sent = awc::Client::default().get(format!("http://{}/v1/models", fixture.callers));
    let body: Value = sent
        .send()
        .await
        .expect("an answer")
        .json()
        .await
        .expect("JSON");
    let ids: Vec<&str> = body["data"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    assert_eq!(ids, ["m", "m:a", "once"]);
}

#[actix_rt::test]
async fn a_non_streamed_completion_has_text_token_counts_and_headers() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let body = json!({"model": "m:a", "prompt": ["two words"], "max_tokens": 5, "best_of": 1});
    let reply = fixture.post(COMPLETIONS, &body, &[]).await;
    assert_eq!(reply.status, 200);
    let answer = reply.json();
    assert_eq!(answer["object"], "text_completion");
    assert_eq!(answer["model"], "m:a");
    assert_eq!(
        answer["choices"][0]["text"],
        expected_text("m", "two words", 5)
    );
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["prompt_tokens"], 2);
    assert_eq!(answer["usage"]["completion_tokens"], 5);
    assert_eq!(answer["usage"]["total_tokens"], 7);
    assert_eq!(reply.header("x-dalestand-configuration"), Some("7"));
    let id = reply.header("x-request-id").expect("a request id");
    assert_eq!(answer["id"], format!("cmpl-{id}"));
}

#[actix_rt::test]
async fn a_chat_is_streamed_with_role_usage_and_closing_event() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let body = json!({
        "model": "m", "stream": true, "stream_options": {"include_usage": true},
        "max_completion_tokens": 3,
        "messages": [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "hello"}]},
        ],
    });
    let reply = fixture.post(CHAT, &body, &[]).await;
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let chunks = reply.chunks();
    assert_eq!(chunks[0]["object"], "chat.completion.chunk");
    assert_eq!(chunks[0]["choices"][0]["delta"]["role"], "assistant");
    let prompt = "system: be short\nuser: hello";
    assert_eq!(reply.streamed_text(), expected_text("m", prompt, 3));
    let last = chunks.last().expect("a chunk");
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 3);
    assert!(reply.text().ends_with("data: [DONE]\n\n"));
    let whole = json!({"model": "m", "max_tokens": 3, "messages": body["messages"]});
    let answer = fixture.post(CHAT, &whole, &[]).await.json();
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_text("m", prompt, 3));
}

#[rstest]
#[case::within_a_token(false, 6, 9)]
#[case::over_two_tokens(true, 10, 15)]
#[actix_rt::test]
async fn an_answer_ends_before_a_stop_sequence(
    #[case] stream: bool,
    #[case] begin: usize,
    #[case] end: usize,
) {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let text = expected_text("m", "go", 200);
    let stop = &text[begin..end];
    let before = text.split(stop).next().expect("text before it");
    let body = json!({
        "model": "m", "prompt": "go", "max_tokens": 200, "stop": [stop, "never"], "stream": stream,
    });
    let reply = fixture.post(COMPLETIONS, &body, &[]).await;
    if stream {
        assert_eq!(reply.streamed_text(), before);
        assert!(reply.text().contains("\"finish_reason\":\"stop\""));
    } else {
        assert_eq!(reply.json()["choices"][0]["text"], before);
        assert_eq!(reply.json()["choices"][0]["finish_reason"], "stop");
    }
}

#[rstest]
#[case::not_json(COMPLETIONS, b"{".to_vec(), 400, None)]
#[case::not_utf8(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"\xff\"}".to_vec(), 400, Some("prompt"))]
#[case::not_an_object(COMPLETIONS, b"3".to_vec(), 400, None)]
#[case::text_after_it(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"p\"} x".to_vec(), 400, None)]
#[case::too_deep(COMPLETIONS, deeply_nested_body(), 400, None)]
#[case::too_large(COMPLETIONS, vec![b' '; 20_001], 413, None)]
#[case::wrong_type(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":3}".to_vec(), 400, Some("prompt"))]
#[case::two_prompts(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}".to_vec(), 400, Some("prompt"))]
#[case::two_answers(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}".to_vec(), 400, Some("n"))]
#[case::too_many_tokens(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":20001}".to_vec(), 400, Some("max_tokens"))]
#[case::negative_tokens(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}".to_vec(), 400, Some("max_tokens"))]
#[case::empty_stop(COMPLETIONS, b"{\"model\":\"m\",\"prompt\":\"p\",\"stop\":\"\"}".to_vec(), 400, Some("stop"))]
#[case::no_such_model(COMPLETIONS, b"{\"model\":\"x\",\"prompt\":\"p\"}".to_vec(), 404, Some("model"))]
#[case::no_such_adapter(COMPLETIONS, b"{\"model\":\"m:x\",\"prompt\":\"p\"}".to_vec(), 404, Some("model"))]
#[case::an_image(CHAT, b"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"image_url\"}]}]}".to_vec(), 400, Some("messages[0].content"))]
#[case::no_messages(CHAT, b"{\"model\":\"m\",\"messages\":[]}".to_vec(), 400, Some("messages"))]
#[case::no_such_path("/v1/other", b"{}".to_vec(), 404, None)]
#[actix_rt::test]
async fn invalid_input_is_rejected_with_the_field_name(
    #[case] path: &str,
    #[case] body: Vec<u8>,
    #[case] status: u16,
    #[case] field: Option<&str>,
) {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let reply = post(fixture.callers, path, body, &[]).await;
    assert_eq!(reply.status, status, "{}", reply.text());
    assert_eq!(
        reply.json()["error"]["param"].as_str(),
        field,
        "{}",
        reply.text()
    );
    assert_eq!(reply.header("x-dalestand-run-state"), Some("not-run"));
    assert_eq!(fixture.accepted().await, 0);
}

fn deeply_nested_body() -> Vec<u8> {
    let mut body = b"{\"model\":\"m\",\"prompt\":\"p\",\"extra\":".to_vec();
    body.extend(vec![b'['; 5_000]);
    body
}

#[rstest]
#[case::no_key(&[], 401)]
#[case::unknown_key(&[("authorization", "Bearer nobody")], 401)]
#[case::not_a_bearer(&[("authorization", "Basic desk-key")], 401)]
#[case::known_key(&[("authorization", "Bearer desk-key")], 200)]
#[case::unknown_class(&[("authorization", "Bearer desk-key"), ("x-dalestand-class", "x")], 400)]
#[case::wrong_priority(&[("authorization", "Bearer desk-key"), ("x-dalestand-priority", "x")], 400)]
#[actix_rt::test]
async fn keys_classes_and_priorities_are_checked(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let options = FixtureOptions {
        require_key: true,
        ..FixtureOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let body = json!({"model": "m", "prompt": "p"});
    let reply = fixture.post(COMPLETIONS, &body, headers).await;
    assert_eq!(reply.status, status, "{}", reply.text());
    assert!(!reply.text().contains(DESK_KEY));
    assert_eq!(fixture.accepted().await, usize::from(status == 200));
}

#[rstest]
#[case::of_the_tenants_class(&[], "plain", 3, 600_000)]
#[case::of_the_class_asked_for(&[("x-dalestand-class", "urgent")], "urgent", 9, 600_000)]
#[case::lowered(
    &[("x-dalestand-priority", "1"), ("x-dalestand-deadline-ms", "9000")], "plain", 1, 9_000
)]
#[case::never_raised(
    &[("x-dalestand-priority", "200"), ("x-dalestand-deadline-ms", "900000")], "plain", 3, 600_000
)]
#[actix_rt::test]
async fn class_priority_and_deadline_are_recorded(
    #[case] headers: &[(&str, &str)],
    #[case] class: &str,
    #[case] priority: u8,
    #[case] deadline_ms: u64,
) {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let mut headers = headers.to_vec();
    headers.push(("authorization", "Bearer desk-key"));
    let body = json!({"model": "m", "prompt": "p"});
    let reply = fixture.post(COMPLETIONS, &body, &headers).await;
    let id = reply.header("x-request-id").expect("a request id");
    let id = id.parse().expect("a request id");
    let record = fixture.shared.decisions().request(id).cloned();
    let record = record.expect("a record");
    assert_eq!(
        record.tenant.as_ref().map(|name| name.as_str()),
        Some("desk")
    );
    assert_eq!(record.terms.class.as_deref(), Some(class));
    assert_eq!(record.terms.priority.0, priority);
    assert_eq!(record.terms.deadline_ms, Some(deadline_ms));
}

#[actix_rt::test]
async fn an_unknown_key_counts_as_none_where_none_is_required() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let body = json!({"model": "m", "prompt": "p"});
    let headers = [("authorization", "Bearer nobody")];
    let reply = fixture.post(COMPLETIONS, &body, &headers).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[actix_rt::test]
async fn connections_beyond_the_limit_are_refused_as_not_run_with_retry_after() {
    let mut options = FixtureOptions::default();
    options.limits.server.max_connections = 1;
    let fixture = Fixture::start(options).await;
    let held = tokio::net::TcpStream::connect(fixture.callers).await;
    let held = held.expect("connected");
    eventually("the connection is counted", || async {
        (fixture.connections.open() == 1).then_some(())
    })
    .await;
    let body = json!({"model": "m", "prompt": "p"});
    let reply = fixture.post(COMPLETIONS, &body, &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("x-dalestand-run-state"), Some("not-run"));
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(fixture.accepted().await, 0);
    drop(held);
    eventually("the connection is closed", || async {
        (fixture.connections.open() == 0).then_some(())
    })
    .await;
    assert_eq!(fixture.post(COMPLETIONS, &body, &[]).await.status, 200);
}

#[actix_rt::test]
async fn requests_beyond_the_limit_are_refused_as_not_run_with_retry_after() {
    let limits = CallerLimits {
        max_requests: 0,
        ..CallerLimits::default()
    };
    let fixture = Fixture::start(FixtureOptions {
        limits,
        ..FixtureOptions::default()
    })
    .await;
    let reply = fixture
        .post(COMPLETIONS, &json!({"model": "m", "prompt": "p"}), &[])
        .await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("x-dalestand-run-state"), Some("not-run"));
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(fixture.accepted().await, 0);
}

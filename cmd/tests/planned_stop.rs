//! A planned stop under load: running requests are answered completely, new ones are refused as not run, and a
//! second signal has no effect.

mod support;

use std::net::SocketAddr;

use dalestand_standin::engine::text;
use dalestand_types::Role;
use futures_util::StreamExt as _;
use serde_json::{Value, json};
use support::fleet::Fleet;
use support::{eventually, post};

const LEASE_MS: u64 = 1_500;

/// Output tokens of an answer, which takes the stand-in a few seconds.
const TOKENS: u32 = 250;

fn body(prompt: &str, stream: bool) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": stream})
}

/// Sends a streaming request, waits for its first chunk, and returns a future of the whole stream.
async fn start_stream(callers: SocketAddr) -> impl Future<Output = String> {
    let client = awc::Client::builder().disable_timeout().finish();
    let url = format!("http://{callers}/v1/completions");
    let sent = client.post(url).send_json(&body("stream", true)).await;
    let mut response = sent.expect("an answer");
    assert_eq!(response.status().as_u16(), 200);
    let first = response.next().await.expect("a chunk").expect("no error");
    async move {
        let mut read = first.to_vec();
        while let Some(chunk) = response.next().await {
            read.extend_from_slice(&chunk.expect("no error"));
        }
        String::from_utf8(read).expect("UTF-8")
    }
}

fn streamed_text(stream: &str) -> String {
    let chunks = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"));
    let texts = chunks.map(|rest| {
        let chunk: Value = serde_json::from_str(&format!("{{{rest}")).expect("JSON");
        chunk["choices"][0]["text"]
            .as_str()
            .expect("text")
            .to_owned()
    });
    texts.collect()
}

#[actix_rt::test]
async fn a_planned_stop_interrupts_no_answer_and_runs_no_new_request() {
    let mut fleet = Fleet::start(&["e"], LEASE_MS).await;
    fleet.start_node("n").await;
    fleet.apply("n", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_routes("n").await;
    let callers = fleet.nodes["n"].callers;

    eventually("the model is served", || async {
        let first = json!({"model": "m", "prompt": "first", "max_tokens": 1});
        let (status, _) = post(callers, "/v1/completions", &first).await;
        (status == 200).then_some(())
    })
    .await;
    let stream = start_stream(callers).await;
    let unary =
        actix_rt::spawn(
            async move { post(callers, "/v1/completions", &body("whole", false)).await },
        );
    let engine = fleet.engines["e"].address;
    eventually("both run", || async {
        let load: dalestand_types::EngineLoad = support::get(engine, "/v1/load").await;
        (load.running == 2).then_some(())
    })
    .await;
    fleet.nodes["n"].process.signal("TERM");
    let refused = eventually("a new request is refused", || async {
        let sent = awc::Client::default().post(format!("http://{callers}/v1/completions"));
        // One token, so that a request accepted before the signal does not prolong the stop.
        let late = json!({"model": "m", "prompt": "late", "max_tokens": 1});
        let mut response = sent.send_json(&late).await.ok()?;
        let _ = response.body().await;
        (response.status().as_u16() == 503).then_some(response)
    })
    .await;
    let header = |name: &str| {
        refused
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    assert_eq!(header("x-dalestand-run-state"), Some("not-run"));
    assert!(header("retry-after").is_some());
    fleet.nodes["n"].process.signal("TERM");

    let stream = stream.await;
    assert_eq!(
        streamed_text(&stream),
        text::expected_text("m", "stream", TOKENS)
    );
    assert!(stream.ends_with("data: [DONE]\n\n"));
    let (status, answer) = unary.await.expect("answered");
    assert_eq!(status, 200);
    let answer: Value = serde_json::from_str(&answer).expect("JSON");
    let expected = text::expected_text("m", "whole", TOKENS);
    assert_eq!(answer["choices"][0]["text"], expected);
    let node = fleet.nodes.get_mut("n").expect("the node");
    assert_eq!(node.process.wait(), Some(0));
}

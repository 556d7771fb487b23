//! One stream: sends requests one after the other and measures the time of each token.

use std::time::{Duration, Instant};

use awc::Client;
use bytes::BytesMut;
use dalestand_edge::wire::engine::GENERATE;
use dalestand_types::{AttemptId, GenerationRequest, ModelName, Priority, RequestId, Revision};
use futures_util::StreamExt as _;
use serde_json::json;

use super::measurement::{Measurement, record};
use super::options::{LoadOptions, Target};

/// Start of an engine's line that contains a token.
const ENGINE_TOKEN_PREFIX: &[u8] = br#"{"frame":"token""#;

/// Start of a node's line that contains a chunk.
const NODE_CHUNK_PREFIX: &[u8] = b"data: {";

/// Text in a chunk that contains a token, not the end of the response.
const NODE_TOKEN_MARKER: &[u8] = br#""finish_reason":null"#;

/// Waits for `delay` and then sends requests until `deadline`. The last response is read to its
/// end.
pub(super) async fn run_until(
    options: &LoadOptions,
    target: Target,
    number: usize,
    delay: Duration,
    deadline: Instant,
) -> Measurement {
    let client = Client::builder().disable_timeout().finish();
    actix_rt::time::sleep(delay).await;
    let mut measured = Measurement::new();
    let mut sent = 0;
    while Instant::now() < deadline {
        let prompt = prompt(options.prompt_words, number, sent);
        let received = match target {
            Target::Engine => request_engine(&client, options, prompt, &mut measured).await,
            Target::Node => request_node(&client, options, prompt, &mut measured).await,
        };
        if received == Some(options.tokens) {
            measured.complete += 1;
        } else {
            measured.failed += 1;
        }
        sent += 1;
    }
    measured
}

fn prompt(words: usize, number: usize, sent: usize) -> String {
    let mut prompt = format!("stream{number} request{sent}");
    for word in 2..words {
        prompt.push_str(&format!(" word{word}"));
    }
    prompt
}

async fn request_engine(
    client: &Client,
    options: &LoadOptions,
    prompt: String,
    measured: &mut Measurement,
) -> Option<u32> {
    let body = GenerationRequest {
        request: RequestId(rand::random()),
        attempt: AttemptId(rand::random()),
        model: ModelName::from(options.model.as_str()),
        adapter: None,
        tenant: None,
        prompt,
        max_tokens: options.tokens,
        resume_from: 0,
        priority: Priority::default(),
        deadline_ms: None,
        revision: Revision(0),
        incarnation: None,
        once_key: None,
        import_from: None,
        prefill_only: false,
    };
    let url = format!("http://{}{GENERATE}", options.engine?);
    let sent_at = Instant::now();
    let response = client.post(url).send_json(&body).await.ok()?;
    read(response, Target::Engine, sent_at, measured).await
}

async fn request_node(
    client: &Client,
    options: &LoadOptions,
    prompt: String,
    measured: &mut Measurement,
) -> Option<u32> {
    let body = json!({
        "model": options.model, "prompt": prompt, "max_tokens": options.tokens, "stream": true,
    });
    let url = format!("http://{}/v1/completions", options.node?);
    let sent_at = Instant::now();
    let response = client.post(url).send_json(&body).await.ok()?;
    read(response, Target::Node, sent_at, measured).await
}

/// Reads a response to its end; returns its number of tokens, or `None` if the request was rejected
/// or the response incomplete.
async fn read<S>(
    mut response: awc::ClientResponse<S>,
    target: Target,
    sent_at: Instant,
    measured: &mut Measurement,
) -> Option<u32>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    if !response.status().is_success() {
        return None;
    }
    let mut buffer = BytesMut::new();
    let mut tokens = 0;
    let mut last = None;
    while let Some(chunk) = response.next().await {
        let now = Instant::now();
        buffer.extend_from_slice(&chunk.ok()?);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if !is_token(target, &line) {
                continue;
            }
            tokens += 1;
            measured.tokens += 1;
            match last {
                None => record(&mut measured.first_token, now - sent_at),
                Some(last) => record(&mut measured.gap, now - last),
            }
            last = Some(now);
        }
    }
    Some(tokens)
}

fn is_token(target: Target, line: &[u8]) -> bool {
    match target {
        Target::Engine => line.starts_with(ENGINE_TOKEN_PREFIX),
        Target::Node => {
            let mut windows = line.windows(NODE_TOKEN_MARKER.len());
            line.starts_with(NODE_CHUNK_PREFIX) && windows.any(|window| window == NODE_TOKEN_MARKER)
        }
    }
}

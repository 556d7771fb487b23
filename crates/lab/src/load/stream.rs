//! One stream: requests one after the other, each token timed.

use std::time::{Duration, Instant};

use awc::Client;
use bytes::BytesMut;
use dalestand_edge::wire::engine::GENERATE;
use dalestand_types::{AttemptId, GenerationRequest, ModelName, Priority, RequestId, Revision};
use futures_util::StreamExt as _;
use serde_json::json;

use super::measurement::{Measurement, record};
use super::options::{LoadOptions, Side};

/// Begin of a line that carries one token, as an engine sends it.
const ENGINE_TOKEN: &[u8] = br#"{"frame":"token""#;

/// Begin of a line that carries a chunk, as a node sends it.
const NODE_CHUNK: &[u8] = b"data: {";

/// Mark of a chunk that carries a token: it does not end the answer.
const NODE_TOKEN_MARK: &[u8] = br#""finish_reason":null"#;

/// Sends requests from `delay` on until `deadline`; the last one is read to its end.
pub(super) async fn run_until(
    options: &LoadOptions,
    side: Side,
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
        let received = match side {
            Side::Engine => request_engine(&client, options, prompt, &mut measured).await,
            Side::Node => request_node(&client, options, prompt, &mut measured).await,
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
    read(response, Side::Engine, sent_at, measured).await
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
    read(response, Side::Node, sent_at, measured).await
}

/// Reads an answer to its end; yields its tokens, or `None` if it was refused or broke off.
async fn read<S>(
    mut response: awc::ClientResponse<S>,
    side: Side,
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
            if !is_token(side, &line) {
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

fn is_token(side: Side, line: &[u8]) -> bool {
    match side {
        Side::Engine => line.starts_with(ENGINE_TOKEN),
        Side::Node => {
            let mut windows = line.windows(NODE_TOKEN_MARK.len());
            line.starts_with(NODE_CHUNK) && windows.any(|window| window == NODE_TOKEN_MARK)
        }
    }
}

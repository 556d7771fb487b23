//! A drained engine accepts no new requests, finishes its running ones, and stays drained when every node is
//! replaced.

mod support;

use std::net::SocketAddr;

use dalestand_node::StatusResponse;
use dalestand_standin::engine::{RunLogEntry, RunLogEvent, text};
use support::site::{Platform, apply, deployment, start_engine};
use support::{Node, ctl, eventually, get, post};

const ENGINES: [&str; 2] = ["e1", "e2"];

/// Output tokens of an answer that is still incomplete when its engine is marked as drained.
const LONG_ANSWER_TOKENS: u32 = 200;

/// Requests sent after the drain; each would reach the drained engine with a probability of one half.
const LATER_REQUESTS: usize = 20;

/// Waits until `accepting` engines accept new requests from a node.
async fn wait_for_accepting(node: &Node, accepting: usize) {
    eventually("the expected engines accept requests", || async {
        let status: StatusResponse = get(node.operators, "/status").await;
        let serving = status
            .engines
            .iter()
            .filter(|row| row.accepting && !row.models.is_empty());
        let known = status.engines.len() == 2;
        (known && serving.count() == accepting).then_some(())
    })
    .await;
}

async fn runs(engine: SocketAddr) -> Vec<RunLogEntry> {
    get(engine, "/log/runs").await
}

#[actix_rt::test]
async fn a_drained_engine_accepts_no_new_requests_and_interrupts_none() {
    let platform = Platform::start();
    let (_first, first) = start_engine(ENGINES[0], platform.machines, &[]).await;
    let (_second, second) = start_engine(ENGINES[1], platform.machines, &[]).await;
    let mut node = platform.start_node("n1", "z", "lease_ms = 1000\n");
    apply(&node, &deployment(&ENGINES, "")).await;
    wait_for_accepting(&node, 2).await;

    let long = serde_json::json!({
        "model": "m", "prompt": "a long caption", "max_tokens": LONG_ANSWER_TOKENS
    });
    let callers = node.callers;
    let body = long.clone();
    let answer = actix_rt::spawn(async move { post(callers, "/v1/completions", &body).await });
    let busy = eventually("an engine runs the long answer", || async {
        if !runs(first).await.is_empty() {
            return Some(("e1", first));
        }
        (!runs(second).await.is_empty()).then_some(("e2", second))
    })
    .await;
    let drained = ctl(node.operators, &["drain", "engine", busy.0]);
    assert_eq!(drained.status.code(), Some(0), "{drained:?}");
    wait_for_accepting(&node, 1).await;

    let before = runs(busy.1)
        .await
        .iter()
        .filter(|run| run.event == RunLogEvent::Accepted)
        .count();
    let short = serde_json::json!({"model": "m", "prompt": "a tag", "max_tokens": 1});
    for _ in 0..LATER_REQUESTS {
        assert_eq!(post(node.callers, "/v1/completions", &short).await.0, 200);
    }
    let (status, body) = answer.await.expect("the caller's task ends");
    assert_eq!(status, 200, "{body}");
    assert!(body.contains(text::expected_text("m", "a long caption", LONG_ANSWER_TOKENS).trim()));
    let after = runs(busy.1)
        .await
        .iter()
        .filter(|run| run.event == RunLogEvent::Accepted)
        .count();
    assert_eq!(before, after, "the drained engine accepted new requests");

    assert_eq!(ctl(node.operators, &["drain"]).status.code(), Some(0));
    assert_eq!(node.process.wait(), Some(0));
    let replacement = platform.start_node("n2", "z", "lease_ms = 1000\n");
    wait_for_accepting(&replacement, 1).await;
    let undrained = ctl(replacement.operators, &["undrain", "engine", busy.0]);
    assert_eq!(undrained.status.code(), Some(0), "{undrained:?}");
    wait_for_accepting(&replacement, 2).await;

    let unknown = ctl(replacement.operators, &["drain", "engine", "nowhere"]);
    assert_eq!(unknown.status.code(), Some(1));
}

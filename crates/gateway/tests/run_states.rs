//! Run states told to callers, held against the engines' run logs: "not run" is never said of a
//! request that an engine accepted, and what may run once is accepted once.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use dalestand_standin::engine::text::expected_text;
use dalestand_standin::engine::{EngineFaults, RunLogEvent};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use support::{Reply, Stage, StageOptions};

const PATH: &str = "/v1/completions";
const TOKENS: u32 = 20;

/// Requests sent at once: more than both engines hold.
const REQUESTS: usize = 24;

/// Requests sent one after the other.
const CALM_REQUESTS: usize = 12;

/// Attempts that engines accepted, by request.
async fn accepted(stage: &Stage) -> HashMap<String, usize> {
    let mut accepted = HashMap::new();
    for engine in 0..stage.engines.len() {
        for run in stage.runs(engine).await {
            if run.event == RunLogEvent::Accepted {
                *accepted.entry(run.request.to_string()).or_insert(0) += 1;
            }
        }
    }
    accepted
}

async fn call(stage: &Stage, model: &str, number: usize) -> Reply {
    let prompt = format!("request {number}");
    let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS});
    let reply = stage.post(PATH, &body, &[]).await;
    if reply.status == 200 {
        let expected = expected_text(model, &prompt, TOKENS);
        assert_eq!(reply.json()["choices"][0]["text"], expected);
    }
    reply
}

#[rstest]
#[case::overload(EngineFaults::default(), false)]
#[case::broken_after_accept(
    EngineFaults { break_after_accept: 3, ..EngineFaults::default() }, false
)]
#[case::broken_in_the_answer(
    EngineFaults { break_in_answer: 3, break_at_token: 5, ..EngineFaults::default() }, false
)]
#[case::cut_after_the_request_was_sent(EngineFaults::default(), true)]
#[case::all_together(
    EngineFaults {
        break_after_accept: 2, break_in_answer: 2, break_at_token: 3, malformed_frames: 2,
        duplicate_frames: true, reorder_frames: true, foreign_frames: true,
        ..EngineFaults::default()
    },
    true
)]
#[actix_rt::test]
async fn not_run_is_never_said_of_what_an_engine_accepted(
    #[case] faults: EngineFaults,
    #[case] cut_first: bool,
    #[values("m", "once")] model: &str,
) {
    let stage = Stage::start(StageOptions {
        engines: 2,
        capacity: 1,
        cut_first,
        step: Duration::from_millis(2),
        ..StageOptions::default()
    })
    .await;
    stage.faults(0, &faults).await;
    stage.faults(1, &faults).await;
    let mut replies = Vec::new();
    // With room at both engines, a request sent again would be accepted.
    for number in 0..CALM_REQUESTS {
        replies.push(call(&stage, model, number).await);
    }
    let numbers = CALM_REQUESTS..CALM_REQUESTS + REQUESTS;
    replies.extend(join_all(numbers.map(|number| call(&stage, model, number))).await);
    let accepted = accepted(&stage).await;
    let mut refused = 0;
    let mut unknown = 0;
    for reply in &replies {
        let request = reply.header("x-request-id").expect("a request id");
        let runs = accepted.get(request).copied().unwrap_or(0);
        match reply.header("x-dalestand-run-state") {
            Some("not-run") => {
                refused += 1;
                assert_eq!(runs, 0, "{}", reply.text());
                assert!(reply.header("retry-after").is_some());
            }
            Some(state) => {
                unknown += 1;
                assert_eq!(state, "unknown");
            }
            None => assert_eq!(reply.status, 200),
        }
        if model == "once" {
            assert!(runs <= 1, "{runs} runs: {}", reply.text());
        }
    }
    assert!(refused < REQUESTS);
    if cut_first {
        assert!(unknown > 0);
    } else {
        assert!(refused > 0);
    }
}

//! Run states reported to callers, compared with the engines' run logs: a request that an engine
//! accepted is never reported as "not run", and an at-most-once request is accepted at most once.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use dalestand_standin::engine::text::expected_text;
use dalestand_standin::engine::{EngineFaults, RunLogEvent};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use support::{Fixture, FixtureOptions, Reply};

const PATH: &str = "/v1/completions";
const TOKENS: u32 = 20;

/// Number of concurrent requests; more than both engines can hold.
const CONCURRENT_REQUESTS: usize = 24;

/// Number of requests sent one after the other.
const SEQUENTIAL_REQUESTS: usize = 12;

/// Number of attempts that engines accepted, by request.
async fn accepted(fixture: &Fixture) -> HashMap<String, usize> {
    let mut accepted = HashMap::new();
    for engine in 0..fixture.engines.len() {
        for run in fixture.runs(engine).await {
            if run.event == RunLogEvent::Accepted {
                *accepted.entry(run.request.to_string()).or_insert(0) += 1;
            }
        }
    }
    accepted
}

async fn call(fixture: &Fixture, model: &str, number: usize) -> Reply {
    let prompt = format!("request {number}");
    let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS});
    let reply = fixture.post(PATH, &body, &[]).await;
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
async fn an_accepted_request_is_never_reported_as_not_run(
    #[case] faults: EngineFaults,
    #[case] first_engine_disconnects: bool,
    #[values("m", "once")] model: &str,
) {
    let fixture = Fixture::start(FixtureOptions {
        engines: 2,
        capacity: 1,
        first_engine_disconnects,
        step: Duration::from_millis(2),
        ..FixtureOptions::default()
    })
    .await;
    fixture.set_faults(0, &faults).await;
    fixture.set_faults(1, &faults).await;
    let mut replies = Vec::new();
    // Both engines have free slots here, so a request sent again would be accepted.
    for number in 0..SEQUENTIAL_REQUESTS {
        replies.push(call(&fixture, model, number).await);
    }
    let numbers = SEQUENTIAL_REQUESTS..SEQUENTIAL_REQUESTS + CONCURRENT_REQUESTS;
    replies.extend(join_all(numbers.map(|number| call(&fixture, model, number))).await);
    let accepted = accepted(&fixture).await;
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
    assert!(refused < CONCURRENT_REQUESTS);
    if first_engine_disconnects {
        assert!(unknown > 0);
    } else {
        assert!(refused > 0);
    }
}

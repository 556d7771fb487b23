//! A request with an idempotency key runs at most once, despite repeated requests and failures of nodes, engines
//! and the key-value service.

mod support;

use dalestand_history::checks::{at_most_once, refused_requests_did_not_run};
use dalestand_history::{EngineLogEntry, Event, RequestEnd, RunLogEvent};
use dalestand_standin::key_value::KeyValueFaults;
use dalestand_types::Role;
use futures_util::future::join_all;
use support::fleet::Fleet;
use support::{Answer, call, eventually};

const LEASE_MS: u64 = 1_500;

/// Output tokens of an answer that completes quickly.
const SHORT_ANSWER_TOKENS: u32 = 5;

/// Output tokens of an answer that takes about ten seconds, longer than the test.
const LONG_ANSWER_TOKENS: u32 = 1_000;

async fn start(nodes: &[&str]) -> Fleet {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    for node in nodes {
        fleet.start_node(node).await;
    }
    fleet.apply(nodes[0], &fleet.deployment(Role::Mixed, false));
    fleet.wait_for_role(Role::Mixed).await;
    for node in nodes {
        fleet.wait_for_models(node).await;
    }
    fleet
}

/// Sends a request with an idempotency key and records the event if it is refused as not run.
async fn send(fleet: &Fleet, node: &str, key: &str, tokens: u32) -> Answer {
    let body = serde_json::json!({"model": "m", "prompt": key, "max_tokens": tokens});
    let address = fleet.nodes[node].callers;
    let answer = call(address, "/v1/completions", Some(key), &body).await;
    let answer = answer.expect("the node listens");
    let id = answer.request.as_ref().and_then(|id| id.parse().ok());
    if let Some(request) = id
        && answer.run_state.as_deref() == Some("not-run")
    {
        let end = RequestEnd::NotRun;
        fleet.recorder.record(Event::RequestEnded { request, end });
    }
    answer
}

/// Number of requests that engines accepted, over all keys.
fn accepted_requests(fleet: &Fleet) -> usize {
    let history = fleet.recorder.history();
    let accepted = history.engine_log_lines().filter(|(_, line)| {
        matches!(&line.entry, EngineLogEntry::Run(run) if run.event == RunLogEvent::Accepted)
    });
    accepted.count()
}

async fn check(fleet: &Fleet) {
    let history = fleet.history().await;
    assert_eq!(at_most_once(&history), Ok(()));
    assert_eq!(refused_requests_did_not_run(&history), Ok(()));
}

#[actix_rt::test]
async fn one_key_at_two_nodes_at_once_runs_once() {
    let fleet = start(&["n1", "n2"]).await;
    const KEYS: usize = 8;
    for key in 0..KEYS {
        let key = format!("key {key}");
        let sent =
            ["n1", "n2", "n1", "n2"].map(|node| send(&fleet, node, &key, SHORT_ANSWER_TOKENS));
        let answers = join_all(sent).await;
        let complete = answers
            .iter()
            .filter(|answer| answer.status == Some(200))
            .count();
        assert!(complete >= 1);
        // Requests that arrived while the first one ran get its answer later.
        let repeated = eventually("the answer is known at the other node", || async {
            let answer = send(&fleet, "n2", &key, SHORT_ANSWER_TOKENS).await;
            (answer.status == Some(200)).then_some(answer.body)
        })
        .await;
        let text = dalestand_standin::engine::text::expected_text("m", &key, SHORT_ANSWER_TOKENS);
        assert!(repeated.contains(&text), "{repeated}");
    }
    assert_eq!(accepted_requests(&fleet), KEYS);
    check(&fleet).await;
}

#[actix_rt::test]
async fn a_key_whose_node_was_killed_after_the_dispatch_does_not_run_again() {
    let mut fleet = start(&["n1", "n2"]).await;
    let body = serde_json::json!({"model": "m", "prompt": "p", "max_tokens": LONG_ANSWER_TOKENS});
    let address = fleet.nodes["n1"].callers;
    let caller = actix_rt::spawn(async move {
        drop(call(address, "/v1/completions", Some("key"), &body).await);
    });
    eventually("it runs", || async {
        (accepted_requests(&fleet) == 1).then_some(())
    })
    .await;
    fleet.nodes.remove("n1");
    drop(caller.await);
    let body = serde_json::json!({"model": "m", "prompt": "p", "max_tokens": LONG_ANSWER_TOKENS});
    let address = fleet.nodes["n2"].callers;
    let repeated = call(address, "/v1/completions", Some("key"), &body).await;
    let repeated = repeated.expect("the node listens");
    assert_ne!(repeated.status, Some(200));
    assert!(repeated.retry_after.is_some(), "{}", repeated.body);
    assert_eq!(accepted_requests(&fleet), 1);
    check(&fleet).await;
}

#[actix_rt::test]
async fn a_key_whose_node_was_killed_before_the_dispatch_does_not_run_twice() {
    let mut fleet = start(&["n1", "n2"]).await;
    let lost = KeyValueFaults {
        lose_write_answers: 1,
        ..KeyValueFaults::default()
    };
    fleet.set_key_value_faults(&lost).await;
    let body =
        serde_json::json!({"model": "m", "prompt": "key", "max_tokens": SHORT_ANSWER_TOKENS});
    let address = fleet.nodes["n1"].callers;
    let caller = actix_rt::spawn(async move {
        drop(call(address, "/v1/completions", Some("key"), &body).await);
    });
    eventually("the claim is written, and not answered", || async {
        (fleet.claim_records().await > 0).then_some(())
    })
    .await;
    fleet.nodes.remove("n1");
    drop(caller.await);
    let repeated = send(&fleet, "n2", "key", SHORT_ANSWER_TOKENS).await;
    assert_ne!(repeated.status, Some(200), "{}", repeated.body);
    assert!(accepted_requests(&fleet) <= 1);
    check(&fleet).await;
}

#[actix_rt::test]
async fn an_outage_of_the_key_value_service_refuses_as_not_run() {
    let fleet = start(&["n1", "n2"]).await;
    let outage = KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    };
    fleet.set_key_value_faults(&outage).await;
    for node in ["n1", "n2"] {
        let refused = send(&fleet, node, "key", SHORT_ANSWER_TOKENS).await;
        assert_eq!(refused.run_state.as_deref(), Some("not-run"));
        assert!(refused.retry_after.is_some());
    }
    assert_eq!(accepted_requests(&fleet), 0);
    fleet.set_key_value_faults(&KeyValueFaults::default()).await;
    eventually("the key is served after the outage", || async {
        let answer = send(&fleet, "n1", "key", SHORT_ANSWER_TOKENS).await;
        (answer.status == Some(200)).then_some(())
    })
    .await;
    check(&fleet).await;
}

#[actix_rt::test]
async fn a_key_outlives_every_node() {
    let mut fleet = start(&["n1", "n2"]).await;
    let first = send(&fleet, "n1", "key", SHORT_ANSWER_TOKENS).await;
    assert_eq!(first.status, Some(200), "{}", first.body);
    fleet.nodes.clear();
    // Restarted engines do not remember keys, so that only the nodes' records can prevent a second run.
    for engine in ["e1", "e2"] {
        fleet.start_engine(engine, 2).await;
    }
    fleet.start_node("n3").await;
    fleet.wait_for_role(Role::Mixed).await;
    fleet.wait_for_models("n3").await;
    let repeated = send(&fleet, "n3", "key", SHORT_ANSWER_TOKENS).await;
    assert_ne!(repeated.status, Some(200), "{}", repeated.body);
    assert_eq!(accepted_requests(&fleet), 1);
    check(&fleet).await;
}

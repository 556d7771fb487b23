//! Any node can explain a decision: it forwards the query to the node that has the record.

mod support;

use dalestand_node::{EngineExplanation, RequestExplanation, StatusResponse};
use support::site::{Platform, apply, deployment, start_engine};
use support::{ctl, eventually, get, post};

#[actix_rt::test]
async fn a_node_without_the_record_asks_the_one_that_keeps_it() {
    let platform = Platform::start();
    let (_engine, engine) = start_engine("e", platform.machines, &[]).await;
    let holder = platform.start_node("holder", "z", "");
    let seeds = format!("seeds = [\"{}\"]\n", holder.peers);
    let other = platform.start_node("other", "y", &seeds);
    apply(&holder, &deployment(&["e"], "")).await;

    let request = serde_json::json!({"model": "m", "prompt": "a plate", "max_tokens": 2});
    eventually("a completion is served", || async {
        let (status, _) = post(holder.callers, "/v1/completions", &request).await;
        (status == 200).then_some(())
    })
    .await;
    eventually("the other node knows the holder", || async {
        let status: StatusResponse = get(other.operators, "/status").await;
        let holders: Vec<&str> = status.holders.values().map(|node| node.as_str()).collect();
        (status.members.len() == 1 && holders == ["holder"]).then_some(())
    })
    .await;

    let runs: serde_json::Value = get(engine, "/log/runs").await;
    let id = runs[0]["request"].as_str().expect("an id");
    let output = ctl(other.operators, &["--json", "explain", "request", id]);
    let request: RequestExplanation = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(request.record.request.to_string(), id);
    let output = ctl(other.operators, &["--json", "explain", "engine", "e"]);
    let engine: EngineExplanation = serde_json::from_slice(&output.stdout).expect("JSON");
    assert!(engine.control.is_some());

    let unknown = ctl(other.operators, &["explain", "engine", "nowhere"]);
    assert_eq!(unknown.status.code(), Some(1));
}

//! A question put to any node is answered by the node that keeps the record.

mod support;

use std::net::SocketAddr;

use dalestand_node::{EngineExplanation, RequestExplanation, StatusResponse};
use support::{Node, ctl, eventually, get, post, standin};

const DEPLOYMENT: &str = r#"format = 1
name = "forwarded"
callers.require_key = false

[[model]]
name = "m"
version = "1"
weights_gib = 1.0

[[pool]]
name = "p"
models = ["m"]

[[group]]
pool = "p"
zone = "z"
engines = ["e"]
"#;

fn settings(name: &str, zone: &str, kv: SocketAddr, machines: SocketAddr, seed: &str) -> String {
    format!(
        "node = \"{name}\"\nzone = \"{zone}\"\ncaller_listen = \"127.0.0.1:0\"\n\
         operator_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
         key_value = \"{kv}\"\nmachine_list = \"{machines}\"\nload_poll_ms = 100\nseeds = [{seed}]\n"
    )
}

#[actix_rt::test]
async fn a_node_without_the_record_asks_the_one_that_keeps_it() {
    let (_kv, kv) = standin(&["kv"]);
    let (_machines, machines) = standin(&["machines"]);
    let (_engine, engine) = standin(&["engine", "--name", "e"]);
    let machine = serde_json::json!({
        "name": "e", "kind": "engine", "zone": "z", "address": engine.to_string(),
        "incarnation": 1, "state": "live"
    });
    post(machines, "/v1/machines", &machine).await;
    let holder = Node::start(&settings("holder", "z", kv, machines, ""));
    let seed = format!("\"{}\"", holder.peers);
    let other = Node::start(&settings("other", "y", kv, machines, &seed));
    let apply = serde_json::json!({"text": DEPLOYMENT, "author": "test", "expected": null});
    let (status, body) = post(holder.operators, "/apply", &apply).await;
    assert_eq!(status, 200, "{body}");

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

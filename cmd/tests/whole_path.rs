//! End to end with separate processes: a configuration is applied, a fenced order reaches the engine, and a
//! completion is streamed from the engine through the node to the caller.

mod support;

use dalestand_node::StatusResponse;
use dalestand_standin::engine::{OrderLogEntry, RunLogEntry, RunLogEvent, text};
use dalestand_types::Epoch;
use support::site::{Platform, deployment, start_engine};
use support::{ctl, eventually, get, post};

#[actix_rt::test]
async fn a_streamed_completion_goes_from_caller_to_engine_and_back() {
    let platform = Platform::start();
    let flags = ["--load-ms", "50"];
    let (_engine, engine) = start_engine("e", platform.machines, &flags).await;
    let node = platform.start_node("n", "z", "");

    let file = std::env::temp_dir().join(format!("dalestand-whole-{}.toml", std::process::id()));
    std::fs::write(&file, deployment(&["e"], "")).expect("the deployment is written");
    let applied = ctl(node.operators, &["apply", file.to_str().expect("UTF-8")]);
    std::fs::remove_file(&file).expect("the deployment is removed");
    assert!(applied.status.success(), "{applied:?}");

    eventually("the engine takes an order under a lease's epoch", || async {
        let log: Vec<OrderLogEntry> = get(engine, "/log/orders").await;
        log.iter()
            .any(|entry| matches!(entry, OrderLogEntry::Taken { order, .. } if order.id.epoch > Epoch(0)))
            .then_some(())
    })
    .await;

    let prompt = "a glass plate of a harbour";
    let body = serde_json::json!({
        "model": "m", "prompt": prompt, "max_tokens": 12, "stream": true
    });
    let stream = eventually("the completion is served", || async {
        let (status, stream) = post(node.callers, "/v1/completions", &body).await;
        (status == 200).then_some(stream)
    })
    .await;
    assert_eq!(streamed_text(&stream), text::expected_text("m", prompt, 12));
    assert!(stream.ends_with("data: [DONE]\n\n"));

    let status: StatusResponse = get(node.operators, "/status").await;
    assert!(status.ready);
    assert!(status.revision.is_some());
    let runs: Vec<RunLogEntry> = get(engine, "/log/runs").await;
    let finished = runs
        .iter()
        .filter(|run| matches!(run.event, RunLogEvent::Finished { .. }));
    assert_eq!(finished.count(), 1);
    let id = runs[0].request.to_string();
    let explained = ctl(node.operators, &["explain", "request", &id]);
    let account = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(
        account.contains("engine e (complete, 12 tokens)"),
        "{account}"
    );
}

fn streamed_text(stream: &str) -> String {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .map(|rest| {
            let chunk: serde_json::Value =
                serde_json::from_str(&format!("{{{rest}")).expect("a chunk in JSON");
            chunk["choices"][0]["text"]
                .as_str()
                .expect("text")
                .to_owned()
        })
        .collect()
}

//! Simultaneous role changes, drains and planned stops interrupt no answer, although the engines here abort their
//! running requests at a role change.

mod support;

use std::net::SocketAddr;

use dalestand_node::StatusResponse;
use dalestand_standin::engine::{OrderLogEntry, text};
use dalestand_types::OrderCommand;
use futures_util::StreamExt as _;
use support::site::{Platform, apply, deployment, start_engine};
use support::{Node, ctl, eventually, get, post};

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const CALLERS_PER_NODE: usize = 6;

/// Output tokens of an answer, which takes the stand-in about two seconds.
const TOKENS: u32 = 200;

fn roles(first: &str) -> String {
    format!("fixed_roles = {{ e1 = \"{first}\", e2 = \"mixed\", e3 = \"mixed\" }}\n")
}

async fn wait_until_served(node: &Node) {
    eventually("three engines serve", || async {
        let status: StatusResponse = get(node.operators, "/status").await;
        let rows = status.engines.iter();
        let serving = rows.filter(|row| row.accepting && row.role.is_some());
        let serving = serving.filter(|row| !row.models.is_empty()).count();
        (serving == ENGINES.len()).then_some(())
    })
    .await;
}

/// Reads a streamed answer chunk by chunk.
async fn read_answer(callers: SocketAddr, prompt: String) -> String {
    let client = awc::Client::builder().disable_timeout().finish();
    let body = serde_json::json!({
        "model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": true
    });
    let url = format!("http://{callers}/v1/completions");
    let mut response = client.post(url).send_json(&body).await.expect("an answer");
    assert_eq!(response.status().as_u16(), 200);
    let mut stream = String::new();
    while let Some(chunk) = response.next().await {
        stream.push_str(&String::from_utf8_lossy(&chunk.expect("a complete stream")));
    }
    assert!(
        stream.ends_with("data: [DONE]\n\n"),
        "interrupted after {} bytes",
        stream.len()
    );
    let chunks = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"));
    let texts = chunks.map(|rest| {
        let chunk: serde_json::Value =
            serde_json::from_str(&format!("{{{rest}")).expect("a chunk in JSON");
        chunk["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    });
    texts.collect()
}

#[actix_rt::test]
async fn simultaneous_role_changes_drain_and_stop_interrupt_no_answer() {
    let platform = Platform::start();
    let mut processes = Vec::new();
    let mut addresses = Vec::new();
    for name in ENGINES {
        let flags = ["--role-change-ms", "100"];
        let (process, address) = start_engine(name, platform.machines, &flags).await;
        let faults = serde_json::json!({"abrupt_role_change": true});
        post(address, "/faults", &faults).await;
        processes.push(process);
        addresses.push(address);
    }
    let staying = platform.start_node("staying", "z", "lease_ms = 1500\n");
    let settings = format!("lease_ms = 1500\nseeds = [\"{}\"]\n", staying.peers);
    let mut leaving = platform.start_node("leaving", "z", &settings);
    apply(&staying, &deployment(&ENGINES, &roles("mixed"))).await;
    wait_until_served(&staying).await;
    wait_until_served(&leaving).await;

    let mut answers = Vec::new();
    for caller in 0..2 * CALLERS_PER_NODE {
        let node = if caller % 2 == 0 { &staying } else { &leaving };
        let prompt = format!("caller {caller} wants a provenance caption");
        let expected = text::expected_text("m", &prompt, TOKENS);
        let answer = actix_rt::spawn(read_answer(node.callers, prompt));
        answers.push((expected, answer));
    }
    eventually("every request runs", || async {
        let mut running = 0;
        for address in &addresses {
            let runs: Vec<serde_json::Value> = get(*address, "/log/runs").await;
            running += runs.iter().filter(|run| run["event"] == "started").count();
        }
        (running == 2 * CALLERS_PER_NODE).then_some(())
    })
    .await;

    apply(&staying, &deployment(&ENGINES, &roles("decode"))).await;
    leaving.process.signal("TERM");
    let drained = ctl(staying.operators, &["drain", "engine", "e2"]);
    assert_eq!(drained.status.code(), Some(0), "{drained:?}");
    leaving.process.signal("TERM");
    for (expected, answer) in answers {
        assert_eq!(answer.await.expect("the caller's task ends"), expected);
    }
    assert_eq!(leaving.process.wait(), Some(0));
    eventually("the role order is accepted", || async {
        let log: Vec<OrderLogEntry> = get(addresses[0], "/log/orders").await;
        let accepted = log.iter().any(|entry| {
            matches!(entry, OrderLogEntry::Taken { order, .. }
                if matches!(order.command, OrderCommand::AssumeRole { .. }))
        });
        accepted.then_some(())
    })
    .await;
}

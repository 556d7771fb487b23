//! Disaggregated serving: one engine prefills, another imports its KV cache and decodes the complete answer. A
//! request is never reported as not run once it has been prefilled.

mod support;

use std::net::SocketAddr;

use dalestand_node::StatusResponse;
use dalestand_standin::engine::{RunLogEntry, RunLogEvent, text};
use support::site::{Platform, apply, deployment, start_engine};
use support::{Node, Process, ctl, eventually, get, post};

const ENGINES: [&str; 2] = ["prompts", "outputs"];

const ROLES: &str = "fixed_roles = { prompts = \"prefill\", outputs = \"decode\" }\n";

const ENGINE_FLAGS: [&str; 2] = ["--role-change-ms", "10"];

const TOKENS: u32 = 8;

struct Fleet {
    node: Node,
    prompts: SocketAddr,
    outputs: SocketAddr,
    _platform: Platform,
    _engines: [Process; 2],
}

impl Fleet {
    async fn start() -> Self {
        let platform = Platform::start();
        let machines = platform.machines;
        let (first, prompts) = start_engine(ENGINES[0], machines, &ENGINE_FLAGS).await;
        let (second, outputs) = start_engine(ENGINES[1], machines, &ENGINE_FLAGS).await;
        let node = platform.start_node("n", "z", "");
        apply(&node, &deployment(&ENGINES, ROLES)).await;
        eventually("both engines accept requests in their roles", || async {
            let status: StatusResponse = get(node.operators, "/status").await;
            let roles: Vec<String> = status
                .engines
                .iter()
                .filter(|row| row.accepting && !row.models.is_empty())
                .filter_map(|row| Some(format!("{}={}", row.engine, row.role?)))
                .collect();
            let wanted = ["outputs=decode", "prompts=prefill"];
            let all = wanted
                .iter()
                .all(|role| roles.contains(&(*role).to_owned()));
            all.then_some(())
        })
        .await;
        Self {
            node,
            prompts,
            outputs,
            _platform: platform,
            _engines: [first, second],
        }
    }

    async fn complete(&self, prompt: &str) -> (u16, String) {
        let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS});
        post(self.node.callers, "/v1/completions", &body).await
    }
}

async fn finished_run_tokens(engine: SocketAddr) -> Vec<u32> {
    let runs: Vec<RunLogEntry> = get(engine, "/log/runs").await;
    let tokens = runs.iter().filter_map(|run| match run.event {
        RunLogEvent::Finished { tokens } => Some(tokens),
        _ => None,
    });
    tokens.collect()
}

fn text_of(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    body["choices"][0]["text"]
        .as_str()
        .expect("text")
        .to_owned()
}

#[actix_rt::test]
async fn the_prompt_runs_on_one_engine_and_the_output_on_another() {
    let fleet = Fleet::start().await;
    let prompt = "a long provenance ".repeat(50);
    let (status, body) = fleet.complete(&prompt).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(text_of(&body), text::expected_text("m", &prompt, TOKENS));
    assert_eq!(finished_run_tokens(fleet.prompts).await, [0]);
    assert_eq!(finished_run_tokens(fleet.outputs).await, [TOKENS]);

    let runs: Vec<RunLogEntry> = get(fleet.outputs, "/log/runs").await;
    let id = runs[0].request.to_string();
    let explained = ctl(fleet.node.operators, &["explain", "request", &id]);
    let account = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(
        account.contains("prompt on engine prompts (prompt run, cache held"),
        "{account}"
    );
    assert!(
        account.contains("output on engine outputs (complete, 8 tokens)"),
        "{account}"
    );
}

#[actix_rt::test]
async fn a_lost_cache_is_rebuilt_and_a_request_whose_prompt_ran_is_never_reported_as_not_run() {
    let fleet = Fleet::start().await;
    let faults = serde_json::json!({"forget_exports": 1});
    post(fleet.prompts, "/faults", &faults).await;
    let (status, body) = fleet.complete("a plate").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(text_of(&body), text::expected_text("m", "a plate", TOKENS));
    assert_eq!(finished_run_tokens(fleet.prompts).await, [0, 0]);

    let faults = serde_json::json!({"forget_exports": 100});
    post(fleet.prompts, "/faults", &faults).await;
    let client = awc::Client::default();
    let body = serde_json::json!({"model": "m", "prompt": "a plate", "max_tokens": TOKENS});
    let url = format!("http://{}/v1/completions", fleet.node.callers);
    let response = client.post(url).send_json(&body).await.expect("an answer");
    assert!(!response.status().is_success());
    let run_state = response
        .headers()
        .get("x-dalestand-run-state")
        .expect("a run state");
    assert_eq!(run_state, "unknown");
}

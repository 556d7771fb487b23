//! A prompt runs on one engine, its KV cache goes straight to another, and the output comes from
//! there: whole, and never called "not run" once the prompt has run.

mod support;

use std::net::SocketAddr;

use dalestand_node::StatusResponse;
use dalestand_standin::engine::{RunLogEntry, RunLogEvent, text};
use support::{Node, Process, ctl, eventually, get, post, standin};

const DEPLOYMENT: &str = r#"format = 1
name = "two-stages"
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
engines = ["prompts", "outputs"]
fixed_roles = { prompts = "prefill", outputs = "decode" }
"#;

const TOKENS: u32 = 8;

struct Fleet {
    node: Node,
    prompts: SocketAddr,
    outputs: SocketAddr,
    _processes: Vec<Process>,
}

impl Fleet {
    async fn start() -> Self {
        let (kv_process, kv) = standin(&["kv"]);
        let (machines_process, machines) = standin(&["machines"]);
        let (prompts_process, prompts) = start_engine("prompts", machines).await;
        let (outputs_process, outputs) = start_engine("outputs", machines).await;
        let node = Node::start(&format!(
            "node = \"n\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:0\"\n\
             operator_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
             key_value = \"{kv}\"\nmachine_list = \"{machines}\"\nload_poll_ms = 100\n"
        ));
        let apply = serde_json::json!({"text": DEPLOYMENT, "author": "test", "expected": null});
        assert_eq!(post(node.operators, "/apply", &apply).await.0, 200);
        eventually("both engines take work in their roles", || async {
            let status: StatusResponse = get(node.operators, "/status").await;
            let roles: Vec<String> = status
                .engines
                .iter()
                .filter(|row| row.accepting && !row.models.is_empty())
                .filter_map(|row| Some(format!("{}={}", row.engine, row.role?)))
                .collect();
            let wanted = ["outputs=decode", "prompts=prefill"];
            let all = wanted.iter().all(|one| roles.contains(&(*one).to_owned()));
            all.then_some(())
        })
        .await;
        Self {
            node,
            prompts,
            outputs,
            _processes: vec![
                kv_process,
                machines_process,
                prompts_process,
                outputs_process,
            ],
        }
    }

    async fn complete(&self, prompt: &str) -> (u16, String) {
        let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS});
        post(self.node.callers, "/v1/completions", &body).await
    }
}

async fn start_engine(name: &str, machines: SocketAddr) -> (Process, SocketAddr) {
    let (process, address) = standin(&["engine", "--name", name, "--role-change-ms", "10"]);
    let machine = serde_json::json!({
        "name": name, "kind": "engine", "zone": "z", "address": address.to_string(),
        "incarnation": 1, "state": "live"
    });
    post(machines, "/v1/machines", &machine).await;
    (process, address)
}

async fn finished(engine: SocketAddr) -> Vec<u32> {
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
    assert_eq!(finished(fleet.prompts).await, [0]);
    assert_eq!(finished(fleet.outputs).await, [TOKENS]);

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
async fn a_lost_cache_is_made_again_and_a_request_whose_prompt_ran_is_never_called_not_run() {
    let fleet = Fleet::start().await;
    let faults = serde_json::json!({"forget_exports": 1});
    post(fleet.prompts, "/faults", &faults).await;
    let (status, body) = fleet.complete("a plate").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(text_of(&body), text::expected_text("m", "a plate", TOKENS));
    assert_eq!(finished(fleet.prompts).await, [0, 0]);

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

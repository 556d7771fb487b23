//! A group's roles follow the measured demand without interrupting answers, and the explanation gives the reason.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_node::EngineExplanation;
use dalestand_standin::engine::text;
use support::site::{Platform, apply, deployment, start_engine};
use support::{ctl, eventually, post};

const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];
const CALLERS: usize = 24;
const TOKENS: u32 = 12;

/// Sends requests sequentially until `stop` is set and returns the number of answers. Every answer must be complete;
/// every other request must be refused with status 429 or 503.
async fn keep_calling(callers: SocketAddr, caller: usize, stop: Rc<Cell<bool>>) -> usize {
    let mut answered = 0;
    for request in 0.. {
        if stop.get() {
            break;
        }
        // Prompts differ from the first words on, so that none hits a prefix cache.
        let long = "a long provenance ".repeat(1_300);
        let prompt = format!("caller {caller} request {request} {long}");
        let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS});
        let expected = text::expected_text("m", &prompt, TOKENS);
        let (status, answer) = post(callers, "/v1/completions", &body).await;
        if status == 200 {
            let answer: serde_json::Value = serde_json::from_str(&answer).expect("JSON");
            assert_eq!(answer["choices"][0]["text"], expected.as_str());
            answered += 1;
        } else {
            assert!(matches!(status, 429 | 503), "{status}: {answer}");
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }
    answered
}

#[actix_rt::test]
async fn roles_follow_the_demand_and_interrupt_no_answer() {
    let platform = Platform::start();
    let mut engines = Vec::new();
    for name in ENGINES {
        let flags = ["--role-change-ms", "200"];
        engines.push(start_engine(name, platform.machines, &flags).await);
    }
    let node = platform.start_node("n", "z", "");
    let goodput_only = "[roles]\nchange_weight = 0.0\n";
    apply(&node, &deployment(&ENGINES, goodput_only)).await;

    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(keep_calling(node.callers, caller, Rc::clone(&stop))))
        .collect();
    let explanation = eventually("an engine's role is changed by a plan", || async {
        ENGINES.iter().find_map(|name| {
            let output = ctl(node.operators, &["--json", "explain", "engine", name]);
            let explanation: EngineExplanation = serde_json::from_slice(&output.stdout).ok()?;
            (!explanation.roles.is_empty()).then_some(explanation)
        })
    })
    .await;
    stop.set(true);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("every answer was correct and complete");
    }
    assert!(answered > 0);
    assert!(
        explanation.account.contains("expected gain"),
        "{}",
        explanation.account
    );
    assert!(explanation.roles[0].information_age_ms < 10_000);
}

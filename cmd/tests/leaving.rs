//! A leaving engine receives no new requests after a few seconds, although the machine list lags, most nodes do
//! not read it, and the node that detected the change is killed.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_history::checks::no_work_for_leaving_engines;
use dalestand_history::{EngineLogEntry, History, RunLogEvent};
use dalestand_node::StatusResponse;
use dalestand_types::{MonotonicTime, Role};
use support::fleet::Fleet;
use support::{eventually, get, post};

const LEASE_MS: u64 = 1_500;

/// Interval of reading the machine list that is longer than the test: such a node learns of changes from other
/// nodes only.
const NO_MACHINE_POLL_MS: u64 = 3_600_000;

const LIST_LAG_MS: u64 = 500;

/// Time after which a leaving engine must receive no new requests.
const GRACE: Duration = Duration::from_secs(3);

/// How long requests are sent after the grace period.
const AFTER_GRACE: Duration = Duration::from_secs(2);

const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Sends short requests through a node sequentially.
async fn send_requests(callers: SocketAddr) {
    let client = awc::Client::default();
    let body = serde_json::json!({"model": "m", "prompt": "a", "max_tokens": 1});
    loop {
        let url = format!("http://{callers}/v1/completions");
        // Refused requests never reach an engine, so the result does not matter.
        drop(client.post(url).send_json(&body).await);
        actix_rt::time::sleep(REQUEST_PAUSE).await;
    }
}

/// Times at which `engine` accepted requests.
fn accepted_at(history: &History, engine: &str) -> Vec<MonotonicTime> {
    let lines = history.engine_log_lines();
    let lines = lines.filter(|(_, line)| {
        line.engine.as_str() == engine
            && matches!(&line.entry, EngineLogEntry::Run(run) if run.event == RunLogEvent::Accepted)
    });
    lines.map(|(index, _)| history.events[index].at).collect()
}

async fn wait_until_known(fleet: &Fleet, node: &str, engine: &str) {
    eventually("the node knows that the engine is leaving", || async {
        let status: StatusResponse = get(fleet.nodes[node].operators, "/status").await;
        let row = status
            .engines
            .iter()
            .find(|row| row.engine.as_str() == engine);
        row.is_some_and(|row| !row.accepting).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_leaving_engine_gets_no_new_work_although_the_node_that_detected_it_is_killed() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    fleet.start_node("n1").await;
    for name in ["n2", "n3"] {
        fleet
            .start_node_with_machine_poll(name, NO_MACHINE_POLL_MS)
            .await;
    }
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;
    for name in ["n2", "n3"] {
        fleet.wait_for_routes(name).await;
        actix_rt::spawn(send_requests(fleet.nodes[name].callers));
    }
    eventually("both engines accept requests", || async {
        let history = fleet.recorder.history();
        let both = ["e1", "e2"]
            .iter()
            .all(|engine| accepted_at(&history, engine).len() > 10);
        both.then_some(())
    })
    .await;

    fleet.mark_leaving("e1", LIST_LAG_MS).await;
    let leaving_at = fleet.recorder.history().events.last().map(|event| event.at);
    let leaving_at = leaving_at.expect("the mark was recorded");
    wait_until_known(&fleet, "n2", "e1").await;
    fleet.nodes.remove("n1");
    fleet
        .start_node_with_machine_poll("n4", NO_MACHINE_POLL_MS)
        .await;
    wait_until_known(&fleet, "n4", "e1").await;
    actix_rt::spawn(send_requests(fleet.nodes["n4"].callers));

    let end = leaving_at + GRACE + AFTER_GRACE;
    eventually(
        "the other engine accepts requests after the end",
        || async {
            let history = fleet.recorder.history();
            accepted_at(&history, "e2")
                .iter()
                .any(|at| *at > end)
                .then_some(())
        },
    )
    .await;
    let status = post(
        fleet.engines["e1"].address,
        "/faults",
        &serde_json::json!({}),
    )
    .await;
    assert_eq!(status.0, 200, "the leaving engine still runs");
    let history = fleet.history().await;
    assert_eq!(no_work_for_leaving_engines(&history, GRACE), Ok(()));
}

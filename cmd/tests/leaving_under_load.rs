//! Under load, a leaving engine receives no new requests after a few seconds, although the lease holder of its
//! group is killed and replaced. Every complete answer is correct.

mod support;

use std::time::{Duration, Instant};

use dalestand_history::checks::{answers_are_complete, no_work_for_leaving_engines};
use dalestand_history::{EngineLogEntry, RunLogEvent};
use support::callers::Callers;
use support::fleet::Fleet;

const LEASE_MS: u64 = 1_500;

/// Lag of the machine list.
const LAG_MS: u64 = 1_000;

/// How long an engine may still receive requests after the machine list first shows it as leaving.
const GRACE: Duration = Duration::from_secs(3);

const CALLERS: usize = 4;

#[actix_rt::test]
async fn a_leaving_engine_gets_no_new_work_after_a_few_seconds() {
    let mut fleet = Fleet::start_serving(&["e1", "e2"], &["n1", "n2"], LEASE_MS).await;
    let callers = Callers::start(CALLERS, fleet.caller_addresses(), &fleet.recorder);
    callers.wait_for_progress().await;
    fleet.mark_leaving("e1", LAG_MS).await;
    let marked = Instant::now();
    let holder = fleet.wait_for_holder(None).await;
    fleet.nodes.remove(&holder);
    fleet.start_node("n3").await;
    callers.set_nodes(fleet.caller_addresses());
    while marked.elapsed() < GRACE * 2 {
        callers.wait_for_progress().await;
    }
    callers.stop().await;
    let history = fleet.history().await;
    let worked = history.engine_log_lines().any(|(_, line)| {
        line.engine.as_str() == "e1"
            && matches!(&line.entry, EngineLogEntry::Run(run) if run.event == RunLogEvent::Accepted)
    });
    assert!(worked, "the engine accepted requests before");
    assert_eq!(answers_are_complete(&history), Ok(()));
    assert_eq!(no_work_for_leaving_engines(&history, GRACE), Ok(()));
}

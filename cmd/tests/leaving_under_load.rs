//! Under load, an engine that the machine list shows as leaving gets no new work after a few
//! seconds, though the holder of its group is killed and replaced; no answer is lost.

mod support;

use std::time::{Duration, Instant};

use dalestand_history::checks::{answers_are_complete, no_work_for_leaving_engines};
use dalestand_history::{EngineLogEntry, RunLogEvent};
use support::callers::Callers;
use support::fleet::Fleet;

const LEASE_MS: u64 = 1_500;

/// Lag of the machine list.
const LAG_MS: u64 = 1_000;

/// How long a leaving engine may still get work, from when the lagging list shows it.
const GRACE: Duration = Duration::from_secs(3);

/// Callers under load.
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
    assert!(worked, "the engine had work before");
    assert_eq!(answers_are_complete(&history), Ok(()));
    assert_eq!(no_work_for_leaving_engines(&history, GRACE), Ok(()));
}

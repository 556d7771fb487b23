//! Recovery when all nodes are replaced under load, from two failures at once, and from concurrent operators; and
//! the load of an idle group on the key-value service.

mod support;

use std::time::Instant;

use dalestand_history::History;
use dalestand_history::checks::{
    answers_are_complete, no_conflicting_orders, no_request_interrupted, no_stale_orders,
    refused_requests_did_not_run,
};
use dalestand_standin::key_value::KeyValueFaults;
use dalestand_types::Role;
use support::callers::Callers;
use support::fleet::Fleet;
use support::{ctl, eventually, get};

/// Short, so that takeovers are quick.
const LEASE_MS: u64 = 1_500;

const CALLERS: usize = 4;

/// Maximum rate of calls from an idle group: three renewals per lease time, and the watches of the configuration.
const MAX_IDLE_CALLS_PER_SECOND: f64 = 5.0;

fn check_orders(history: &History) {
    assert_eq!(no_conflicting_orders(history), Ok(()));
    assert_eq!(no_stale_orders(history), Ok(()));
}

/// Checks that a planned change under load interrupted no request and that every reported outcome is true.
fn check_planned(history: &History) {
    check_orders(history);
    assert_eq!(answers_are_complete(history), Ok(()));
    assert_eq!(no_request_interrupted(history), Ok(()));
    assert_eq!(refused_requests_did_not_run(history), Ok(()));
}

#[actix_rt::test]
async fn all_nodes_are_replaced_under_load_and_no_request_is_lost() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    for node in ["n1", "n2"] {
        fleet.start_node(node).await;
    }
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;
    let callers = Callers::start(CALLERS, fleet.caller_addresses(), &fleet.recorder);
    for (former, fresh) in [("n1", "n3"), ("n2", "n4")] {
        fleet.start_node(fresh).await;
        fleet.wait_for_routes(fresh).await;
        fleet.wait_for_request_in_flight(former).await;
        let leaving = fleet.nodes.get_mut(former).expect("the node");
        leaving.process.signal("TERM");
        callers.set_nodes(fleet.caller_addresses());
        let leaving = fleet.nodes.get_mut(former).expect("the node");
        let exit = leaving.process.wait_while_serving().await;
        assert_eq!(exit, Some(0), "a planned stop");
        fleet.nodes.remove(former);
        callers.set_nodes(fleet.caller_addresses());
        let holder = fleet.wait_for_holder(Some(former)).await;
        assert_ne!(holder, former);
        callers.wait_for_progress().await;
    }
    callers.stop().await;
    check_planned(&fleet.history().await);
}

#[actix_rt::test]
async fn a_planned_stop_in_an_outage_interrupts_nothing() {
    let mut fleet = Fleet::start_serving(&["e1", "e2"], &["n1", "n2"], LEASE_MS).await;
    let callers = Callers::start(CALLERS, fleet.caller_addresses(), &fleet.recorder);
    callers.wait_for_progress().await;
    let outage = KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    };
    fleet.set_key_value_faults(&outage).await;
    let holder = fleet.holder_by_status().await;
    fleet.wait_for_request_in_flight(&holder).await;
    let mut leaving = fleet.nodes.remove(&holder).expect("the holder");
    leaving.process.signal("TERM");
    leaving.process.signal("TERM");
    callers.set_nodes(fleet.caller_addresses());
    assert_eq!(leaving.process.wait_while_serving().await, Some(0));
    fleet.set_key_value_faults(&KeyValueFaults::default()).await;
    fleet.wait_for_holder(Some(&holder)).await;
    callers.wait_for_progress().await;
    callers.stop().await;
    check_planned(&fleet.history().await);
}

#[actix_rt::test]
async fn two_failures_at_once_are_recovered_from() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    for node in ["n1", "n2", "n3"] {
        fleet.start_node(node).await;
    }
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;

    // Kill the lease holder and restart an engine during an outage of the key-value service.
    let first = fleet.wait_for_holder(None).await;
    let outage = KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    };
    fleet.set_key_value_faults(&outage).await;
    fleet.nodes.remove(&first);
    fleet.start_engine("e1", 2).await;
    fleet.set_key_value_faults(&KeyValueFaults::default()).await;
    let second = fleet.wait_for_holder(Some(&first)).await;
    fleet.wait_for_role(Role::Mixed).await;

    // Freeze the next holder during role changes and restart an engine at the same time.
    let last = fleet.nodes.keys().find(|name| **name != second);
    let last = last.expect("a third node").clone();
    fleet.apply(&last, &fleet.deployment(Role::Decode, true));
    fleet.nodes[&second].process.signal("STOP");
    fleet.start_engine("e2", 2).await;
    assert_eq!(fleet.wait_for_holder(Some(&second)).await, last);
    fleet.wait_for_role(Role::Decode).await;
    fleet.nodes[&second].process.signal("CONT");
    fleet.apply(&last, &fleet.deployment(Role::Prefill, true));
    fleet.wait_for_role(Role::Prefill).await;
    check_orders(&fleet.history().await);
}

#[actix_rt::test]
async fn one_of_two_concurrent_operators_wins_and_the_other_gets_an_error() {
    let mut fleet = Fleet::start(&["e1"], LEASE_MS).await;
    fleet.start_node("n1").await;
    fleet.start_node("n2").await;
    let directory = std::env::temp_dir();
    let file = directory.join(format!("dalestand-race-{}.toml", std::process::id()));
    std::fs::write(&file, fleet.deployment(Role::Mixed, true)).expect("the file is written");
    let path = file.to_str().expect("a path in UTF-8").to_owned();
    let operators = [("n1", "ana"), ("n2", "ben")].map(|(node, author)| {
        let (address, path) = (fleet.nodes[node].operators, path.clone());
        std::thread::spawn(move || {
            let arguments = ["--author", author, "--after", "0", "apply", &path];
            (author, ctl(address, &arguments))
        })
    });
    let outcomes = operators.map(|operator| operator.join().expect("the operator's program ran"));
    std::fs::remove_file(&file).expect("the file is removed");
    let (winners, losers): (Vec<_>, Vec<_>) = outcomes
        .into_iter()
        .partition(|(_, output)| output.status.success());
    assert_eq!((winners.len(), losers.len()), (1, 1));
    let error = String::from_utf8_lossy(&losers[0].1.stderr).into_owned();
    let expected = format!("stands there, applied by {} at", winners[0].0);
    assert!(error.contains(&expected), "{error}");
    assert_eq!(losers[0].1.status.code(), Some(3), "{error}");
}

#[actix_rt::test]
async fn an_idle_group_makes_few_calls_to_the_key_value_service() {
    let mut fleet = Fleet::start(&["e1"], LEASE_MS).await;
    let mut rates = Vec::new();
    for nodes in [&["n1", "n2"][..], &["n3", "n4", "n5", "n6"][..]] {
        for node in nodes {
            fleet.start_node(node).await;
        }
        if rates.is_empty() {
            fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
        }
        for node in nodes {
            fleet.wait_for_routes(node).await;
        }
        rates.push(idle_calls_per_second(&fleet).await);
    }
    println!("calls per second in total with 2 and 6 nodes: {rates:.2?}");
    let idle = rates.iter().all(|rate| *rate <= MAX_IDLE_CALLS_PER_SECOND);
    assert!(idle, "{rates:?}");
}

/// Rate of calls to the key-value service by an idle fleet.
async fn idle_calls_per_second(fleet: &Fleet) -> f64 {
    let before: u64 = get(fleet.kv, "/calls").await;
    let started = Instant::now();
    let window = std::time::Duration::from_millis(4 * LEASE_MS);
    eventually("two leases pass", || async {
        (started.elapsed() >= window).then_some(())
    })
    .await;
    let calls: u64 = get(fleet.kv, "/calls").await;
    (calls - before) as f64 / started.elapsed().as_secs_f64()
}

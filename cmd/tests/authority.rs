//! Leases and fencing under process failures: orders never conflict, and orders of a node that has lost its lease
//! have no effect.

mod support;

use dalestand_history::History;
use dalestand_history::checks::{no_conflicting_orders, no_stale_orders};
use dalestand_history::{EngineLogEntry, OrderLogEntry};
use dalestand_node::EngineExplanation;
use dalestand_standin::engine::EngineFaults;
use dalestand_standin::key_value::KeyValueFaults;
use dalestand_types::{EngineOrders, Epoch, Incarnation, OrderCommand, OrderPhase, Role};
use support::fleet::Fleet;
use support::{eventually, get};

/// Short, so that takeovers are quick.
const LEASE_MS: u64 = 1_500;

/// Number of calls to the key-value service during the outage, enough that the resumed node made some of them.
const CALLS_IN_OUTAGE: u64 = 20;

fn check(history: &History) {
    assert_eq!(no_conflicting_orders(history), Ok(()));
    assert_eq!(no_stale_orders(history), Ok(()));
}

/// Epochs of the accepted orders, in the order of their first use.
fn epochs_of_orders(history: &History) -> Vec<Epoch> {
    let mut epochs = Vec::new();
    for (_, line) in history.engine_log_lines() {
        if let EngineLogEntry::Order(OrderLogEntry::Taken { order, .. }) = &line.entry
            && !epochs.contains(&order.id.epoch)
        {
            epochs.push(order.id.epoch);
        }
    }
    epochs
}

#[actix_rt::test]
async fn a_holder_that_resumes_after_its_lease_expired_changes_nothing() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    fleet.start_node("n1").await;
    fleet.start_node("n2").await;
    fleet.apply("n1", &fleet.deployment(Role::Decode, true));
    fleet.wait_for_role(Role::Decode).await;
    let first = fleet.wait_for_holder(None).await;
    let other = if first == "n1" { "n2" } else { "n1" };

    // Freeze the holder with no order in flight, so that no pending response can tell it of the new holder.
    let holder = fleet.nodes[&first].operators;
    for engine in ["e1", "e2"] {
        eventually("the holder has read that its orders are done", || async {
            let path = format!("/explain/engine/{engine}");
            let known: EngineExplanation = get(holder, &path).await;
            let orders = known.control?.orders?;
            (orders.role == Some(Role::Decode)).then_some(())
        })
        .await;
    }
    fleet.nodes[&first].process.signal("STOP");
    assert_eq!(fleet.wait_for_holder(Some(&first)).await, other);
    fleet.apply(other, &fleet.deployment(Role::Prefill, true));
    fleet.start_engine("e1", 2).await;
    fleet.wait_for_role(Role::Prefill).await;

    // Resume it without access to the key-value service, so that it can detect the lost lease only by its own clock
    // and the engines, one of which has restarted in the meantime.
    let outage = KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    };
    fleet.set_key_value_faults(&outage).await;
    fleet.nodes[&first].process.signal("CONT");
    let calls_before: u64 = get(fleet.kv, "/calls").await;
    eventually("the nodes try the key-value service many times", || async {
        let calls: u64 = get(fleet.kv, "/calls").await;
        (calls >= calls_before + CALLS_IN_OUTAGE).then_some(())
    })
    .await;
    fleet.set_key_value_faults(&KeyValueFaults::default()).await;
    fleet.apply(other, &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;

    let history = fleet.history().await;
    check(&history);
    assert!(
        epochs_of_orders(&history).len() >= 2,
        "both nodes sent orders"
    );
}

#[actix_rt::test]
async fn an_engine_that_crashes_in_mid_role_change_rejoins() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    fleet.start_node("n1").await;
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;
    let faults = EngineFaults {
        crash_in_role_change: true,
        ..EngineFaults::default()
    };
    fleet.set_engine_faults("e1", &faults).await;
    fleet.apply("n1", &fleet.deployment(Role::Decode, true));
    let crashed = fleet.engines.get_mut("e1").expect("the engine");
    assert_eq!(crashed.process.wait(), None, "it ended by a signal");
    fleet.start_engine("e1", 2).await;
    fleet.wait_for_role(Role::Decode).await;

    let history = fleet.history().await;
    check(&history);
    let changes = history.engine_log_lines().filter(|(_, line)| {
        line.incarnation == Incarnation(2)
            && matches!(&line.entry, EngineLogEntry::Order(OrderLogEntry::Done { order, .. })
                if matches!(order.command, OrderCommand::AssumeRole { .. }))
    });
    assert_eq!(changes.count(), 1);
}

#[actix_rt::test]
async fn a_lease_whose_grant_was_not_answered_is_found_and_used() {
    // The lease is longer than the timeout of a call to the key-value service.
    let mut fleet = Fleet::start(&["e1"], 6_000).await;
    fleet.start_node("n1").await;
    fleet.apply("n1", &fleet.deployment(Role::Decode, true));
    let faults = KeyValueFaults {
        lose_write_answers: 1,
        ..KeyValueFaults::default()
    };
    // The node waits a second before it requests its first lease, so the fault is set in time.
    fleet.set_key_value_faults(&faults).await;
    fleet.wait_for_role(Role::Decode).await;
    let history = fleet.history().await;
    check(&history);
    assert_eq!(fleet.leases_granted().await, 1, "the first grant was used");
}

#[actix_rt::test]
async fn an_order_in_progress_survives_a_takeover() {
    let mut fleet = Fleet::start(&["e1", "e2"], LEASE_MS).await;
    fleet.start_node("n1").await;
    fleet.start_node("n2").await;
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;
    let first = fleet.wait_for_holder(None).await;
    let other = if first == "n1" { "n2" } else { "n1" };
    fleet.apply(other, &fleet.deployment(Role::Decode, true));
    eventually("an engine changes its role", || async {
        for engine in fleet.engines.values() {
            let state: EngineOrders = get(engine.address, "/v1/orders").await;
            let last = state.last?;
            let changes = matches!(last.order.command, OrderCommand::AssumeRole { .. });
            if changes && last.phase == OrderPhase::Running {
                return Some(());
            }
        }
        None
    })
    .await;
    fleet.nodes.remove(&first);
    fleet.wait_for_role(Role::Decode).await;
    let history = fleet.history().await;
    check(&history);
    assert_eq!(
        epochs_of_orders(&history).len(),
        2,
        "both nodes sent orders"
    );
}

#[actix_rt::test]
async fn a_stopping_holder_hands_over_at_once() {
    // So long that no node takes over because the lease expired.
    let mut fleet = Fleet::start(&["e1"], 600_000).await;
    fleet.start_node("n1").await;
    fleet.start_node("n2").await;
    fleet.apply("n1", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_role(Role::Mixed).await;
    let first = fleet.wait_for_holder(None).await;
    let other = if first == "n1" { "n2" } else { "n1" };
    fleet.wait_for_routes(other).await;
    let leaving = fleet.nodes.get_mut(&first).expect("the node");
    leaving.process.signal("TERM");
    assert_eq!(leaving.process.wait_while_serving().await, Some(0));
    assert_eq!(fleet.wait_for_holder(Some(&first)).await, other);
    fleet.apply(other, &fleet.deployment(Role::Decode, true));
    fleet.wait_for_role(Role::Decode).await;
    check(&fleet.history().await);
}

//! Discovery of members, failure detection without false positives, and recovery from partitions.

mod network;

use std::time::Duration;

use dalestand_cluster::{RecordKey, RecordVersion};
use dalestand_types::{NodeId, ZoneName};
use network::{Faults, Network, record};

const FIVE_PERCENT_LOSS: Faults = Faults {
    loss: 0.05,
    duplication: 0.02,
};
const JOIN_LIMIT: Duration = Duration::from_secs(20);

fn joined(seed: u64, nodes: usize) -> Network {
    let mut network = Network::with_nodes(seed, FIVE_PERCENT_LOSS, nodes, 4);
    network.run_until(JOIN_LIMIT, Network::agrees);
    network
}

#[test]
fn nodes_that_know_one_seed_find_each_other_at_20_percent_loss() {
    let faults = Faults {
        loss: 0.2,
        duplication: 0.1,
    };
    let mut network = Network::with_nodes(1, faults, 40, 4);
    network.run_until(JOIN_LIMIT, Network::agrees);
}

#[test]
fn a_failed_node_is_detected_by_all_within_5_seconds() {
    for seed in 0..10 {
        let mut network = joined(seed, 40);
        network.nodes[7].alive = false;
        network.run_until(Duration::from_secs(5), Network::agrees);
    }
}

#[test]
fn a_node_that_fails_soon_after_its_start_is_detected_as_fast() {
    let mut network = joined(8, 150);
    network.run(Duration::from_secs(30));
    let late = network.start("late", 1, "z0");
    network.run_until(JOIN_LIMIT, Network::agrees);
    network.nodes[late].alive = false;
    network.run_until(Duration::from_secs(5), Network::agrees);
}

#[test]
fn no_live_node_is_marked_down_at_5_percent_loss() {
    let mut network = joined(3, 40);
    network.run(Duration::from_secs(300));
    assert_eq!(network.down_notifications(), 0);
}

#[test]
fn a_healed_partition_of_a_zone_is_repaired_within_11_seconds() {
    let mut network = joined(4, 40);
    network.partitioned_zones = vec![ZoneName::from("z1")];
    network.run_until(Duration::from_secs(30), |network| {
        network.live().all(|node| {
            let inside = node.cluster.local_member().zone.as_str() == "z1";
            node.cluster.member_count() == if inside { 9 } else { 29 }
        })
    });
    let outside = network.nodes[0]
        .cluster
        .publish(record(RecordKey::Configuration, 9, 40));
    assert_eq!(outside, Ok(true));
    network.run(Duration::from_secs(3));
    network.partitioned_zones.clear();
    let version = RecordVersion { major: 9, minor: 0 };
    network.run_until(Duration::from_secs(11), |network| {
        network.agrees() && network.all_have(&RecordKey::Configuration, version)
    });
}

#[test]
fn a_node_restarted_at_another_address_is_found() {
    let mut network = joined(5, 20);
    network.nodes[7].alive = false;
    let again = network.start("n007", 2, "z3");
    network.run_until(JOIN_LIMIT, Network::agrees);
    let address = network.nodes[again].cluster.local_member().address;
    let seen = network.nodes[0].cluster.member(&NodeId::from("n007"));
    assert_eq!(seen.map(|member| member.address), Some(address));
}

#[test]
fn a_node_restarted_with_a_lower_incarnation_is_found() {
    let mut network = joined(6, 20);
    network.nodes[7].alive = false;
    network.start("n007", 0, "z3");
    network.run_until(JOIN_LIMIT, Network::agrees);
}

#[test]
fn an_announced_leave_is_known_without_a_suspicion_timeout() {
    let mut network = joined(7, 40);
    network.leave(7);
    network.run_until(Duration::from_secs(2), Network::agrees);
}

#[test]
fn an_address_removed_from_the_machine_list_is_not_contacted() {
    let mut network = Network::with_nodes(9, Faults::default(), 2, 1);
    network.nodes[0].alive = false;
    let gone = network.start("gone", 1, "z0");
    network.nodes[gone].alive = false;
    let address = network.nodes[gone].cluster.local_member().address;
    network.nodes[1].cluster.set_listed_addresses([address]);
    network.run(Duration::from_secs(20));
    let sent = network.sent_to(address);
    assert!(sent > 0, "the listed address was contacted");
    network.nodes[1].cluster.set_listed_addresses([]);
    network.run(Duration::from_secs(20));
    assert_eq!(network.sent_to(address), sent);
}

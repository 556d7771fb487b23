//! Records reach every node at a bounded cost in bytes, and their versions never decrease.

mod network;

use std::time::Duration;

use dalestand_cluster::{CodecError, MAX_ITEM_BYTES, Output, RecordKey, RecordVersion};
use dalestand_types::{GroupId, ZoneName};
use network::{Faults, Network, record};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplication: 0.0,
};
const JOIN_LIMIT: Duration = Duration::from_secs(20);

fn joined(faults: Faults, nodes: usize) -> Network {
    let mut network = Network::with_nodes(11, faults, nodes, 4);
    network.run_until(JOIN_LIMIT, Network::agrees);
    network
}

fn config() -> Config {
    Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// For any sequence of publications and any loss and duplication of datagrams, every node ends
    /// with the highest version and none observes a decrease.
    #[test]
    fn every_node_ends_with_the_highest_version_and_observes_no_decrease(
        seed in any::<u64>(),
        loss in 0.0..0.3_f64,
        duplication in 0.0..0.3_f64,
        publishes in prop::collection::vec((0..12_usize, 1..40_u64, 0..3_u64), 1..12),
        late_starter in any::<bool>(),
    ) {
        let mut network = Network::with_nodes(seed, Faults { loss, duplication }, 12, 3);
        for (node, version, pause) in &publishes {
            let published = record(RecordKey::Configuration, *version, 100);
            prop_assert!(network.nodes[*node].cluster.publish(published).is_ok());
            network.run(Duration::from_secs(*pause));
        }
        if late_starter {
            network.start("late", 1, "z0");
        }
        let major = publishes.iter().map(|(_, version, _)| *version).max().unwrap_or(0);
        let highest = RecordVersion { major, minor: 0 };
        network.run_until(Duration::from_secs(60), |network| {
            network.all_have(&RecordKey::Configuration, highest)
        });
        for node in &network.nodes {
            for versions in node.versions.values() {
                prop_assert!(versions.is_sorted_by(|one, next| one < next));
            }
        }
    }
}

#[test]
fn a_record_reaches_200_nodes_within_2_seconds_at_5_percent_loss() {
    let faults = Faults {
        loss: 0.05,
        duplication: 0.0,
    };
    let mut network = joined(faults, 200);
    network.run(Duration::from_secs(10));
    for major in 1..=5 {
        let published = record(RecordKey::Configuration, major, 60);
        assert_eq!(network.nodes[3].cluster.publish(published), Ok(true));
        let version = RecordVersion { major, minor: 0 };
        network.run_until(Duration::from_secs(2), |network| {
            network.all_have(&RecordKey::Configuration, version)
        });
    }
}

#[test]
fn each_load_digest_reaches_its_own_zone_and_few_reach_the_others() {
    let mut network = joined(NO_FAULTS, 80);
    network.run(Duration::from_secs(20));
    let key = RecordKey::GroupDigest(GroupId::from("p@z0"));
    let home = ZoneName::from("z0");
    let first = record(key.clone(), 1, 600);
    assert_eq!(
        network.nodes[0].cluster.publish_digest(first, &home),
        Ok(true)
    );
    network.run(Duration::from_secs(1));
    let version = RecordVersion { major: 1, minor: 0 };
    assert!(network.all_have(&key, version));
    let second = record(key.clone(), 2, 600);
    assert_eq!(
        network.nodes[0].cluster.publish_digest(second, &home),
        Ok(true)
    );
    network.run(Duration::from_secs(1));
    for node in network.live() {
        let in_home_zone = node.cluster.local_member().zone == home;
        let major = node.cluster.record(&key).map(|record| record.version.major);
        assert_eq!(major, Some(if in_home_zone { 2 } else { 1 }));
    }
}

#[test]
fn a_small_fleet_shares_each_load_digest_with_all_zones() {
    let mut network = joined(NO_FAULTS, 8);
    let key = RecordKey::GroupDigest(GroupId::from("p@z0"));
    let home = ZoneName::from("z0");
    for major in 1..=5 {
        let digest = record(key.clone(), major, 200);
        let published = network.nodes[0].cluster.publish_digest(digest, &home);
        assert_eq!(published, Ok(true));
        network.run(Duration::from_secs(1));
        let version = RecordVersion { major, minor: 0 };
        assert!(network.all_have(&key, version), "digest {major} is missing");
    }
}

#[test]
fn an_idle_node_of_a_larger_fleet_sends_no_more_bytes() {
    let mut sent = Vec::new();
    for nodes in [20, 160] {
        let mut network = joined(NO_FAULTS, nodes);
        network.run(Duration::from_secs(30));
        let before: usize = network.nodes.iter().map(|node| node.bytes_sent).sum();
        network.run(Duration::from_secs(30));
        let after: usize = network.nodes.iter().map(|node| node.bytes_sent).sum();
        sent.push((after - before) / nodes / 30);
    }
    assert!(
        sent[1] <= sent[0] * 5 / 4,
        "bytes per second per node: {sent:?}"
    );
    assert!(sent[1] <= 2_000, "bytes per second per node: {sent:?}");
}

#[test]
fn a_record_that_fits_no_datagram_is_refused() {
    let mut network = Network::with_nodes(1, NO_FAULTS, 1, 1);
    let published = record(RecordKey::Configuration, 1, MAX_ITEM_BYTES);
    let refused = network.nodes[0].cluster.publish(published);
    assert!(matches!(refused, Err(CodecError::TooLarge { .. })));
}

#[test]
fn a_datagram_of_another_protocol_is_an_error() {
    let mut network = Network::with_nodes(1, NO_FAULTS, 2, 1);
    let from = network.nodes[1].cluster.local_member().address;
    let mut random = rand::rng();
    let now = network.now;
    let received: Result<Vec<Output>, _> =
        network.nodes[0]
            .cluster
            .receive(now, from, b"GET / HTTP/1.1", &mut random);
    assert!(matches!(received, Err(CodecError::Decode(_))));
}

//! Chunking of deployment files, and the order of revisions in the store.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;

use dalestand_cluster::{Cluster, ClusterConfig, Member, RecordKey};
use dalestand_gateway::SharedState;
use dalestand_telemetry::{Metrics, discard_logger};
use dalestand_types::{Incarnation, NodeId, Revision, ZoneName};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::parts::SplitText;
use super::{ConfigurationRecord, ConfigurationStore};

fn config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_text_is_restored_from_its_parts(text in "(\\[\\[|[a-zé]|\n){0,200}") {
        prop_assert_eq!(SplitText::split(&text).text(), Some(text));
    }
}

fn deployment_file(tenants: usize, changed: usize) -> String {
    let mut text = String::from("format = 1\nname = \"d\"\n");
    for tenant in 0..tenants {
        let rate = 1_000 + u32::from(tenant == changed);
        let _ = write!(text, "\n[[tenant]]\nname = \"t{tenant}\"\nrate = {rate}\n");
    }
    text
}

#[test]
fn a_change_of_one_table_changes_at_most_three_parts() {
    let before = SplitText::split(&deployment_file(15_000, 15_000));
    assert!(before.names.len() > 100, "{} parts", before.names.len());
    for changed in [0, 7_500, 14_999] {
        let after = SplitText::split(&deployment_file(15_000, changed));
        let new = after
            .names
            .iter()
            .filter(|name| !before.parts.contains_key(name));
        let count = new.count();
        assert!((1..=3).contains(&count), "{count} new parts");
    }
}

#[test]
fn parts_stay_small() {
    let without_tables = "x = 1\n".repeat(20_000);
    let split = SplitText::split(&without_tables);
    assert!(split.parts.values().all(|part| part.len() <= 17 << 10));
    assert_eq!(split.text(), Some(without_tables));
}

fn record(name: &str) -> ConfigurationRecord {
    ConfigurationRecord {
        writer: "w".to_owned(),
        author: "a".to_owned(),
        unix_ms: 0,
        former: Vec::new(),
        text: format!("format = 1\nname = \"{name}\"\n"),
    }
}

#[test]
fn the_revision_never_decreases_and_the_last_usable_configuration_stays_active() {
    let (node, zone) = (NodeId::from("n"), ZoneName::from("z"));
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let me = Member {
        node: node.clone(),
        incarnation: Incarnation(1),
        zone: zone.clone(),
        address,
        operator_address: address,
    };
    let cluster = Cluster::new(me, Vec::new(), ClusterConfig::default());
    let cluster = Rc::new(RefCell::new(cluster));
    let metrics = Metrics::new().expect("metrics");
    let shared = Arc::new(SharedState::new(node, zone, discard_logger(), metrics));
    let store = ConfigurationStore::new(Arc::clone(&shared), Rc::clone(&cluster), Rc::default());
    let active_configuration = || {
        let active = shared.configuration.load_full().expect("a configuration");
        (active.revision, active.deployment.name.clone())
    };

    store.apply(Revision(5), record("five"));
    store.apply(Revision(3), record("three"));
    store.apply(Revision(5), record("five again"));
    assert_eq!(active_configuration(), (Revision(5), "five".to_owned()));

    let unusable = ConfigurationRecord {
        text: "format = 99\n".to_owned(),
        ..record("unusable")
    };
    store.apply(Revision(7), unusable);
    store.apply(Revision(6), record("six"));
    assert_eq!(active_configuration(), (Revision(5), "five".to_owned()));
    assert_eq!(
        store.manifest(Revision(6)).map(|one| one.revision),
        Some(Revision(7))
    );
    let announced = cluster
        .borrow()
        .record(&RecordKey::Configuration)
        .map(|one| one.version.major);
    assert_eq!(announced, Some(7));
}

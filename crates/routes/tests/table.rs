//! Lookup, checks and shares of routes.

use dalestand_routes::{RouteFileError, RouteTable, WeightedRoundRobin};
use dalestand_types::{PoolName, Revision};
use proptest::prelude::*;
use rstest::rstest;

const FILE: &str = r#"
revision = 7

[[pool]]
name = "captions"
max_connections = 300

[[pool]]
name = "records"
max_connections = 100

[[route]]
name = "all"
host = "archive.example"
path_prefix = "/"
kind = "once"
pools = [{ pool = "records", weight = 1 }]
time_limit_ms = 1000
objective_ms = 150
max_attempts = 1

[[route]]
name = "caption"
host = "archive.example"
path_prefix = "/caption/"
kind = "resumable-stream"
pools = [{ pool = "captions", weight = 90 }, { pool = "records", weight = 10 }]
time_limit_ms = 5000
objective_ms = 500
max_attempts = 2
"#;

fn table() -> RouteTable {
    RouteTable::parse(FILE).expect("a sound file")
}

#[rstest]
#[case("archive.example", "/caption/7", Some("caption"))]
#[case("ARCHIVE.example:8080", "/caption/", Some("caption"))]
#[case("archive.example", "/caption", Some("all"))]
#[case("archive.example", "/other/x", Some("all"))]
#[case("else.example", "/caption/7", None)]
fn the_longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
    assert_eq!(table.revision(), Revision(7));
}

#[rstest]
fn every_fault_is_listed() {
    let text = FILE
        .replace("\"/caption/\"", "\"caption\"")
        .replace("\"records\", weight = 1 ", "\"lost\", weight = 0 ")
        .replace("max_attempts = 2", "max_attempts = 0");
    let faults = RouteTable::parse(&text).expect_err("a faulty file");
    assert_eq!(faults.len(), 4, "{faults:?}");
    assert!(matches!(faults[0], RouteFileError::NoPool { .. }));
    assert!(matches!(faults[1], RouteFileError::UnknownPool { .. }));
    assert!(matches!(faults[2], RouteFileError::Prefix { .. }));
    assert!(matches!(faults[3], RouteFileError::Zero { .. }));
}

#[rstest]
fn an_unknown_key_is_a_fault() {
    let text = FILE.replace("objective_ms = 150", "objectiv_ms = 150");
    assert!(RouteTable::parse(&text).is_err());
}

proptest! {
    /// At no moment is a pool's share off its weight by a whole request or more.
    #[test]
    fn shares_follow_the_weights(first in 1_u32..100, second in 1_u32..100, requests in 1_usize..400) {
        let weights = format!("weight = {first} }}, {{ pool = \"records\", weight = {second} }}");
        let text = FILE.replace("weight = 90 }, { pool = \"records\", weight = 10 }", &weights);
        let table = RouteTable::parse(&text).expect("a sound file");
        let route = table.find("archive.example", "/caption/1").expect("the route");
        let mut picker = WeightedRoundRobin::default();
        let mut taken = 0_f64;
        for count in 1..=requests {
            let pools = picker.pick(route);
            prop_assert_eq!(pools.len(), 2);
            taken += f64::from(pools[0].as_str() == "captions");
            let due = count as f64 * f64::from(first) / f64::from(first + second);
            prop_assert!((taken - due).abs() <= 1.0, "{} of {} taken, {} due", taken, count, due);
        }
    }
}

#[rstest]
#[case::alike("", "", "", false, false)]
#[case::routes_differ("priority = 2", "", "", true, true)]
#[case::tenants("", "[[tenant]]\nname = \"one\"\nkeys = [\"k\"]", "", false, true)]
#[case::tenants_rank(
    "",
    "[[tenant]]\nname = \"one\"\nkeys = [\"k\"]",
    "priority = 1",
    true,
    true
)]
fn requests_compete_for_a_pool_by_priority_or_by_tenant(
    #[case] route: &str,
    #[case] tenant: &str,
    #[case] tenant_priority: &str,
    #[case] differs: bool,
    #[case] competed_for: bool,
) {
    let text = format!("{FILE}{route}\n{tenant}\n{tenant_priority}\n");
    let table = RouteTable::parse(&text).expect("a sound file");
    let records = PoolName::from("records");
    assert_eq!(table.has_mixed_priorities(&records), differs);
    assert_eq!(table.ranks_requests(&records), competed_for);
    // One route alone names the other pool.
    let captions = PoolName::from("captions");
    let by_tenant = !tenant_priority.is_empty();
    assert_eq!(table.has_mixed_priorities(&captions), by_tenant);
}

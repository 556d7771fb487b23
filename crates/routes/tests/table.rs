//! Lookup and validation of routes, and the split of their requests by weight.

use std::time::Duration;

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
    RouteTable::parse(FILE).expect("a valid file")
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
fn the_longest_time_limit_is_that_of_any_route() {
    assert_eq!(table().max_time_limit(), Duration::from_secs(5));
}

#[rstest]
fn all_errors_are_reported() {
    let text = FILE
        .replace("\"/caption/\"", "\"caption\"")
        .replace("\"records\", weight = 1 ", "\"lost\", weight = 0 ")
        .replace("max_attempts = 2", "max_attempts = 0");
    let errors = RouteTable::parse(&text).expect_err("an invalid file");
    assert_eq!(errors.len(), 4, "{errors:?}");
    assert!(matches!(errors[0], RouteFileError::NoPool { .. }));
    assert!(matches!(errors[1], RouteFileError::UnknownPool { .. }));
    assert!(matches!(errors[2], RouteFileError::InvalidPrefix { .. }));
    assert!(matches!(errors[3], RouteFileError::ZeroValue { .. }));
}

#[rstest]
fn an_unknown_field_is_rejected() {
    let text = FILE.replace("objective_ms = 150", "objectiv_ms = 150");
    assert!(RouteTable::parse(&text).is_err());
}

proptest! {
    /// After any number of requests, each pool's count deviates from its weighted share by at most one.
    #[test]
    fn the_split_follows_the_weights(first in 1_u32..100, second in 1_u32..100, requests in 1_usize..400) {
        let weights = format!("weight = {first} }}, {{ pool = \"records\", weight = {second} }}");
        let text = FILE.replace("weight = 90 }, { pool = \"records\", weight = 10 }", &weights);
        let table = RouteTable::parse(&text).expect("a valid file");
        let route = table.find("archive.example", "/caption/1").expect("the route");
        let mut picker = WeightedRoundRobin::default();
        let mut picked = 0_f64;
        for count in 1..=requests {
            let pools = picker.pick(route);
            prop_assert_eq!(pools.len(), 2);
            picked += f64::from(pools[0].as_str() == "captions");
            let expected = count as f64 * f64::from(first) / f64::from(first + second);
            prop_assert!(
                (picked - expected).abs() <= 1.0,
                "picked {} of {} times, expected {}", picked, count, expected
            );
        }
    }
}

#[rstest]
#[case::same_priority("", "", "", false, false)]
#[case::routes_differ("priority = 2", "", "", true, true)]
#[case::tenants("", "[[tenant]]\nname = \"one\"\nkeys = [\"k\"]", "", false, true)]
#[case::tenant_priority(
    "",
    "[[tenant]]\nname = \"one\"\nkeys = [\"k\"]",
    "priority = 1",
    true,
    true
)]
fn pools_rank_requests_by_priority_or_tenant(
    #[case] route: &str,
    #[case] tenant: &str,
    #[case] tenant_priority: &str,
    #[case] mixed_priorities: bool,
    #[case] ranked: bool,
) {
    let text = format!("{FILE}{route}\n{tenant}\n{tenant_priority}\n");
    let table = RouteTable::parse(&text).expect("a valid file");
    let records = PoolName::from("records");
    assert_eq!(table.has_mixed_priorities(&records), mixed_priorities);
    assert_eq!(table.ranks_requests(&records), ranked);
    // The other pool has a single route, so only tenants can make its priorities differ.
    let captions = PoolName::from("captions");
    let by_tenant = !tenant_priority.is_empty();
    assert_eq!(table.has_mixed_priorities(&captions), by_tenant);
}

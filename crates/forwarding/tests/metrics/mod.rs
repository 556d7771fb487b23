//! The metrics of a node change with its work, and `docs/OPERATIONS.md` lists all of them.

use std::collections::BTreeSet;

use crate::support::{TestEngine, TestNode, get, succeeding};

const CATALOGUE: &str = include_str!("../../../../docs/OPERATIONS.md");

async fn metrics_after_one_request() -> String {
    let node = TestNode::start().await;
    let engine = TestEngine::start(succeeding);
    node.declare(1, "repeatable", 2, 1_000);
    node.write_entry("e", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    let served = node.request("1", "/r/x").await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    get(node.metrics, "host: a.example\r\n", "/metrics").await
}

#[actix_rt::test]
async fn store_calls_and_the_retry_budget_are_exported() {
    let metrics = metrics_after_one_request().await;
    let value = |name: &str| {
        let line = metrics.lines().find(|line| line.starts_with(name));
        let line = line.unwrap_or_else(|| panic!("{name} in {metrics}"));
        let value = line.rsplit(' ').next().and_then(|value| value.parse().ok());
        value.unwrap_or(0.0_f64)
    };
    let page_calls = "dalestand_store_calls_total{call=\"page\",outcome=\"done\"}";
    assert!(value(page_calls) >= 3.0, "three prefixes are read");
    assert!(value("dalestand_store_call_seconds_count{call=\"page\"}") >= 3.0);
    let left = value("dalestand_repeated_sends_left{pool=\"pool\"}");
    assert!((1.0..=51.0).contains(&left), "{left}");
}

#[actix_rt::test]
async fn the_catalogue_lists_every_metric() {
    let metrics = metrics_after_one_request().await;
    let reported: BTreeSet<&str> = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert!(reported.len() >= 10, "{reported:?}");
    let unlisted: Vec<&&str> = reported
        .iter()
        .filter(|name| !CATALOGUE.contains(&format!("`{name}`")))
        .collect();
    assert!(unlisted.is_empty(), "{unlisted:?}");
}

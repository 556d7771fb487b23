//! The metrics of a node change with its work, and `docs/OPERATIONS.md` lists all of them.

use std::collections::BTreeSet;

use crate::support::{TestEngine, TestNode, get, refusing, succeeding};

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
    let left = value("dalestand_repeated_sends_left{part=\"slack\",pool=\"pool\"}");
    assert!((1.0..=51.0).contains(&left), "{left}");
    let earned = value("dalestand_repeated_sends_left{part=\"earned\",pool=\"pool\"}");
    assert_eq!(earned, 0.0, "one request allows a fifth of a retry");
}

/// Guards against repeated sends that no metric tells of: their number could not be compared with what engines got.
#[actix_rt::test]
async fn repeated_sends_taken_and_denied_are_counted() {
    let node = TestNode::start_with_slack(2).await;
    let engines: Vec<TestEngine> = (0..4).map(|_| TestEngine::start(refusing)).collect();
    node.declare(1, "repeatable", 2, 1_000);
    for (index, engine) in engines.iter().enumerate() {
        node.write_entry(&format!("e{index}"), engine, "ready");
    }
    node.wait_for_engines(engines.len()).await;
    node.wait_for_declaration(1).await;
    let refused = node.request("1", "/r/x").await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    let metrics = get(node.metrics, "host: a.example\r\n", "/metrics").await;
    let sends = |outcome: &str| {
        let name =
            format!("dalestand_repeated_sends_total{{outcome=\"{outcome}\",pool=\"pool\"}} ");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
        value.map_or(0, |value| value.parse().expect("a number"))
    };
    let calls: usize = engines.iter().map(|engine| engine.heads().len()).sum();
    assert_eq!(sends("taken"), calls - 1);
    assert_eq!(sends("returned"), 0);
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

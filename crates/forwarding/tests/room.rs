//! Reports of capacity and demand, and their agreement between nodes.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_forwarding::{CapacityReport, EngineGroup, FigureAges, ReportSources};
use dalestand_routing::WorkKind;
use dalestand_types::ZoneName;
use support::{TestEngine, TestNode, get, succeeding};

/// First attempts per second in the report.
fn first_attempts_per_s(report: &CapacityReport) -> f32 {
    let classes = report.pools.iter().flat_map(|pool| &pool.classes);
    classes.map(|class| class.figures.asked_per_s).sum()
}

#[actix_rt::test]
async fn a_node_without_data_reports_nothing() {
    let node = TestNode::start().await;
    let report = node.capacity_report().await;
    assert_eq!(report.declaration, None);
    assert_eq!(report.nodes_known, 1);
    assert_eq!(report.sources, ReportSources::default());
    assert_eq!(report.ages, FigureAges::default());
    assert!(report.pools.is_empty());
}

#[actix_rt::test]
async fn a_pool_without_engines_is_reported_with_the_requests_it_refused() {
    let node = TestNode::start().await;
    node.declare(1, "once", 1, 1_000);
    node.wait_for_declaration(1).await;
    let refused = node.request("1", "/r/x").await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    let report = node.capacity_report().await;
    let pool = &report.pools[0];
    assert_eq!((pool.engine_count(), pool.slots()), (0, 0));
    let figures = &pool.classes[0].figures;
    assert!(figures.asked_per_s > 0.0 && figures.refused_per_s > 0.0);
    assert!(figures.begun_per_s == 0.0, "{figures:?}");
}

#[actix_rt::test]
async fn engines_and_requests_are_reported_without_keys() {
    let node = TestNode::start().await;
    let engine = TestEngine::start(succeeding);
    node.declare_tenant(1, &["key-1"]);
    node.write_entry("e", &engine, "ready");
    node.wait_for_engines(1).await;
    node.wait_for_declaration(1).await;
    let served = node.request_with_key("1", "key-1").await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    let report = node.capacity_report().await;
    let pool = &report.pools[0];
    let group = EngineGroup {
        zone: ZoneName::from("here"),
        work: WorkKind::Opaque,
        engines: 1,
        slots: pool.slots(),
    };
    assert_eq!(pool.engines, [group]);
    let figures = &pool.classes[0].figures;
    assert!(figures.asked_per_s > 0.0 && figures.begun_per_s > 0.0);
    let tenants = pool.tenants.iter();
    let names: Vec<Option<&str>> = tenants.map(|tenant| tenant.name.as_deref()).collect();
    assert_eq!(names, [Some("curators")]);
    let text = get(node.metrics, "host: a.example\r\n", "/room").await;
    assert!(!text.contains("key-1"), "{text}");
}

/// Polls until `holds` returns true or the time is over.
async fn holds_within(at_most: Duration, holds: impl AsyncFn() -> bool) -> bool {
    let until = Instant::now() + at_most;
    loop {
        if holds().await {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts five nodes that know each other, and an engine.
async fn five_nodes() -> (Vec<Rc<TestNode>>, TestEngine) {
    let first = TestNode::start().await;
    let engine = TestEngine::start(succeeding);
    first.declare(1, "repeatable", 2, 1_000);
    first.write_entry("e", &engine, "ready");
    let mut nodes = Vec::new();
    for number in 2..=5 {
        let node = first.start_beside(&format!("node-{number}")).await;
        nodes.push(Rc::new(node));
    }
    nodes.push(Rc::new(first));
    let start = Duration::from_secs(10);
    let all_known = holds_within(start, async || {
        let mut known = true;
        for node in &nodes {
            known &= node.capacity_report().await.nodes_known == nodes.len();
        }
        known
    });
    assert!(all_known.await, "five nodes know each other");
    (nodes, engine)
}

/// Requests sent to one node within a second.
const BURST: u16 = 40;

/// The resulting rate, which is averaged with a time constant of 2 s.
const BURST_PER_S: f32 = BURST as f32 / 2.0;

#[actix_rt::test]
async fn all_nodes_know_the_demand_at_one_within_a_second() {
    let (nodes, _engine) = five_nodes().await;
    let requests = (0..BURST).map(|number| {
        let node = Rc::clone(&nodes[0]);
        async move { node.request(&number.to_string(), "/r/x").await }
    });
    futures_util::future::join_all(requests).await;
    for node in &nodes {
        let knows = holds_within(Duration::from_secs(1), async || {
            // The rate decays by half in 1.4 s.
            first_attempts_per_s(&node.capacity_report().await) > 0.5 * BURST_PER_S
        });
        assert!(knows.await, "{:?}", node.capacity_report().await);
        let asked = first_attempts_per_s(&node.capacity_report().await);
        assert!(asked <= 1.01 * BURST_PER_S, "counted twice: {asked}");
    }
}

/// Time between two requests to a node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to a node one after the other, 20 per second, until the test ends.
fn send_steadily(node: &Rc<TestNode>) {
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let mut interval = actix_rt::time::interval(REQUEST_INTERVAL);
        loop {
            interval.tick().await;
            node.request("1", "/r/x").await;
        }
    });
}

#[actix_rt::test]
async fn nodes_agree_within_three_seconds_after_losing_a_relay() {
    let (mut nodes, _engine) = five_nodes().await;
    let mut relay = None;
    for (index, node) in nodes.iter().enumerate() {
        let text = get(node.metrics, "host: a.example\r\n", "/metrics").await;
        let is_relay = text.lines().any(|line| line == "dalestand_is_relay 1");
        relay = relay.or(is_relay.then_some(index));
    }
    let lost = nodes.swap_remove(relay.expect("a relay"));
    nodes.iter().for_each(send_steadily);
    let expected = nodes.len() as f32 / REQUEST_INTERVAL.as_secs_f32();
    let near = |asked: f32| (0.85 * expected..1.15 * expected).contains(&asked);
    let agree = async || {
        let mut agree = true;
        for node in &nodes {
            agree &= near(first_attempts_per_s(&node.capacity_report().await));
        }
        agree
    };
    // Waits until the rates have settled.
    assert!(holds_within(Duration::from_secs(10), agree).await);
    lost.crash();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for node in &nodes {
        let report = node.capacity_report().await;
        let asked = first_attempts_per_s(&report);
        assert!(
            near(asked),
            "{asked} per second, expected {expected}; {report:?}"
        );
    }
}

//! A node after its machine was suspended, while timers and `Instant` stopped and real time passed.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use dalestand_clock::test_util::suspend;
use dalestand_forwarding::ReportSources;
use support::{TestEngine, TestNode, status, succeeding};

/// Longer than any time limit in these tests.
const SUSPENDED: Duration = Duration::from_secs(12);

/// Time after the resume within which an overdue answer must arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn slow(_head: &str, _stream: &mut TcpStream) {
    thread::sleep(Duration::from_secs(3));
}

/// The time since the declaration was confirmed includes a suspension, so a key that may have been revoked
/// meanwhile is refused.
#[actix_rt::test]
async fn keys_are_refused_after_a_suspension() {
    let revocation = "[revocation]\nbound_ms = 10000\nfail_closed = true\n";
    let node = TestNode::start_with_table(revocation).await;
    let engine = TestEngine::start(succeeding);
    node.declare_tenant(1, &["key-1"]);
    node.write_entry("e", &engine, "ready");
    node.settle().await;
    let before = node.request_with_key("1", "key-1").await;
    assert_eq!(status(&before), "200", "{before}");
    node.store.set_unavailable(true);
    suspend(SUSPENDED);
    let after = node.request_with_key("2", "key-1").await;
    assert_eq!(status(&after), "503", "{after}");
}

#[actix_rt::test]
async fn a_timeout_during_a_suspension_is_answered_soon_after() {
    let node = TestNode::start().await;
    let engine = TestEngine::start(slow);
    node.declare(1, "once", 1, 10_000);
    node.write_entry("e", &engine, "ready");
    node.settle().await;
    let resume = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        suspend(SUSPENDED);
        Instant::now()
    };
    let (late, resumed_at) = tokio::join!(node.request("1", "/r/x"), resume);
    assert_eq!(status(&late), "504", "{late}");
    assert!(
        resumed_at.elapsed() < ANSWER_SLACK,
        "{:?}",
        resumed_at.elapsed()
    );
}

/// Engines, entries and connections from before the suspension remain usable.
#[actix_rt::test]
async fn a_node_serves_after_a_suspension() {
    let node = TestNode::start().await;
    let engine = TestEngine::start(succeeding);
    node.declare(1, "repeatable", 2, 1_000);
    node.write_entry("e", &engine, "ready");
    node.settle().await;
    for request in 0..3 {
        suspend(SUSPENDED);
        let served = node.request(&request.to_string(), "/r/x").await;
        assert_eq!(status(&served), "200", "{served}");
    }
}

/// Figures of other nodes expire after three seconds, also if the node was suspended meanwhile.
#[actix_rt::test]
async fn a_suspended_node_drops_figures_of_other_nodes() {
    let node = TestNode::start().await;
    let other = node.start_beside("node-2").await;
    let engine = TestEngine::start(succeeding);
    node.declare(1, "repeatable", 1, 1_000);
    node.write_entry("e", &engine, "ready");
    let until = Instant::now() + Duration::from_secs(10);
    while node.capacity_report().await.sources == ReportSources::default() {
        assert!(Instant::now() < until, "the other node reports in time");
        other.request("1", "/r/x").await;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    other.crash();
    suspend(SUSPENDED);
    let report = node.capacity_report().await;
    assert_eq!(report.sources, ReportSources::default());
    assert_eq!(report.ages.demand_ms, None);
    assert!(report.pools[0].classes.is_empty(), "{report:?}");
}

//! Streams that are resumed after nodes have ended, or have missed that engines of another software version joined.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::streams::{
    LAST_BEFORE_CUT, STREAMS, events, former, is_of_one_version, newer, request_stream,
};
use support::{MemoryStore, TestEngine, TestNode, status};

/// Time limit of requests; no test depends on it.
const LIMIT_MS: u64 = 10_000;

/// Prefix of the keys of stored versions.
const VERSIONS_PREFIX: &str = "dalestand/versions/";

/// Time for a node to store the versions of its engines.
const STORING_TIME: Duration = Duration::from_secs(10);

/// Time within which a stream that can't go on is refused, also if the key-value service is silent.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Two engines of each version, at their names.
struct Engines {
    former: Vec<(String, TestEngine)>,
    newer: Vec<(String, TestEngine)>,
}

impl Engines {
    fn start() -> Self {
        let engines = |prefix: &str, script: support::Script| {
            let names = (0..2).map(|number| format!("{prefix}{number}"));
            names
                .map(|name| (name, TestEngine::start(script)))
                .collect()
        };
        Self {
            former: engines("former", former),
            newer: engines("newer", newer),
        }
    }

    fn list_former(&self, node: &TestNode) {
        for (name, engine) in &self.former {
            node.write_entry(name, engine, "ready software v1");
        }
    }

    fn list_newer(&self, node: &TestNode) {
        for (name, engine) in &self.newer {
            node.write_entry(name, engine, "ready software v1.1");
        }
    }

    /// Ends the newer engines as planned: their entries go.
    fn remove_newer(&self, store: &MemoryStore) {
        for (name, _) in &self.newer {
            store.write(&format!("engines/{name}"), None);
        }
    }
}

/// The first node of a new fleet, which knows the engines of the former version and has begun a stream there.
async fn first_node(engines: &Engines) -> TestNode {
    let store: Rc<MemoryStore> = Rc::default();
    store.set_era(1);
    let node = TestNode::start_on_with(&store, "first_start = true\n").await;
    node.declare(1, "resumable-stream", 1, LIMIT_MS);
    engines.list_former(&node);
    node.wait_for_engines(2).await;
    let answer = request_stream(&node, "first", None).await;
    assert_eq!(events(&answer).len(), LAST_BEFORE_CUT as usize, "{answer}");
    let until = Instant::now() + STORING_TIME;
    while store.entries(VERSIONS_PREFIX).is_empty() {
        assert!(Instant::now() < until, "nothing is stored");
        node.settle().await;
    }
    node
}

/// Streams that break off: their ids and events.
async fn begin_streams(node: &TestNode, name: &str) -> Vec<(String, Vec<(u64, String)>)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("{name}{number}");
        let answer = request_stream(node, &id, None).await;
        begun.push((id, events(&answer)));
    }
    begun
}

/// Streams that break off, the last of which include some of the newer version. None begins there before a node has stored the
/// version, which takes a moment after its engines are known.
async fn begin_streams_until_newer(
    node: &TestNode,
    name: &str,
) -> Vec<(String, Vec<(u64, String)>)> {
    let until = Instant::now() + STORING_TIME;
    let mut begun = begin_streams(node, name).await;
    while begun.iter().all(|(_, events)| events[0].1 == "v1") && Instant::now() < until {
        begun = begin_streams(node, &format!("{name}{:?}-", until.elapsed())).await;
    }
    assert!(begun.iter().any(|(_, events)| events[0].1 == "v1.1"));
    begun
}

/// Resumes streams; returns how many went on, each at the version that began it.
async fn resume_all(node: &TestNode, begun: Vec<(String, Vec<(u64, String)>)>) -> usize {
    let mut resumed = 0;
    for (id, first) in begun {
        let began = Instant::now();
        let last = Some((id.as_str(), LAST_BEFORE_CUT));
        let answer = request_stream(node, &format!("{id}-again"), last).await;
        let rest = events(&answer);
        if rest.is_empty() {
            assert_eq!(status(&answer), "503", "{answer}");
            assert!(began.elapsed() < REFUSAL_TIME, "{:?}", began.elapsed());
            continue;
        }
        let joined = [first, rest].concat();
        assert!(is_of_one_version(&joined), "{joined:?}");
        resumed += 1;
    }
    resumed
}

/// Guards against streams that begin at a version that a node which starts later can't know of.
#[actix_rt::test]
async fn no_stream_begins_at_a_version_that_can_not_be_stored() {
    let engines = Engines::start();
    let node = first_node(&engines).await;
    node.store.refuse_writes(VERSIONS_PREFIX);
    engines.list_newer(&node);
    node.wait_for_engines(4).await;
    let begun = begin_streams(&node, "q").await;
    assert!(
        begun
            .iter()
            .all(|(_, events)| events.len() == LAST_BEFORE_CUT as usize)
    );
    let newer = engines.newer.iter();
    let reached: usize = newer.map(|(_, engine)| engine.heads().len()).sum();
    assert_eq!(reached, 0);
}

/// Guards against streams of two versions joined after all nodes were killed, the newer version's engines having ended with them.
#[rstest]
#[case::a_moment_after_it_joined(Duration::ZERO)]
#[case::after_a_while(Duration::from_millis(600))]
#[actix_rt::test]
async fn no_stream_goes_on_at_another_version_after_all_nodes_were_killed(#[case] delay: Duration) {
    let engines = Engines::start();
    let node = first_node(&engines).await;
    engines.list_newer(&node);
    node.wait_for_engines(4).await;
    let begun = begin_streams_until_newer(&node, "q").await;
    actix_rt::time::sleep(delay).await;
    node.crash();
    engines.remove_newer(&node.store);
    let node = TestNode::start_on(&node.store).await;
    node.wait_for_engines(2).await;
    node.settle().await;
    resume_all(&node, begun).await;
}

/// Guards against a node that takes its own old view for the truth: it heard nothing of the service and of its peers while a second
/// version joined.
#[rstest]
#[case::half_a_second(Duration::from_millis(500))]
#[case::two_seconds(Duration::from_secs(2))]
#[actix_rt::test]
async fn no_stream_goes_on_at_a_node_that_missed_its_version(#[case] silence: Duration) {
    let engines = Engines::start();
    let node = first_node(&engines).await;
    let other = node.start_beside("node-2").await;
    other.wait_for_engines(2).await;
    node.wait_for_metric("dalestand_nodes_known", 2).await;
    other.wait_for_metric("dalestand_nodes_known", 2).await;
    other.settle().await;
    other.set_paused(true);
    other.own_store.set_refuses(true);
    other.flood_peer_socket();
    engines.list_newer(&node);
    node.wait_for_engines(4).await;
    let began = Instant::now();
    let mut begun = begin_streams_until_newer(&node, "q").await;
    begun.retain(|(_, events)| events[0].1 == "v1.1");
    actix_rt::time::sleep(silence.saturating_sub(began.elapsed())).await;
    node.crash();
    other.set_paused(false);
    assert_eq!(resume_all(&other, begun).await, 0);
}

/// Guards against streams of the only version that are refused at a node that began none of them.
#[actix_rt::test]
async fn streams_go_on_after_all_nodes_were_killed_while_one_version_has_served() {
    let engines = Engines::start();
    let node = first_node(&engines).await;
    let begun = begin_streams(&node, "q").await;
    node.crash();
    let node = TestNode::start_on(&node.store).await;
    node.wait_for_engines(2).await;
    assert_eq!(resume_all(&node, begun).await, STREAMS);
}

/// Guards against streams joined from two versions after the service was restored from a backup that lacks one of them.
#[actix_rt::test]
async fn streams_of_a_version_that_a_restore_lost_are_refused() {
    let engines = Engines::start();
    let node = first_node(&engines).await;
    let backup = node.store.backup();
    engines.list_newer(&node);
    node.wait_for_metric("dalestand_engine_versions_missing", 0)
        .await;
    let begun = begin_streams_until_newer(&node, "q").await;
    node.crash();
    engines.remove_newer(&node.store);
    node.store.restore(&backup);
    let node = TestNode::start_on(&node.store).await;
    node.wait_for_engines(2).await;
    node.settle().await;
    assert_eq!(resume_all(&node, begun).await, 0);
}

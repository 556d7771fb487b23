//! Streams while engines of several software versions serve in one pool.

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
    EVENTS, LAST_BEFORE_CUT, STREAMS, events, former, is_of_one_version, newer, request_stream,
};
use support::{MemoryStore, TestEngine, TestNode, get, status};

/// Time limit of requests; no test depends on it.
const LIMIT_MS: u64 = 10_000;

/// Time within which a stream that can't go on is refused: far below the time limit, and enough for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time for a node to take the fleet lease and store the versions.
const STORING_TIME: Duration = Duration::from_secs(10);

/// Two engines of each version.
struct Engines {
    all: Vec<(String, TestEngine, &'static str)>,
}

impl Engines {
    fn start() -> Self {
        let scripts = [(former as support::Script, "v1"), (newer, "v1.1")];
        let all = (0..4).map(|number| {
            let (script, version) = scripts[number % 2];
            (format!("e{number}"), TestEngine::start(script), version)
        });
        Self { all: all.collect() }
    }

    /// Lists the engines for which `is_listed` holds.
    fn list(&self, node: &TestNode, is_listed: impl Fn(&str) -> bool) {
        for (name, engine, version) in &self.all {
            if is_listed(version) {
                node.write_entry(name, engine, &format!("ready software {version}"));
            }
        }
    }
}

/// A node that knows engines of both versions.
async fn node_with_both(engines: &Engines, attempts: u32) -> TestNode {
    let node = TestNode::start().await;
    node.declare(1, "resumable-stream", attempts, LIMIT_MS);
    engines.list(&node, |_| true);
    node.wait_for_declaration(1).await;
    node.wait_for_engines(4).await;
    node
}

/// Guards against a stream that goes on, within one answer, at an engine of another version than the one that began it.
#[actix_rt::test]
async fn a_stream_goes_on_at_its_version_within_one_answer() {
    let engines = Engines::start();
    let node = node_with_both(&engines, 3).await;
    let mut whole = 0;
    for number in 0..STREAMS {
        let answer = request_stream(&node, &format!("q{number}"), None).await;
        let events = events(&answer);
        assert!(is_of_one_version(&events), "{answer}");
        whole += usize::from(events.len() == EVENTS as usize);
    }
    assert_eq!(whole, STREAMS);
}

/// Nodes in one zone of which only three are relays, which read the key-value service.
const NODES_WITH_MEMBERS: usize = 5;

/// Guards against members that know no versions: their entries come from relays, without them.
#[actix_rt::test]
async fn members_and_relays_that_the_store_refuses_learn_versions() {
    let engines = Engines::start();
    let node = node_with_both(&engines, 1).await;
    let mut nodes = vec![node];
    for number in 2..=NODES_WITH_MEMBERS {
        let other = nodes[0].start_beside(&format!("node-{number}")).await;
        nodes.push(other);
    }
    for node in &nodes {
        node.wait_for_engines(4).await;
        node.wait_for_metric("dalestand_engine_versions_missing", 0)
            .await;
    }
    // A relay among others.
    nodes[0].own_store.set_refuses(true);
    let late = TestEngine::start(newer);
    nodes[1].write_entry("late", &late, "ready software v1.2");
    for node in &nodes {
        node.wait_for_engines(5).await;
        node.wait_for_metric("dalestand_engine_versions_missing", 0)
            .await;
    }
}

/// Guards against a node that starts while the key-value service refuses it: it knew no relay to ask for versions, and refused
/// streams whose version served.
#[actix_rt::test]
async fn a_node_that_the_store_refuses_from_its_start_learns_versions() {
    let engines = Engines::start();
    let node = node_with_both(&engines, 1).await;
    node.store.refuse_new_nodes(true);
    // Known to the others from before, as a node that has started again.
    let entry = "{\"address\":\"127.0.0.1:9\",\"zone\":\"here\",\"link_mbps\":0}";
    let other = node.start_beside("node-2").await;
    let entry = entry.replace("127.0.0.1:9", &other.peers.to_string());
    node.store
        .write("dalestand/nodes/here/node-2", Some(&entry));
    other.wait_for_engines(4).await;
    other
        .wait_for_metric("dalestand_engine_versions_missing", 0)
        .await;
}

/// Where the caller's second attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondAttempt {
    SameNode,
    OtherNode,
    OtherNodeAfterCrash,
    NodeStartedAgain,
}

/// Guards against a caller's second attempt that goes on with a stream at an engine of another version.
#[rstest]
#[case::at_the_same_node(SecondAttempt::SameNode)]
#[case::at_another_node(SecondAttempt::OtherNode)]
#[case::at_another_node_after_a_crash(SecondAttempt::OtherNodeAfterCrash)]
#[case::at_a_node_that_has_started_again(SecondAttempt::NodeStartedAgain)]
#[actix_rt::test]
async fn a_stream_goes_on_at_its_version_over_two_attempts(#[case] second: SecondAttempt) {
    let engines = Engines::start();
    let node = node_with_both(&engines, 1).await;
    let other = node.start_beside("node-2").await;
    other.wait_for_engines(4).await;
    node.wait_for_metric("dalestand_nodes_known", 2).await;
    other.wait_for_metric("dalestand_nodes_known", 2).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("q{number}");
        let answer = request_stream(&node, &id, None).await;
        begun.push((id, events(&answer)));
    }
    let restarted = match second {
        SecondAttempt::OtherNodeAfterCrash => {
            node.crash();
            None
        }
        SecondAttempt::NodeStartedAgain => {
            node.crash();
            let store = Rc::clone(&node.store);
            let node = TestNode::start_on(&store).await;
            node.wait_for_engines(4).await;
            node.wait_for_metric("dalestand_nodes_known", 2).await;
            Some(node)
        }
        SecondAttempt::SameNode | SecondAttempt::OtherNode => None,
    };
    let taker = match second {
        SecondAttempt::SameNode => &node,
        SecondAttempt::OtherNode | SecondAttempt::OtherNodeAfterCrash => &other,
        SecondAttempt::NodeStartedAgain => restarted.as_ref().expect("a node"),
    };
    for (id, first) in begun {
        assert_eq!(first.len(), LAST_BEFORE_CUT as usize);
        let resumed = Some((id.as_str(), LAST_BEFORE_CUT));
        let answer = request_stream(taker, &format!("{id}-again"), resumed).await;
        let joined = [first, events(&answer)].concat();
        assert!(is_of_one_version(&joined), "{joined:?}");
        assert_eq!(joined.len(), EVENTS as usize, "{answer}");
    }
}

/// Guards against streams whose version nobody knows, which go on at any while two versions serve.
#[rstest]
#[case::unknown_attempt(Some("nobody-knows-it"))]
#[case::no_attempt_named(None)]
#[actix_rt::test]
async fn a_stream_of_unknown_version_is_refused_while_two_versions_serve(
    #[case] attempt: Option<&str>,
) {
    let engines = Engines::start();
    let node = node_with_both(&engines, 3).await;
    let resumed = attempt.map(|attempt| format!("x-resumes: {attempt}\r\n"));
    let headers = format!(
        "x-id: q1\r\nhost: a.example\r\nlast-event-id: 3\r\n{}",
        resumed.unwrap_or_default()
    );
    let began = Instant::now();
    let answer = get(node.callers, &headers, "/r/x").await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert!(began.elapsed() < REFUSAL_TIME, "{:?}", began.elapsed());
    assert!(
        engines
            .all
            .iter()
            .all(|(_, engine, _)| engine.heads().is_empty())
    );
}

/// Guards against a stream that goes on at the only version left, after all engines of its own have ended.
#[actix_rt::test]
async fn a_stream_whose_version_has_ended_is_refused_at_once() {
    let engines = Engines::start();
    let node = node_with_both(&engines, 1).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("q{number}");
        let answer = request_stream(&node, &id, None).await;
        begun.push((id, events(&answer)));
    }
    for (name, _, version) in &engines.all {
        if *version == "v1" {
            node.store.write(&format!("engines/{name}"), None);
        }
    }
    node.wait_for_engines(2).await;
    for (id, first) in begun {
        let resumed = Some((id.as_str(), LAST_BEFORE_CUT));
        let began = Instant::now();
        let answer = request_stream(&node, &format!("{id}-again"), resumed).await;
        let (_, version) = &first[0];
        let expected = if version == "v1" { "503" } else { "200" };
        assert_eq!(status(&answer), expected, "{version} {answer}");
        assert!(began.elapsed() < REFUSAL_TIME, "{:?}", began.elapsed());
    }
}

/// Waits until the key-value service holds these versions of the pool, as serving.
async fn wait_for_stored(store: &MemoryStore, expected: &str) {
    let expected = format!("{{\"era\":0,\"serving\":{expected},\"retired\":[]}}");
    let until = Instant::now() + STORING_TIME;
    loop {
        let stored = store.entries("dalestand/versions/");
        if stored.iter().any(|(_, versions)| *versions == expected) {
            return;
        }
        assert!(Instant::now() < until, "{expected} in {stored:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a node again, as the only one, after its fleet lease has expired.
async fn start_again(node: &TestNode, engines: usize) -> TestNode {
    node.crash();
    node.store.write("dalestand/holder", None);
    let node = TestNode::start_on(&node.store).await;
    node.wait_for_engines(engines).await;
    node.settle().await;
    node
}

/// Guards against streams that no node knows: refused though one version alone has ever served, or resumed at the one that
/// is left of two.
#[actix_rt::test]
async fn a_started_node_knows_whether_another_version_served() {
    let engines = Engines::start();
    let store: Rc<MemoryStore> = Rc::default();
    let node = TestNode::start_on_with(&store, "first_start = true\n").await;
    node.declare(1, "resumable-stream", 3, LIMIT_MS);
    engines.list(&node, |version| version == "v1");
    node.wait_for_engines(2).await;
    // No stream begins before that.
    wait_for_stored(&store, "[\"v1\"]").await;
    let unknown = Some(("unknown", LAST_BEFORE_CUT));
    let answer = request_stream(&node, "q1", unknown).await;
    let left = (EVENTS - LAST_BEFORE_CUT) as usize;
    assert_eq!(events(&answer).len(), left, "{answer}");

    let node = start_again(&node, 2).await;
    let answer = request_stream(&node, "q2", unknown).await;
    assert_eq!(events(&answer).len(), left, "{answer}");

    engines.list(&node, |version| version == "v1.1");
    wait_for_stored(&store, "[\"v1\",\"v1.1\"]").await;
    for (name, _, version) in &engines.all {
        if *version == "v1.1" {
            store.write(&format!("engines/{name}"), None);
        }
    }
    node.wait_for_engines(2).await;
    let node = start_again(&node, 2).await;
    let answer = request_stream(&node, "q3", unknown).await;
    assert_eq!(status(&answer), "503", "{answer}");
}

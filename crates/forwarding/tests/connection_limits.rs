//! Engines that accept few connections from all nodes together and reset any beyond.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{Script, TestEngine, TestNode, answer, declaration, id_of};
use tokio::task::JoinHandle;

const ENGINES: usize = 6;

/// Time limit of requests; no test depends on it.
const LIMIT_MS: u64 = 3_000;

/// Time that an engine works on a request.
const WORK_TIME: Duration = Duration::from_millis(600);

/// Time after which an engine that is short of processor time resets a connection.
const SLOW_RESET: Duration = Duration::from_millis(25);

/// Time within which a node gives up idle connections beyond its share; shorter than they may be kept.
const GIVEN_UP_WITHIN: Duration = Duration::from_millis(1_500);

/// Time in which the requests of a run are sent.
const RUN_TIME: Duration = Duration::from_secs(3);

/// Requests under way per connection that the engines accept: more than they can take.
const OVERLOAD: f64 = 1.3;

/// Share of the requests that are answered, at least: less than the engines could take, as nodes have to find free
/// connections.
const MIN_ANSWERED: f64 = 0.4;

/// What the nodes do beside the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Nodes {
    /// All take the same number of requests.
    Even,
    /// The first takes most requests.
    Uneven,
    /// Like `Even`, and the engines are slow to reset connections.
    SlowResets,
    /// The last starts in the middle of the run.
    OneStartsLate,
    /// The last is killed in the middle of the run and started again.
    OneIsKilled,
}

fn working(head: &str, stream: &mut TcpStream) {
    thread::sleep(WORK_TIME);
    answer(
        stream,
        "200 OK",
        &format!("x-id: {}\r\n", id_of(head)),
        "whole",
    );
}

fn declare(node: &TestNode, kind: &str, limit: usize) {
    let text = declaration(1, "", kind, 3, LIMIT_MS, LIMIT_MS);
    let text = text.replace(
        "max_connections = 100",
        &format!("max_connections = {limit}"),
    );
    node.store.write("declaration", Some(&text));
}

/// Starts nodes that know the engines.
async fn start_nodes(
    count: usize,
    engines: &[TestEngine],
    kind: &str,
    limit: usize,
) -> Vec<TestNode> {
    let first = TestNode::start().await;
    declare(&first, kind, limit);
    for (index, engine) in engines.iter().enumerate() {
        first.write_entry(&format!("e{index}"), engine, "ready");
    }
    let mut nodes = vec![first];
    for index in 1..count {
        let node = nodes[0].start_beside(&format!("node-{}", index + 1)).await;
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_for_engines(engines.len()).await;
        node.wait_for_declaration(1).await;
    }
    nodes
}

/// The node that takes the request with this number.
fn node_of(request: usize, nodes: usize, distribution: Nodes) -> usize {
    match distribution {
        Nodes::Uneven if !request.is_multiple_of(10) => 0,
        _ => request % nodes,
    }
}

/// Sends requests at a steady rate; returns the number of answers by status.
async fn run(
    count: usize,
    limit: usize,
    kind: &str,
    distribution: Nodes,
) -> BTreeMap<String, usize> {
    let reset_delay = match distribution {
        Nodes::SlowResets => SLOW_RESET,
        _ => Duration::ZERO,
    };
    let engines =
        (0..ENGINES).map(|_| TestEngine::start_limited(working as Script, limit, reset_delay));
    let engines: Vec<TestEngine> = engines.collect();
    let initial = count - usize::from(distribution == Nodes::OneStartsLate);
    let mut nodes = start_nodes(initial, &engines, kind, limit).await;
    let capacity = (ENGINES * limit) as f64 / WORK_TIME.as_secs_f64();
    let rate = OVERLOAD * capacity;
    let requests = (rate * RUN_TIME.as_secs_f64()) as usize;
    let mut answers = Vec::new();
    for request in 0..requests {
        if request == requests / 2 && distribution == Nodes::OneIsKilled {
            let killed = nodes.pop().expect("a node");
            // The requests under way there end with it.
            answers.retain(|(callers, answer): &(SocketAddr, JoinHandle<String>)| {
                *callers != killed.callers || answer.is_finished()
            });
            killed.crash();
        }
        if request == requests / 2 + requests / 10 && nodes.len() < count {
            let last = nodes[0].start_beside(&format!("node-{count}")).await;
            last.wait_for_engines(ENGINES).await;
            nodes.push(last);
        }
        let node = &nodes[node_of(request, nodes.len(), distribution)];
        let (callers, headers) = (
            node.callers,
            format!("x-id: {request}\r\nhost: a.example\r\n"),
        );
        let answer = actix_rt::spawn(async move { support::get(callers, &headers, "/r/x").await });
        answers.push((callers, answer));
        actix_rt::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
    let mut statuses = BTreeMap::new();
    for (_, answer) in answers {
        let answer = answer.await.expect("no panic");
        *statuses
            .entry(support::status(&answer).to_owned())
            .or_default() += 1;
    }
    statuses
}

/// Guards against nodes that opened more connections than an engine accepts, and lost requests that must not be repeated
/// with those that it reset.
#[rstest]
#[case::few_connections(3, 7, Nodes::Even)]
#[case::most_at_one_node(3, 7, Nodes::Uneven)]
#[case::slow_resets(3, 7, Nodes::SlowResets)]
#[case::a_node_starts(3, 7, Nodes::OneStartsLate)]
#[case::a_node_is_killed_and_returns(3, 7, Nodes::OneIsKilled)]
#[case::one_connection(1, 1, Nodes::Even)]
#[case::fewer_connections_than_nodes(12, 1, Nodes::Even)]
#[case::two_connections(5, 2, Nodes::Uneven)]
#[case::many_nodes(12, 16, Nodes::Even)]
#[actix_rt::test]
async fn no_request_is_lost_to_a_limit_on_connections(
    #[case] nodes: usize,
    #[case] limit: usize,
    #[case] distribution: Nodes,
    #[values("once", "stream")] kind: &str,
) {
    let statuses = run(nodes, limit, kind, distribution).await;
    println!("{nodes} nodes, limit {limit}, {distribution:?}, {kind}: {statuses:?}");
    let count = |status: &str| statuses.get(status).copied().unwrap_or_default();
    let requests: usize = statuses.values().sum();
    assert_eq!(count("200") + count("503"), requests, "{statuses:?}");
    let answered = count("200") as f64 / requests as f64;
    assert!(answered >= MIN_ANSWERED, "{statuses:?}");
}

/// Sends requests together; returns the number of answers with status 200.
async fn answered_together(node: &TestNode, count: usize) -> usize {
    let ids: Vec<String> = (0..count).map(|request| request.to_string()).collect();
    let answers = ids.iter().map(|id| node.request(id, "/r/x"));
    let answers = futures_util::future::join_all(answers).await;
    let answered = answers
        .iter()
        .filter(|answer| support::status(answer) == "200");
    answered.count()
}

/// Guards against nodes that keep connections which they no longer use from nodes that have none: requests there were
/// refused until the keep-alive time was over.
#[actix_rt::test]
async fn a_node_gives_up_idle_connections_beyond_its_share() {
    const LIMIT: usize = 4;
    let engines = [TestEngine::start_limited(working, LIMIT, Duration::ZERO)];
    let nodes = start_nodes(2, &engines, "once", LIMIT).await;
    assert_eq!(answered_together(&nodes[0], LIMIT).await, LIMIT);
    actix_rt::time::sleep(GIVEN_UP_WITHIN).await;
    let share = LIMIT / nodes.len();
    assert_eq!(answered_together(&nodes[1], share).await, share);
}

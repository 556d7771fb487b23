//! Engines that start again in place with other software, while their entries still describe the former run.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use support::{MemoryStore, Script, TestEngine, TestNode, answer, id_of};

/// Time limit of requests; no test depends on it.
const LIMIT_MS: u64 = 10_000;

/// The last event before engines break off a stream that they begin.
const LAST_BEFORE_CUT: u64 = 3;

/// Events of a whole stream.
const EVENTS: u64 = 6;

/// Streams sent to a node at a time.
const STREAMS: usize = 24;

/// Longer than the interval at which a node asks engines for the run that it takes for ended.
const RECHECK_TIME: Duration = Duration::from_millis(1_500);

/// Longer than the time for which a node relies on entries that it can't read again.
const OUTAGE: Duration = Duration::from_millis(3_500);

/// Path of an engine's report.
const REPORT: &str = "GET /report ";

/// Streams events that carry `version`. A stream that begins here breaks off.
fn stream(version: &str, head: &str, connection: &mut TcpStream) {
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    let first = last.and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
    let end = if first == 1 { LAST_BEFORE_CUT } else { EVENTS };
    let events: String = (first..=end)
        .map(|event| format!("id: {event}\ndata: {version}\n\n"))
        .collect();
    let length = events.len() + if end < EVENTS { 1_000 } else { 0 };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n",
        id_of(head)
    );
    // The node may have closed the connection.
    let _ = connection.write_all(format!("{head}{events}").as_bytes());
    if end < EVENTS {
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Answers requests for a report with `report`, and others with a stream.
fn serve(version: &str, report: Option<&str>, head: &str, connection: &mut TcpStream) {
    match (head.starts_with(REPORT), report) {
        (true, Some(report)) => answer(connection, "200 OK", "", report),
        (true, None) => answer(connection, "404 Not Found", "x-refused: 1\r\n", ""),
        (false, _) => stream(version, head, connection),
    }
}

fn former(head: &str, connection: &mut TcpStream) {
    serve("v1", Some("started 1000"), head, connection);
}

fn newer(head: &str, connection: &mut TcpStream) {
    serve("v2", Some("started 2000"), head, connection);
}

/// Serves whole streams, so that its connections stay open.
fn former_of_whole_streams(head: &str, connection: &mut TcpStream) {
    if head.starts_with(REPORT) {
        return former(head, connection);
    }
    let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: v1\n\n"));
    let headers = format!(
        "x-id: {}\r\ncontent-type: text/event-stream\r\n",
        id_of(head)
    );
    answer(connection, "200 OK", &headers, &events.collect::<String>());
}

fn whole_streams_without_report(head: &str, connection: &mut TcpStream) {
    if head.starts_with(REPORT) {
        return former_without_report(head, connection);
    }
    former_of_whole_streams(head, connection);
}

fn former_without_report(head: &str, connection: &mut TcpStream) {
    serve("v1", None, head, connection);
}

fn newer_without_report(head: &str, connection: &mut TcpStream) {
    serve("v2", None, head, connection);
}

/// The entries of engines of this software say so, and that they started at 1000.
const FORMER_ENTRY: &str = "ready started 1000 software v1";

/// Versions of the events in an answer.
fn versions(answer: &str) -> Vec<&str> {
    let lines = answer.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Two engines by whose entries one version serves.
struct Engines {
    restarting: TestEngine,
    steady: TestEngine,
}

impl Engines {
    fn start(script: Script) -> Self {
        Self {
            restarting: TestEngine::start(script),
            steady: TestEngine::start(script),
        }
    }

    async fn list(&self, node: &TestNode) {
        node.declare(1, "resumable-stream", 3, LIMIT_MS);
        node.write_entry("restarting", &self.restarting, FORMER_ENTRY);
        node.write_entry("steady", &self.steady, FORMER_ENTRY);
        node.wait_for_engines(2).await;
    }

    /// Requests for reports that the engines have got.
    fn reports(&self) -> usize {
        let heads = [self.restarting.heads(), self.steady.heads()].concat();
        heads.iter().filter(|head| head.starts_with(REPORT)).count()
    }

    fn address(&self) -> SocketAddr {
        self.restarting.address
    }
}

/// Sends streams; returns how many were whole, and the answers with events of more than one version.
async fn send_streams(node: &TestNode, prefix: &str) -> (usize, Vec<String>) {
    let mut whole = 0;
    let mut mixed = Vec::new();
    for number in 0..STREAMS {
        let answer = node.request(&format!("{prefix}{number}"), "/r/x").await;
        let versions = versions(&answer);
        whole += usize::from(versions.len() == EVENTS as usize);
        if versions.iter().any(|version| *version != versions[0]) {
            mixed.push(answer.clone());
        }
    }
    (whole, mixed)
}

/// Guards against streams that go on at an engine whose run was seen to end, by the version of that run.
#[rstest]
#[case::that_reports_its_start(former, newer)]
#[case::without_report(former_without_report, newer_without_report)]
#[actix_rt::test]
async fn the_version_of_an_ended_run_is_not_that_of_the_next(
    #[case] former: Script,
    #[case] newer: Script,
    #[values(false, true)] is_seen_by_other_node: bool,
) {
    let engines = Engines::start(former);
    let witness = TestNode::start().await;
    engines.list(&witness).await;
    let other = witness.start_beside("node-2").await;
    other.wait_for_engines(2).await;
    for node in [&witness, &other] {
        node.wait_for_metric("dalestand_nodes_known", 2).await;
    }
    engines.restarting.crash();
    send_streams(&witness, "down").await;
    other.settle().await;
    let address = engines.address();
    let _restarted = TestEngine::start_at(address, newer);
    actix_rt::time::sleep(RECHECK_TIME).await;
    let node = if is_seen_by_other_node {
        &other
    } else {
        &witness
    };
    let (_, mixed) = send_streams(node, "up").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
    // The entry of the later start brings a version back.
    let beside = TestEngine::start(newer);
    witness.write_entry("beside", &beside, "ready started 2000 software v2");
    let entry = format!("{address} ready started 2000 software v2");
    witness.store.write("engines/restarting", Some(&entry));
    witness.store.write("engines/steady", None);
    node.settle().await;
    let (whole, mixed) = send_streams(node, "listed").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
    assert_eq!(whole, STREAMS);
}

/// Guards against streams that go on at an engine that has started again between two calls, so that it always listened.
#[actix_rt::test]
async fn a_restart_that_only_broke_connections_is_noticed() {
    let engines = Engines::start(former);
    let node = TestNode::start().await;
    engines.list(&node).await;
    let (whole, _) = send_streams(&node, "before").await;
    assert_eq!(whole, STREAMS);
    // The engine breaks off the streams that it begins, as when it ends.
    engines.restarting.crash();
    let _restarted = TestEngine::start_at(engines.address(), newer);
    let (_, mixed) = send_streams(&node, "after").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
}

/// Guards against streams that go on at an engine that started again, seen by no node, while the store is away.
#[rstest]
#[case::that_reports_its_start(former_of_whole_streams, newer)]
#[case::without_report(whole_streams_without_report, newer_without_report)]
#[actix_rt::test]
async fn a_restart_without_open_connections_is_noticed_in_an_outage(
    #[case] former: Script,
    #[case] newer: Script,
) {
    let engines = Engines::start(former);
    let node = TestNode::start().await;
    engines.list(&node).await;
    let (whole, _) = send_streams(&node, "before").await;
    assert_eq!(whole, STREAMS);
    assert_eq!(engines.reports(), 2, "one a run");
    node.store.set_unavailable(true);
    actix_rt::time::sleep(OUTAGE).await;
    engines.restarting.crash();
    let _restarted = TestEngine::start_at(engines.address(), newer);
    let (_, mixed) = send_streams(&node, "after").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
}

/// Guards against a node that believes what another node has confirmed of a run that has ended since.
#[actix_rt::test]
async fn a_run_that_another_node_has_confirmed_is_confirmed_anew() {
    let engines = Engines::start(former_of_whole_streams);
    let node = TestNode::start().await;
    let other = node.start_beside("node-2").await;
    engines.list(&node).await;
    other.wait_for_engines(2).await;
    node.wait_for_metric("dalestand_nodes_known", 2).await;
    let (whole, _) = send_streams(&node, "before").await;
    assert_eq!(whole, STREAMS);
    other.settle().await;
    // It does not see its connections end.
    node.set_paused(true);
    engines.restarting.crash();
    let _restarted = TestEngine::start_at(engines.address(), newer);
    let (_, mixed) = send_streams(&other, "after").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
}

/// Guards against a node that has started and believes entries of runs that ended while no node was there to see it.
#[rstest]
#[case::that_report_another_start(newer, 0)]
#[case::that_report_the_same_start(former, STREAMS)]
#[case::without_report(former_without_report, STREAMS)]
#[actix_rt::test]
async fn a_started_node_asks_engines_for_their_runs(
    #[case] restarted: Script,
    #[case] expected_whole: usize,
) {
    let store: Rc<MemoryStore> = Rc::default();
    let node = TestNode::start_on(&store).await;
    let mut engines = Engines::start(if expected_whole > 0 {
        restarted
    } else {
        former
    });
    engines.list(&node).await;
    node.crash();
    if expected_whole == 0 {
        engines.restarting.crash();
        engines.restarting = TestEngine::start_at(engines.address(), restarted);
    }
    let node = TestNode::start_on(&store).await;
    node.wait_for_engines(2).await;
    let (whole, mixed) = send_streams(&node, "q").await;
    assert!(mixed.is_empty(), "{} mixed: {mixed:?}", mixed.len());
    assert_eq!(whole, expected_whole);
}

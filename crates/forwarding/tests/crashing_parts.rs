//! Parts of prompts that crash every engine that begins to answer a request with them.
//!
//! Guards against requests with such a part crashing engine after engine: no two of them are alike, and other requests
//! share all their other parts.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::cell::{Cell, RefCell};
use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, get, id_of, status};

/// The part that crashes engines.
const CRASHING_PART: u64 = 66;

/// Crashes after which requests with the part have to be refused.
const MAX_CRASHES: usize = 5;

/// Requests that may reach engines after that, over the whole time.
const MAX_LATE_ARRIVALS: usize = 3;

/// Requests with the crashing part that a test sends.
const ARRIVALS: u64 = 12;

/// Parts before the last, with the crashing one in the middle.
const IN_THE_MIDDLE: &[u64] = &[1, CRASHING_PART, 2];

/// The same with the crashing one first.
const FIRST: &[u64] = &[CRASHING_PART, 1, 2];

/// Parts of sound requests, before the last.
const SOUND: &[u64] = &[1, 2];

/// The first id of the parts that belong to one request each.
const FIRST_OWN_PART: u64 = 1_000;

/// Request path whose engines crash before the head of the answer.
const HEADLESS_PATH: &str = "/r/headless";

/// Request path on which the part crashes no engine, as before a change of the engines.
const HARMLESS_PATH: &str = "/r/harmless";

/// Request path whose answers have neither a length nor chunks.
const UNFRAMED_PATH: &str = "/r/unframed";

fn has_crashing_part(head: &str) -> bool {
    let parts = head.lines().find_map(|line| line.strip_prefix("x-parts: "));
    let mut parts = parts.unwrap_or_default().split(' ');
    parts.any(|part| part == CRASHING_PART.to_string())
}

fn begins_an_answer_with_crashing_part(head: &str) -> bool {
    has_crashing_part(head) && !head.contains("x-prefill: 1") && !head.contains(HARMLESS_PATH)
}

/// Begins the answer to a request with the crashing part and never ends it; answers all others.
fn crashing_or_succeeding(head: &str, stream: &mut TcpStream) {
    let id = id_of(head);
    let is_unframed = head.contains(UNFRAMED_PATH);
    if !begins_an_answer_with_crashing_part(head) {
        thread::sleep(Duration::from_millis(15));
        if is_unframed {
            let whole = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nid: 1\ndata: whole\n\n");
            let _ = stream.write_all(whole.as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Both);
        } else {
            answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
        }
        return;
    }
    let begun = if is_unframed {
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nid: 1\nda")
    } else {
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n9\r\nid: 1\nda")
    };
    if !head.contains(HEADLESS_PATH) {
        let _ = stream.write_all(begun.as_bytes());
    }
}

/// Engines that crash soon after they begin an answer with the crashing part.
struct Engines {
    engines: RefCell<Vec<TestEngine>>,
    crashes: Cell<usize>,
}

impl Engines {
    async fn start(node: &TestNode, count: usize, states: &[&str]) -> Self {
        let engines: Vec<TestEngine> = (0..count)
            .map(|_| TestEngine::start(crashing_or_succeeding))
            .collect();
        for (index, engine) in engines.iter().enumerate() {
            node.write_entry(&format!("e{index}"), engine, states[index % states.len()]);
        }
        node.wait_for_engines(count).await;
        Self {
            engines: RefCell::new(engines),
            crashes: Cell::new(0),
        }
    }

    /// Crashes engines that begin an answer with the part; runs until dropped.
    async fn crash(&self) {
        loop {
            for engine in self.engines.borrow().iter() {
                let mut heads = engine.heads().into_iter();
                if !engine.has_crashed()
                    && heads.any(|head| begins_an_answer_with_crashing_part(&head))
                {
                    engine.crash();
                    self.crashes.set(self.crashes.get() + 1);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Requests with the crashing part that engines have read, prefills among them.
    fn arrivals(&self) -> usize {
        let engines = self.engines.borrow();
        let heads = engines.iter().flat_map(TestEngine::heads);
        heads.filter(|head| has_crashing_part(head)).count()
    }
}

/// Sends a request with these parts and one of its own.
async fn request(node: &TestNode, number: u64, parts: &[u64], path: &str) -> String {
    let own_part = FIRST_OWN_PART + number;
    let parts = parts.iter().chain([&own_part]);
    let parts: Vec<String> = parts.map(u64::to_string).collect();
    let headers = format!(
        "x-id: {number}\r\nhost: a.example\r\nx-prompt: 400\r\nx-parts: {}\r\n",
        parts.join(" ")
    );
    get(node.callers, &headers, &format!("{path}/{number}")).await
}

/// Numbers of sound requests, apart from those with the crashing part.
const SOUND_NUMBERS: u64 = 100;

/// Sends requests with the crashing part to the nodes in turn, each with sound ones beside it; returns how many sound
/// ones were answered after the crashes were to be over.
async fn send(nodes: &[&TestNode], engines: &Engines, parts: &[u64], path: &str) -> (usize, usize) {
    let (mut asked, mut served) = (0, 0);
    let arrivals = async {
        for arrival in 0..ARRIVALS {
            let node = nodes[arrival as usize % nodes.len()];
            let crashing = request(node, arrival, parts, path);
            let sound = request(node, SOUND_NUMBERS + 2 * arrival, SOUND, path);
            let (_, _) = tokio::join!(crashing, sound);
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            let sound = request(node, SOUND_NUMBERS + 2 * arrival + 1, SOUND, path).await;
            if arrival >= MAX_CRASHES as u64 {
                asked += 1;
                served += usize::from(status(&sound) == "200");
            }
        }
    };
    tokio::select! {
        () = arrivals => {}
        () = engines.crash() => {}
    }
    (asked, served)
}

#[rstest]
#[case::resumed_at_other_engines("resumable-stream", 3, IN_THE_MIDDLE, "/r/x")]
#[case::first_part("resumable-stream", 3, FIRST, "/r/x")]
#[case::before_the_head("resumable-stream", 3, IN_THE_MIDDLE, HEADLESS_PATH)]
#[case::without_framing("resumable-stream", 3, IN_THE_MIDDLE, UNFRAMED_PATH)]
#[case::streamed_once("stream", 1, IN_THE_MIDDLE, "/r/x")]
#[case::repeated("repeatable", 2, IN_THE_MIDDLE, "/r/x")]
#[actix_rt::test]
async fn a_crashing_part_is_held_and_what_shares_its_other_parts_is_served(
    #[case] kind: &str,
    #[case] attempts: u32,
    #[case] parts: &[u64],
    #[case] path: &str,
) {
    let node = TestNode::start().await;
    node.declare(1, kind, attempts, 1_000);
    let engines = Engines::start(&node, 30, &["ready"]).await;
    let (asked, served) = send(&[&node], &engines, parts, path).await;
    assert!(
        engines.crashes.get() <= MAX_CRASHES,
        "{} crashes",
        engines.crashes.get()
    );
    assert_eq!(served, asked, "sound requests");
    let refused = request(&node, ARRIVALS, parts, path).await;
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
}

/// A prefill that ends well proves nothing, and counts as an arrival.
#[actix_rt::test]
async fn a_crashing_part_is_held_though_its_prefills_succeed() {
    let node = TestNode::start().await;
    node.declare_prompts(1, "resumable-stream", 3, 1_000);
    let engines = Engines::start(
        &node,
        30,
        &["ready prefill", "ready decode", "ready decode"],
    )
    .await;
    send(&[&node], &engines, IN_THE_MIDDLE, "/r/x").await;
    assert!(
        engines.crashes.get() <= MAX_CRASHES,
        "{} crashes",
        engines.crashes.get()
    );
    let before = engines.arrivals();
    for number in ARRIVALS..2 * ARRIVALS {
        request(&node, number, IN_THE_MIDDLE, "/r/x").await;
    }
    assert!(engines.arrivals() - before <= MAX_LATE_ARRIVALS);
}

#[actix_rt::test]
async fn nodes_share_what_they_know_of_a_crashing_part() {
    let first = TestNode::start().await;
    first.declare(1, "resumable-stream", 3, 1_000);
    let second = first.start_beside("node-2").await;
    let third = first.start_beside("node-3").await;
    let engines = Engines::start(&first, 30, &["ready"]).await;
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let nodes = [&first, &second, &third];
    let (asked, served) = send(&nodes, &engines, IN_THE_MIDDLE, "/r/x").await;
    assert!(
        engines.crashes.get() <= MAX_CRASHES,
        "{} crashes",
        engines.crashes.get()
    );
    assert_eq!(served, asked, "sound requests");
}

/// Whether the key-value service keeps what is held, or only the nodes know it.
#[rstest]
#[case::by_the_store(true)]
#[case::by_other_nodes(false)]
#[actix_rt::test]
async fn a_node_that_starts_later_knows_the_crashing_part(#[case] is_stored: bool) {
    let first = TestNode::start().await;
    if !is_stored {
        first.store.refuse_writes("dalestand/quarantine/part/");
    }
    first.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&first, 30, &["ready"]).await;
    send(&[&first], &engines, IN_THE_MIDDLE, "/r/x").await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    if is_stored {
        first.crash();
    }
    let later = first.start_beside("node-2").await;
    later.wait_for_engines(30).await;
    // Within the time after which a node counts as connected.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let before = engines.arrivals();
    send(&[&later], &engines, IN_THE_MIDDLE, "/r/x").await;
    assert!(engines.arrivals() - before <= MAX_LATE_ARRIVALS);
}

/// Guards against a part that stays refused after its engines were repaired.
#[actix_rt::test]
async fn an_operator_can_release_a_held_part() {
    let node = TestNode::start().await;
    node.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&node, 30, &["ready"]).await;
    send(&[&node], &engines, IN_THE_MIDDLE, "/r/x").await;
    node.wait_for_metric("dalestand_prompt_parts_held", 1).await;
    let held = node.store.entries("dalestand/quarantine/part/");
    let (key, value) = held.first().expect("a held part");
    let released = value.replace("\"is_released\":false", "\"is_released\":true");
    node.store.write(key, Some(&released));
    node.wait_for_metric("dalestand_prompt_parts_held", 0).await;
    let before = engines.arrivals();
    request(&node, ARRIVALS, IN_THE_MIDDLE, "/r/x").await;
    assert_eq!(engines.arrivals(), before + 1);
}

/// Guards against taking the parts of frequent requests for guilty when all engines crash at once, as in a power failure.
#[actix_rt::test]
async fn engines_that_crash_together_hold_no_part() {
    let node = TestNode::start().await;
    node.declare(1, "repeatable", 1, 1_000);
    let engines = Engines::start(&node, 16, &["ready"]).await;
    for round in 0..3 {
        let first = 100 * round;
        let requests = (first..first + 24).map(|number| request(&node, number, SOUND, "/r/x"));
        let crash = async {
            actix_rt::time::sleep(Duration::from_millis(8)).await;
            let engines = engines.engines.borrow();
            engines
                .iter()
                .skip(round as usize * 4)
                .take(4)
                .for_each(TestEngine::crash);
        };
        tokio::join!(futures_util::future::join_all(requests), crash);
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
    let after = request(&node, 900, SOUND, "/r/x").await;
    let again = request(&node, 901, SOUND, "/r/x").await;
    assert!(
        status(&after) == "200" || status(&again) == "200",
        "{after} {again}"
    );
}

/// Guards against a started node that took all crashes before its start for simultaneous ones, and held no part for them.
#[actix_rt::test]
async fn a_node_holds_parts_for_crashes_that_are_older_than_itself() {
    let first = TestNode::start().await;
    first.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&first, 30, &["ready"]).await;
    send(&[&first], &engines, IN_THE_MIDDLE, "/r/x").await;
    first.crash();
    let later = first.start_beside("node-2").await;
    later
        .wait_for_metric("dalestand_prompt_parts_held", 1)
        .await;
}

/// Guards against a node that starts while the key-value service refuses it: without the fleet's key it recognized no part,
/// and passed on requests with those that other nodes held.
#[actix_rt::test]
async fn a_node_that_the_store_refuses_from_its_start_holds_parts() {
    let first = TestNode::start().await;
    first.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&first, 30, &["ready"]).await;
    send(&[&first], &engines, IN_THE_MIDDLE, "/r/x").await;
    first.store.refuse_new_nodes(true);
    let other = first.start_beside("node-2").await;
    // Known to the others from before, as a node that has started again.
    let entry = format!(
        "{{\"address\":\"{}\",\"zone\":\"here\",\"link_mbps\":0}}",
        other.peers
    );
    first
        .store
        .write("dalestand/nodes/here/node-2", Some(&entry));
    other.wait_for_engines(30).await;
    other.wait_for_declaration(1).await;
    other
        .wait_for_metric("dalestand_prompt_parts_held", 1)
        .await;
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let before = engines.arrivals();
    for number in ARRIVALS..2 * ARRIVALS {
        let refused = request(&other, number, IN_THE_MIDDLE, "/r/x").await;
        assert_eq!(status(&refused), "503", "{refused}");
    }
    assert_eq!(engines.arrivals(), before);
    let sound = request(&other, SOUND_NUMBERS, SOUND, "/r/x").await;
    assert_eq!(status(&sound), "200", "{sound}");
}

/// Guards against a node whose request for the fleet's key hangs: it recognized no part for seconds.
#[actix_rt::test]
async fn the_fleet_key_is_read_soon_after_the_store_was_silent() {
    let first = TestNode::start().await;
    first.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&first, 30, &["ready"]).await;
    send(&[&first], &engines, IN_THE_MIDDLE, "/r/x").await;
    first.crash();
    first.store.set_silent(true);
    let later = first.start_beside("node-2").await;
    later.settle().await;
    first.store.set_silent(false);
    later
        .wait_for_metric("dalestand_prompt_parts_held", 1)
        .await;
    // Half of the time after which a node counts as connected.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let before = engines.arrivals();
    for number in ARRIVALS..2 * ARRIVALS {
        request(&later, number, IN_THE_MIDDLE, "/r/x").await;
    }
    assert_eq!(engines.arrivals(), before);
}

/// Guards against a part that crashes engines although requests with it had completed shortly before, and against calls to the
/// key-value service for as long as a part is held that was tried.
#[actix_rt::test]
async fn a_part_that_had_been_harmless_is_held_and_tried() {
    let node = TestNode::start().await;
    node.declare(1, "stream", 1, 1_000);
    let engines = Engines::start(&node, 40, &["ready"]).await;
    request(&node, 900, IN_THE_MIDDLE, HARMLESS_PATH).await;
    let arrivals = async {
        for number in 0..70 {
            request(&node, number, IN_THE_MIDDLE, "/r/x").await;
            actix_rt::time::sleep(Duration::from_millis(80)).await;
        }
    };
    tokio::select! {
        () = arrivals => {}
        () = engines.crash() => {}
    }
    node.wait_for_metric("dalestand_held_part_trials_total", 1)
        .await;
    node.wait_for_metric("dalestand_prompt_parts_held", 1).await;
    let reads = node.store.reads("dalestand/quarantine/part/");
    actix_rt::time::sleep(Duration::from_millis(1_600)).await;
    assert_eq!(node.store.reads("dalestand/quarantine/part/"), reads);
}

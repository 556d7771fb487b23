//! An overloaded pool with three nodes and callers of two priorities.
//!
//! Guards against nodes that send requests to engines that refuse them, and against urgent requests
//! that wait behind others.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{TestEngine, TestNode, answer, id_of};

/// Requests that an engine holds. By its entry it works on four, so it queues three times as many.
const ENGINE_CAPACITY: usize = 16;

/// Time that an engine takes for a request, for each request it holds.
const WORK: Duration = Duration::from_millis(25);

/// Time after which a full engine refuses.
const REFUSAL: Duration = Duration::from_millis(80);

/// Time between rounds. In each, every node is sent [`AT_ONCE`] requests: 180 per second in all,
/// while the engines serve 120.
const PAUSE: Duration = Duration::from_millis(100);

const AT_ONCE: usize = 6;

/// Rounds in which nodes learn that the pool is short of capacity.
const WARM_UP_ROUNDS: usize = 20;

const ROUNDS: usize = 60;

/// Share of calls that engines may refuse while the pool is short: the required bound.
const MAX_REFUSED_SHARE: f64 = 0.05;

/// Requests held by each engine, by its port.
static HELD: Mutex<Option<HashMap<u16, usize>>> = Mutex::new(None);

/// Requests that engines refused.
static REFUSED: AtomicUsize = AtomicUsize::new(0);

fn change_held(port: u16, change: impl FnOnce(&mut usize) -> usize) -> usize {
    let mut held = HELD.lock().expect("no panic");
    change(held.get_or_insert_default().entry(port).or_default())
}

/// Answers after a delay, or refuses if it holds too many requests.
fn bounded(head: &str, stream: &mut TcpStream) {
    let port = stream.local_addr().expect("an address").port();
    let id = id_of(head);
    let held = change_held(port, |held| {
        let before = *held;
        *held = (before + 1).min(ENGINE_CAPACITY);
        before
    });
    if held < ENGINE_CAPACITY {
        thread::sleep(WORK * (held as u32 + 1));
        change_held(port, |held| {
            *held -= 1;
            *held
        });
        answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
    } else {
        REFUSED.fetch_add(1, Ordering::Relaxed);
        thread::sleep(REFUSAL);
        let headers = format!("x-id: {id}\r\nx-refused: 1\r\n");
        answer(stream, "503 Service Unavailable", &headers, "");
    }
}

fn declare(node: &TestNode) {
    let route = |name: &str, priority: u8| {
        format!(
            "[[route]]\nname = \"{name}\"\nhost = \"a.example\"\npath_prefix = \"/{name}/\"\nkind = \"once\"\n\
             pools = [{{ pool = \"pool\", weight = 1 }}]\ntime_limit_ms = 3000\nobjective_ms = 1000\n\
             max_attempts = 1\npriority = {priority}\n"
        )
    };
    let pool = "[[pool]]\nname = \"pool\"\nmax_connections = 200\n[pool.prompt_engine]\nslots = 4\n\
                memory_tokens = 100000\ntoken_bytes = 1000\nlink_mbps = 100000.0\n";
    let (urgent, rest) = (route("urgent", 0), route("rest", 2));
    let text = format!("revision = 1\n{pool}{urgent}{rest}");
    node.store.write("declaration", Some(&text));
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// Number of calls sent to the engines.
fn calls(engines: &[TestEngine]) -> usize {
    engines.iter().map(|engine| engine.heads().len()).sum()
}

#[rstest]
#[actix_rt::test]
async fn excess_requests_wait_or_are_refused_by_nodes_and_not_by_engines() {
    let first = TestNode::start().await;
    declare(&first);
    let second = first.start_beside("node-2").await;
    let third = first.start_beside("node-3").await;
    let nodes = [&first, &second, &third];
    let engines: Vec<TestEngine> = (0..3).map(|_| TestEngine::start(bounded)).collect();
    for (index, engine) in engines.iter().enumerate() {
        first.write_entry(&format!("e{index}"), engine, "ready decode");
    }
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let mut sent = Vec::new();
    let (mut calls_before, mut refused_before) = (0, 0);
    for round in 0..ROUNDS {
        if round == WARM_UP_ROUNDS {
            calls_before = calls(&engines);
            refused_before = REFUSED.load(Ordering::Relaxed);
        }
        for (index, node) in nodes.iter().enumerate() {
            for number in 0..AT_ONCE {
                let path = if number == 0 { "/urgent/x" } else { "/rest/x" };
                let headers = format!(
                    "x-id: {round}-{index}-{number}\r\nhost: a.example\r\nx-deadline-ms: 3000\r\nx-prompt: 100\r\n"
                );
                let callers = node.callers;
                let answer =
                    actix_rt::spawn(async move { support::get(callers, &headers, path).await });
                sent.push((round, path, answer));
            }
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    let mut outcomes: HashMap<(&str, String), usize> = HashMap::new();
    for (round, path, answer) in sent {
        let answer = answer.await.expect("no panic");
        if round >= WARM_UP_ROUNDS {
            *outcomes
                .entry((path, status(&answer).to_owned()))
                .or_default() += 1;
        }
    }
    let count = |path, status: &str| {
        outcomes
            .get(&(path, status.to_owned()))
            .copied()
            .unwrap_or_default()
    };
    let served = count("/urgent/x", "200") + count("/rest/x", "200");
    let refused = REFUSED.load(Ordering::Relaxed) - refused_before;
    let share = refused as f64 / (calls(&engines) - calls_before) as f64;
    assert!(share < MAX_REFUSED_SHARE, "{share}: {outcomes:?}");
    assert_eq!(count("/urgent/x", "503"), 0, "{outcomes:?}");
    assert!(
        count("/rest/x", "503") > 0,
        "the pool was short: {outcomes:?}"
    );
    let asked = (ROUNDS - WARM_UP_ROUNDS) * nodes.len() * AT_ONCE;
    assert!(served * 2 > asked, "the capacity is used: {outcomes:?}");
}

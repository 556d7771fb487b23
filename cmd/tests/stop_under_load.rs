//! A node that stops as planned under a stream of new connections answers each request that it
//! took in: callers are refused as not run, or find nobody listening, but no request is dropped
//! without a word.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_types::Role;
use serde_json::json;
use support::fleet::Fleet;
use support::{call, eventually};

const LEASE_MS: u64 = 1_500;
const CALLERS: usize = 32;

/// What callers saw.
#[derive(Default)]
struct Seen {
    answered: Cell<usize>,
    refused: Cell<usize>,
    dropped: Cell<usize>,
}

/// Sends requests, each on a connection of its own, until nobody listens.
async fn keep_calling(callers: SocketAddr, seen: Rc<Seen>) {
    let body = json!({"model": "m", "prompt": "a tag", "max_tokens": 1});
    loop {
        let Some(answer) = call(callers, "/v1/completions", None, &body).await else {
            return;
        };
        let count = match answer.status {
            Some(200) => &seen.answered,
            Some(_) if answer.run_state.as_deref() == Some("not-run") => &seen.refused,
            _ => &seen.dropped,
        };
        count.set(count.get() + 1);
    }
}

#[actix_rt::test]
async fn no_request_is_dropped_without_a_word() {
    let mut fleet = Fleet::start(&["e"], LEASE_MS).await;
    fleet.start_node("n").await;
    fleet.apply("n", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_routes("n").await;
    let seen = Rc::new(Seen::default());
    let callers = fleet.nodes["n"].callers;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| actix_rt::spawn(keep_calling(callers, Rc::clone(&seen))))
        .collect();
    eventually("the callers are served", || async {
        (seen.answered.get() > 10 * CALLERS).then_some(())
    })
    .await;
    fleet.nodes["n"].process.signal("TERM");
    for task in tasks {
        task.await.expect("a caller that did not panic");
    }
    let node = fleet.nodes.get_mut("n").expect("the node");
    assert_eq!(node.process.wait(), Some(0));
    assert_eq!(seen.dropped.get(), 0, "{} refused", seen.refused.get());
}

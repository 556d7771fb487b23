//! During a planned stop under a stream of new connections, every request is answered, refused as not run, or
//! finds the port closed; none is dropped without a response.

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

/// Results of the callers' requests.
#[derive(Default)]
struct ResultCounts {
    answered: Cell<usize>,
    refused: Cell<usize>,
    dropped: Cell<usize>,
}

/// Sends requests, each on its own connection, until the node refuses connections.
async fn keep_calling(callers: SocketAddr, counts: Rc<ResultCounts>) {
    let body = json!({"model": "m", "prompt": "a tag", "max_tokens": 1});
    loop {
        let Some(answer) = call(callers, "/v1/completions", None, &body).await else {
            return;
        };
        let counter = match answer.status {
            Some(200) => &counts.answered,
            Some(_) if answer.run_state.as_deref() == Some("not-run") => &counts.refused,
            _ => &counts.dropped,
        };
        counter.set(counter.get() + 1);
    }
}

#[actix_rt::test]
async fn no_request_is_dropped_without_a_response() {
    let mut fleet = Fleet::start(&["e"], LEASE_MS).await;
    fleet.start_node("n").await;
    fleet.apply("n", &fleet.deployment(Role::Mixed, true));
    fleet.wait_for_routes("n").await;
    let counts = Rc::new(ResultCounts::default());
    let callers = fleet.nodes["n"].callers;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| actix_rt::spawn(keep_calling(callers, Rc::clone(&counts))))
        .collect();
    eventually("the callers are served", || async {
        (counts.answered.get() > 10 * CALLERS).then_some(())
    })
    .await;
    fleet.nodes["n"].process.signal("TERM");
    for task in tasks {
        task.await.expect("a caller that did not panic");
    }
    let node = fleet.nodes.get_mut("n").expect("the node");
    assert_eq!(node.process.wait(), Some(0));
    assert_eq!(counts.dropped.get(), 0, "{} refused", counts.refused.get());
}

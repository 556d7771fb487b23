//! An accepted configuration takes effect on every node despite failures of the key-value service and of nodes,
//! and is never reverted.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dalestand_history::checks::{configuration_in_force, configuration_never_reverts};
use dalestand_history::{Event, Recorder};
use dalestand_node::{ApplyRequest, ApplyResponse, StatusResponse};
use dalestand_standin::key_value::KeyValueFaults;
use dalestand_types::{NodeId, Revision};
use support::{Node, eventually, get, post, standin};

/// Time within which an accepted configuration must be in force on every running node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

const STATUS_POLL: Duration = Duration::from_millis(20);

/// Nodes in several zones, whose configurations are recorded.
struct Fleet {
    _kv: support::Process,
    kv: SocketAddr,
    _machines: support::Process,
    machines: SocketAddr,
    nodes: BTreeMap<String, Node>,
    watched: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    recorder: Recorder,
}

impl Fleet {
    fn start() -> Self {
        let (kv_process, kv) = standin(&["kv"]);
        let (machines_process, machines) = standin(&["machines"]);
        let fleet = Self {
            _kv: kv_process,
            kv,
            _machines: machines_process,
            machines,
            nodes: BTreeMap::new(),
            watched: Arc::default(),
            recorder: Recorder::default(),
        };
        let watched = Arc::clone(&fleet.watched);
        actix_rt::spawn(record_revisions(watched, fleet.recorder.clone()));
        fleet
    }

    /// Starts a node that uses `kv` as the address of the key-value service.
    fn start_node(&mut self, name: &str, zone: &str, kv: SocketAddr) {
        let seeds: Vec<String> = self
            .nodes
            .values()
            .map(|node| format!("\"{}\"", node.peers))
            .collect();
        let node = Node::start(&format!(
            "node = \"{name}\"\nzone = \"{zone}\"\ncaller_listen = \"127.0.0.1:0\"\n\
             operator_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
             key_value = \"{kv}\"\nmachine_list = \"{}\"\nseeds = [{}]\n",
            self.machines,
            seeds.join(", ")
        ));
        let mut watched = self.watched.lock().expect("no thread panicked");
        watched.insert(name.to_owned(), node.operators);
        drop(watched);
        self.nodes.insert(name.to_owned(), node);
    }

    fn kill_node(&mut self, name: &str) {
        let mut watched = self.watched.lock().expect("no thread panicked");
        watched.remove(name);
        drop(watched);
        self.nodes.remove(name);
    }

    async fn apply(&self, node: &str, name: &str, expected: Option<Revision>) -> ApplyResponse {
        let request = ApplyRequest {
            text: format!("format = 1\nname = \"{name}\"\n"),
            author: format!("author of {name}"),
            expected,
        };
        let (_, body) = post(self.nodes[node].operators, "/apply", &request).await;
        let response: ApplyResponse = serde_json::from_str(&body).expect("an answer to an apply");
        if let Some(revision) = response.revision {
            self.recorder
                .record(Event::ConfigurationAccepted { revision });
        }
        response
    }

    async fn set_outage(&self, outage: bool) {
        let faults = KeyValueFaults {
            outage,
            ..KeyValueFaults::default()
        };
        assert_eq!(post(self.kv, "/faults", &faults).await.0, 200);
    }

    async fn wait_until_in_force(&self, revision: Revision) {
        for (name, node) in &self.nodes {
            eventually(&format!("{revision} is in force on {name}"), || async {
                let status: StatusResponse = get(node.operators, "/status").await;
                (status.revision >= Some(revision)).then_some(())
            })
            .await;
        }
    }

    async fn wait_for_members(&self) {
        for node in self.nodes.values() {
            eventually("the nodes know each other", || async {
                let status: StatusResponse = get(node.operators, "/status").await;
                (status.members.len() == self.nodes.len() - 1).then_some(())
            })
            .await;
        }
    }

    async fn check(&self) {
        let history = eventually("enough revisions are recorded", || async {
            let history = self.recorder.history();
            let seen = history.events.iter();
            let seen = seen.filter(|one| matches!(one.event, Event::ConfigurationInForce { .. }));
            (seen.count() > 10).then_some(history)
        })
        .await;
        assert_eq!(configuration_never_reverts(&history), Ok(()));
        assert_eq!(configuration_in_force(&history, IN_FORCE_LIMIT), Ok(()));
    }
}

/// Polls the nodes and records the revision that each has in force.
async fn record_revisions(watched: Arc<Mutex<BTreeMap<String, SocketAddr>>>, recorder: Recorder) {
    let client = awc::Client::default();
    loop {
        let nodes = watched.lock().expect("no thread panicked").clone();
        for (name, operators) in nodes {
            // A killed or frozen node does not answer.
            let asked = client.get(format!("http://{operators}/status"));
            let Ok(mut answer) = asked.timeout(STATUS_POLL * 10).send().await else {
                continue;
            };
            let Ok(status) = answer.json::<StatusResponse>().await else {
                continue;
            };
            if let Some(revision) = status.revision {
                let node = NodeId::from(name);
                recorder.record(Event::ConfigurationInForce { node, revision });
            }
        }
        actix_rt::time::sleep(STATUS_POLL).await;
    }
}

/// An address without a listener, to disconnect a node from the key-value service.
fn unreachable_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

#[actix_rt::test]
async fn peers_pass_a_configuration_on_while_the_key_value_service_is_down() {
    let mut fleet = Fleet::start();
    let kv = fleet.kv;
    fleet.start_node("n1", "a", kv);
    fleet.start_node("n2", "a", kv);
    fleet.start_node("n3", "b", kv);
    // This node can never reach the key-value service.
    fleet.start_node("n4", "b", unreachable_address());
    fleet.wait_for_members().await;

    let applied = fleet.apply("n1", "first", None).await;
    fleet.set_outage(true).await;
    let first = applied.revision.expect("accepted");
    fleet.wait_until_in_force(first).await;

    // During the outage, one node restarts at another address and a new node joins.
    fleet.kill_node("n3");
    fleet.start_node("n3", "b", kv);
    fleet.start_node("n5", "c", kv);
    fleet.wait_until_in_force(first).await;
    let refused = fleet.apply("n2", "refused", None).await;
    assert_eq!(refused.revision, None);

    fleet.set_outage(false).await;
    let applied = eventually("an apply is accepted again", || async {
        fleet.apply("n5", "second", None).await.revision
    })
    .await;
    fleet.wait_until_in_force(applied).await;
    fleet.check().await;
}

#[actix_rt::test]
async fn one_of_two_concurrent_applies_wins_and_a_frozen_zone_catches_up() {
    let mut fleet = Fleet::start();
    let kv = fleet.kv;
    for (name, zone) in [("n1", "a"), ("n2", "a"), ("n3", "b"), ("n4", "b")] {
        fleet.start_node(name, zone, kv);
    }
    fleet.wait_for_members().await;
    let base = fleet.apply("n1", "base", None).await.revision;
    let base = base.expect("accepted");
    fleet.wait_until_in_force(base).await;

    let (one, other) = futures_util::join!(
        fleet.apply("n1", "one", Some(base)),
        fleet.apply("n3", "other", Some(base))
    );
    let winners: Vec<Revision> = [&one, &other].iter().filter_map(|a| a.revision).collect();
    assert_eq!(winners.len(), 1, "{one:?} {other:?}");
    let (winner, loser) = if one.revision.is_some() {
        ("author of one", other)
    } else {
        ("author of other", one)
    };
    let error = loser.error.expect("the rejected apply has an error");
    assert!(error.contains(winner), "{error}");
    fleet.wait_until_in_force(winners[0]).await;
    let late = fleet.apply("n2", "late", Some(base)).await;
    assert_eq!(late.revision, None, "its expected revision was replaced");

    for name in ["n3", "n4"] {
        fleet.nodes[name].process.signal("STOP");
    }
    let next = fleet.apply("n2", "while zone b is frozen", None).await;
    let next = next.revision.expect("accepted");
    eventually("the configuration is in force on n1", || async {
        let status: StatusResponse = get(fleet.nodes["n1"].operators, "/status").await;
        (status.revision == Some(next)).then_some(())
    })
    .await;
    for name in ["n3", "n4"] {
        fleet.nodes[name].process.signal("CONT");
    }
    fleet.wait_until_in_force(next).await;
    fleet.check().await;
}

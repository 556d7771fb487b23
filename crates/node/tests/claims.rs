//! Claims on several nodes over real sockets, with faults of the key-value service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dalestand_config::NodeSettings;
use dalestand_edge::HttpKeyValue;
use dalestand_gateway::{
    ClaimEnd, ClaimKey, ClaimOutcome, ClaimRequest, KeptAnswer, RequestFingerprint, SharedState,
};
use dalestand_node::{ControlPlane, ControlPlaneParts, NodeAddresses, start_control_plane};
use dalestand_standin::key_value::{KeyValueFaults, serve_key_value};
use dalestand_standin::machine_list::serve_machine_list;
use dalestand_telemetry::Metrics;
use dalestand_types::{FinishReason, NodeId, RequestId, RunState, Usage, ZoneName};
use futures_util::future::join_all;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

struct TestSite {
    key_value: SocketAddr,
    machine_list: SocketAddr,
    seeds: Vec<SocketAddr>,
}

struct TestNode {
    shared: Arc<SharedState>,
    control: ControlPlane,
}

impl TestSite {
    async fn start() -> Self {
        let key_value = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let machine_list = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let site = Self {
            key_value: key_value.local_addr().expect("an address"),
            machine_list: machine_list.local_addr().expect("an address"),
            seeds: Vec::new(),
        };
        actix_rt::spawn(serve_key_value(key_value));
        actix_rt::spawn(serve_machine_list(machine_list));
        site
    }

    async fn start_node(&mut self, name: &str) -> TestNode {
        let operators = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (peer_calls, peers) = peer_sockets().await;
        let address = peer_calls.local_addr().expect("an address");
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let settings = NodeSettings::parse(&format!(
            "node = \"{name}\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:0\"\n\
             operator_listen = \"127.0.0.1:0\"\npeer_listen = \"{address}\"\n\
             key_value = \"{}\"\nmachine_list = \"{}\"\nseeds = [{}]\n",
            self.key_value,
            self.machine_list,
            seeds.join(", ")
        ))
        .expect("the settings are right");
        self.seeds.push(address);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let metrics = Metrics::new().expect("metrics");
        let shared = SharedState::new(NodeId::from(name), ZoneName::from("z"), logger, metrics);
        let shared = Arc::new(shared);
        let addresses = NodeAddresses {
            callers: address,
            operators: operators.local_addr().expect("an address"),
            peers: address,
        };
        let control = start_control_plane(ControlPlaneParts {
            settings,
            shared: Arc::clone(&shared),
            addresses,
            operators,
            peers,
            peer_calls,
            key_value: Rc::new(HttpKeyValue::new(self.key_value)),
            filter: None,
            stop_requested: Rc::new(Notify::new()),
        });
        TestNode { shared, control }
    }

    async fn start_nodes(&mut self, names: &[&str]) -> Vec<TestNode> {
        let mut nodes = Vec::new();
        for name in names {
            nodes.push(self.start_node(name).await);
        }
        for node in &nodes {
            let others = nodes.len() as i64 - 1;
            eventually("the nodes know each other", || async {
                (node.shared.metrics.members.get() == others).then_some(())
            })
            .await;
        }
        nodes
    }

    async fn set_faults(&self, faults: &KeyValueFaults) {
        let url = format!("http://{}/faults", self.key_value);
        let sent = awc::Client::default().post(url).send_json(faults).await;
        assert!(sent.expect("an answer").status().is_success());
    }
}

/// TCP and UDP sockets with the same port number; a port may be free for one protocol only.
async fn peer_sockets() -> (TcpListener, UdpSocket) {
    loop {
        let calls = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = calls.local_addr().expect("an address");
        if let Ok(datagrams) = UdpSocket::bind(address).await {
            return (calls, datagrams);
        }
    }
}

impl TestNode {
    async fn claim(&self, claim: &ClaimRequest) -> ClaimOutcome {
        let gate = self.shared.claim_gate().expect("a gate");
        gate.claim(claim).await
    }

    fn finish(&self, claim: &ClaimRequest, run_state: RunState, text: Option<&str>) {
        let answer = text.map(|text| KeptAnswer {
            text: text.to_owned(),
            reason: FinishReason::Stop,
            usage: Usage::default(),
        });
        let gate = self.shared.claim_gate().expect("a gate");
        gate.finish(claim, ClaimEnd { run_state, answer });
    }
}

async fn eventually<T, F, W>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> W,
    W: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

fn claim(key: &str, request: u128) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey {
            tenant: None,
            key: Arc::from(key),
        },
        request: RequestId(request),
        fingerprint: RequestFingerprint([1; 32]),
    }
}

#[actix_rt::test]
async fn one_of_several_concurrent_claims_is_granted() {
    let mut site = TestSite::start().await;
    let nodes = site.start_nodes(&["a", "b", "c"]).await;
    for key in 0..12 {
        let claims = nodes.iter().enumerate().map(|(index, node)| {
            let request = (key * nodes.len() + index) as u128;
            let claim = claim(&format!("key {key}"), request);
            async move { node.claim(&claim).await }
        });
        let outcomes = join_all(claims).await;
        let granted = outcomes.iter().filter(|one| **one == ClaimOutcome::Granted);
        assert_eq!(granted.count(), 1, "{outcomes:?}");
        let waiting = outcomes
            .iter()
            .filter(|one| matches!(one, ClaimOutcome::InProgress { .. }));
        assert_eq!(waiting.count(), 2, "{outcomes:?}");
    }
}

#[actix_rt::test]
async fn claims_outlive_every_node() {
    let mut site = TestSite::start().await;
    let mut nodes = site.start_nodes(&["a", "b"]).await;
    let (running, complete) = (claim("running", 1), claim("complete", 2));
    assert_eq!(nodes[0].claim(&running).await, ClaimOutcome::Granted);
    assert_eq!(nodes[0].claim(&complete).await, ClaimOutcome::Granted);
    nodes[0].finish(&complete, RunState::Complete, None);
    eventually("the end is known", || async {
        let outcome = nodes[1].claim(&claim("complete", 3)).await;
        matches!(outcome, ClaimOutcome::Duplicate { .. }).then_some(())
    })
    .await;
    for node in nodes.drain(..) {
        node.control.kill();
    }
    let fresh = site.start_node("c").await;
    let outcome = fresh.claim(&claim("running", 4)).await;
    assert!(
        matches!(outcome, ClaimOutcome::InProgress { .. }),
        "{outcome:?}"
    );
    let outcome = fresh.claim(&claim("complete", 5)).await;
    let expected = ClaimOutcome::Duplicate {
        first: RequestId(2),
        run_state: RunState::Complete,
        answer: None,
    };
    assert_eq!(outcome, expected);
}

#[actix_rt::test]
async fn an_outage_refuses_claims_and_forgets_none() {
    let mut site = TestSite::start().await;
    let nodes = site.start_nodes(&["a", "b"]).await;
    let before = claim("before", 1);
    assert_eq!(nodes[0].claim(&before).await, ClaimOutcome::Granted);
    let outage = KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    };
    site.set_faults(&outage).await;
    let refused = nodes[1].claim(&claim("within", 2)).await;
    assert!(
        matches!(refused, ClaimOutcome::Refused { .. }),
        "{refused:?}"
    );
    site.set_faults(&KeyValueFaults::default()).await;
    eventually("the refused key is granted", || async {
        let outcome = nodes[1].claim(&claim("within", 3)).await;
        (outcome == ClaimOutcome::Granted).then_some(())
    })
    .await;
    let outcome = nodes[1].claim(&claim("before", 4)).await;
    assert!(
        matches!(outcome, ClaimOutcome::InProgress { .. }),
        "{outcome:?}"
    );
}

#[actix_rt::test]
async fn a_claim_whose_write_was_not_answered_is_granted_once() {
    let mut site = TestSite::start().await;
    let nodes = site.start_nodes(&["a", "b"]).await;
    let lost = KeyValueFaults {
        lose_write_answers: 1,
        ..KeyValueFaults::default()
    };
    site.set_faults(&lost).await;
    let first = nodes[0].claim(&claim("key", 1)).await;
    assert_eq!(
        first,
        ClaimOutcome::Granted,
        "reading the record shows that the write took effect"
    );
    let second = nodes[1].claim(&claim("key", 2)).await;
    assert!(
        matches!(second, ClaimOutcome::InProgress { .. }),
        "{second:?}"
    );
}

#[actix_rt::test]
async fn a_repeated_key_gets_the_first_answer_from_another_node() {
    let mut site = TestSite::start().await;
    let nodes = site.start_nodes(&["a", "b"]).await;
    let first = claim("key", 1);
    assert_eq!(nodes[0].claim(&first).await, ClaimOutcome::Granted);
    nodes[0].finish(&first, RunState::Complete, Some("the answer"));
    let answer = eventually("the key is complete", || async {
        match nodes[1].claim(&claim("key", 2)).await {
            ClaimOutcome::Duplicate { answer, .. } => Some(answer),
            _ => None,
        }
    })
    .await;
    assert_eq!(answer.expect("a kept answer").text, "the answer");

    let mut other_body = claim("key", 3);
    other_body.fingerprint = RequestFingerprint([2; 32]);
    assert_eq!(nodes[1].claim(&other_body).await, ClaimOutcome::KeyReused);
}

#[actix_rt::test]
async fn a_request_that_did_not_run_frees_its_key() {
    let mut site = TestSite::start().await;
    let nodes = site.start_nodes(&["a", "b"]).await;
    let first = claim("key", 1);
    assert_eq!(nodes[0].claim(&first).await, ClaimOutcome::Granted);
    nodes[0].finish(&first, RunState::NotRun, None);
    eventually("the key is granted again", || async {
        let outcome = nodes[1].claim(&claim("key", 2)).await;
        (outcome == ClaimOutcome::Granted).then_some(())
    })
    .await;
}

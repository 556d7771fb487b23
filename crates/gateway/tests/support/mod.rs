//! Simulated engines and a gateway in the process of the test.

#![allow(dead_code)]

mod reply;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dalestand_config::Deployment;
use dalestand_edge::{Engine as _, HttpEngine};
use dalestand_gateway::{ActiveConfiguration, CallerLimits, SharedState, serve_callers};
use dalestand_http_server::Connections;
use dalestand_routing::{EngineView, FleetView};
use dalestand_standin::engine::{
    BatchSettings, EngineFaults, EngineSettings, RunLogEntry, RunLogEvent, serve_engine,
};
use dalestand_telemetry::{Metrics, discard_logger};
use dalestand_types::{
    AdapterName, EngineId, Epoch, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime,
    NodeId, Order, OrderCommand, OrderId, PoolName, Revision, Role, Version, ZoneName,
};
use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

pub use reply::{Reply, post};

/// API key of tenant `desk`; its hash replaces `DESK_HASH` in [`DEPLOYMENT`].
pub const DESK_KEY: &str = "desk-key";
/// API key of tenant `small`, which has a burst of 20 tokens and a rate of one per second.
pub const SMALL_KEY: &str = "small-key";
/// API key of tenant `other`.
pub const OTHER_KEY: &str = "other-key";

/// Requests to model `m` may be repeated; those to model `once` run at most once.
const DEPLOYMENT: &str = r#"
format = 1
name = "gateway"
[callers]
require_key = REQUIRE_KEY
[limits]
max_body_bytes = 20000
max_output_tokens = 20000
default_output_tokens = 4
[[model]]
name = "m"
version = "1"
weights_gib = 1.0
[[model.adapter]]
name = "a"
version = "1"
[[model]]
name = "once"
version = "1"
weights_gib = 1.0
[[pool]]
name = "p"
models = ["m"]
[[pool]]
name = "q"
models = ["once"]
repeatable = false
[[group]]
pool = "p"
zone = "z"
engines = ["e0", "e1"]
[[group]]
pool = "q"
zone = "z"
engines = ["f0", "f1"]
[[class]]
name = "plain"
priority = 3
first_token_ms = 60000
deadline_ms = 600000
[[class]]
name = "urgent"
priority = 9
first_token_ms = 60000
deadline_ms = 600000
[[tenant]]
name = "desk"
key_blake3 = "DESK_HASH"
class = "plain"
tokens_per_second = 1000000
burst_tokens = 1000000
[[tenant]]
name = "other"
key_blake3 = "OTHER_HASH"
class = "plain"
tokens_per_second = 1000000
burst_tokens = 1000000
[[tenant]]
name = "small"
key_blake3 = "SMALL_HASH"
class = "plain"
tokens_per_second = 1
burst_tokens = 20
"#;

/// Later than the end of any test, so that engine reports never become stale.
const REPORTED_AT: MonotonicTime = MonotonicTime::from_millis(1_000_000_000);

/// Time limit for conditions.
const CONDITION_LIMIT: Duration = Duration::from_secs(30);

/// Simulated engines and the gateway of one node.
pub struct Fixture {
    pub engines: Vec<SocketAddr>,
    pub callers: SocketAddr,
    pub shared: Arc<SharedState>,
    pub connections: Connections,
}

/// Options of a [`Fixture`].
#[derive(Clone)]
pub struct FixtureOptions {
    pub require_key: bool,
    pub engines: usize,
    pub limits: CallerLimits,
    /// Duration of one batch step of an engine.
    pub step: Duration,
    /// Maximum number of requests that an engine holds.
    pub capacity: u32,
    /// Whether the first engine is behind a proxy that closes the connection in place of answering.
    pub first_engine_disconnects: bool,
}

impl Default for FixtureOptions {
    fn default() -> Self {
        Self {
            require_key: false,
            engines: 1,
            limits: CallerLimits::default(),
            step: Duration::from_millis(1),
            capacity: 256,
            first_engine_disconnects: false,
        }
    }
}

impl Fixture {
    /// Starts engines that serve both models, and the gateway.
    pub async fn start(options: FixtureOptions) -> Self {
        let mut engines = Vec::new();
        for number in 0..options.engines {
            engines.push(start_engine(number, &options).await);
        }
        let metrics = Metrics::new().expect("metrics");
        let node = NodeId::from("n");
        let shared = SharedState::new(node, ZoneName::from("z"), discard_logger(), metrics);
        let shared = Arc::new(shared);
        let text = DEPLOYMENT
            .replace("REQUIRE_KEY", &options.require_key.to_string())
            .replace(
                "DESK_HASH",
                blake3::hash(DESK_KEY.as_bytes()).to_hex().as_str(),
            )
            .replace(
                "OTHER_HASH",
                blake3::hash(OTHER_KEY.as_bytes()).to_hex().as_str(),
            )
            .replace(
                "SMALL_HASH",
                blake3::hash(SMALL_KEY.as_bytes()).to_hex().as_str(),
            );
        let deployment = Deployment::parse(&text).expect("the deployment is valid");
        shared
            .configuration
            .store(Some(Arc::new(ActiveConfiguration {
                revision: Revision(7),
                deployment: Arc::new(deployment),
            })));
        let mut reached = engines.clone();
        if options.first_engine_disconnects {
            reached[0] = start_closing_proxy(engines[0]).await;
        }
        let views = reached.iter().enumerate();
        let views = views.flat_map(|(number, address)| {
            [
                view("e", number, *address, "m"),
                view("f", number, *address, "once"),
            ]
        });
        shared.fleet.store(Arc::new(FleetView {
            revision: Revision(7),
            engines: views.collect(),
        }));
        let (callers, connections) = start_node(&shared, options.limits).await;
        Self {
            engines,
            callers,
            shared,
            connections,
        }
    }

    /// Sets an engine's faults.
    pub async fn set_faults(&self, engine: usize, faults: &EngineFaults) {
        let url = format!("http://{}/faults", self.engines[engine]);
        let sent = awc::Client::default().post(url).send_json(faults);
        assert!(sent.await.expect("an answer").status().is_success());
    }

    /// The run log of an engine.
    pub async fn runs(&self, engine: usize) -> Vec<RunLogEntry> {
        let url = format!("http://{}/log/runs", self.engines[engine]);
        let sent = awc::Client::default().get(url).send();
        let mut response = sent.await.expect("an answer");
        response.json().limit(64 << 20).await.expect("a run log")
    }

    /// Number of requests that the engines accepted, in total.
    pub async fn accepted(&self) -> usize {
        let mut count = 0;
        for engine in 0..self.engines.len() {
            let runs = self.runs(engine).await;
            let accepted = runs.iter().filter(|run| run.event == RunLogEvent::Accepted);
            count += accepted.count();
        }
        count
    }

    /// Posts JSON to the gateway.
    pub async fn post(&self, path: &str, body: &Value, headers: &[(&str, &str)]) -> Reply {
        post(self.callers, path, body.to_string().into_bytes(), headers).await
    }
}

/// Starts a gateway for `shared` at a new address.
pub async fn start_node(
    shared: &Arc<SharedState>,
    limits: CallerLimits,
) -> (SocketAddr, Connections) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let served = serve_callers(listener, Arc::clone(shared), limits, connections.clone());
    actix_rt::spawn(served);
    (address, connections)
}

async fn start_engine(number: usize, options: &FixtureOptions) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let settings = EngineSettings {
        engine: EngineId::from(format!("e{number}")),
        incarnation: Incarnation(1),
        role: Role::Mixed,
        batch: BatchSettings {
            step: options.step,
            capacity: options.capacity,
            ..BatchSettings::default()
        },
        role_change_time: Duration::from_millis(1),
        load_time: Duration::ZERO,
        log_to_stdout: false,
    };
    actix_rt::spawn(serve_engine(listener, settings));
    load_models(address).await;
    address
}

/// Starts a proxy that forwards requests to an engine and, once the engine answers, closes the
/// connection without forwarding any byte of the answer.
async fn start_closing_proxy(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut upstream = TcpStream::connect(engine).await.expect("connected");
                let mut request = vec![0; 64 << 10];
                let read = caller.read(&mut request).await.unwrap_or(0);
                upstream
                    .write_all(&request[..read])
                    .await
                    .expect("forwarded");
                let _ = upstream.read(&mut request).await;
            });
        }
    });
    address
}

async fn load_models(address: SocketAddr) {
    let engine = HttpEngine::new(address);
    let version = Version::from("1");
    let model = |name: &str| OrderCommand::LoadModel {
        model: ModelName::from(name),
        version: version.clone(),
    };
    let adapter = OrderCommand::LoadAdapter {
        model: ModelName::from("m"),
        adapter: AdapterName::from("a"),
        version: version.clone(),
    };
    let mut follows = None;
    for (number, command) in [model("m"), adapter, model("once")].into_iter().enumerate() {
        let id = OrderId {
            epoch: Epoch(1),
            number: number as u64,
        };
        let order = Order {
            id,
            follows,
            incarnation: Incarnation(1),
            revision: Revision(7),
            command,
        };
        eventually("the order is accepted", || async {
            let outcome = engine.order(&order).await.ok()?;
            matches!(outcome, dalestand_types::OrderOutcome::Accepted { .. }).then_some(())
        })
        .await;
        follows = Some(id);
    }
    eventually("the models are loaded", || async {
        (engine.orders().await.ok()?.models.len() == 2).then_some(())
    })
    .await;
}

fn view(prefix: &str, number: usize, address: SocketAddr, model: &str) -> EngineView {
    let pool = PoolName::from(if model == "m" { "p" } else { "q" });
    let zone = ZoneName::from("z");
    EngineView {
        engine: EngineId::from(format!("{prefix}{number}")),
        group: GroupId::of(&pool, &zone),
        pool,
        zone,
        address,
        incarnation: Incarnation(1),
        role: Some(Role::Mixed),
        models: vec![LoadedModel {
            model: ModelName::from(model),
            version: Version::from("1"),
            adapters: vec![AdapterName::from("a")],
        }],
        running: 0,
        waiting: 0,
        queued_prefill_tokens: 0,
        capacity: 256,
        decode_tokens_per_s: 1_000.0,
        prefill_tokens_per_s: 10_000.0,
        reported_at: REPORTED_AT,
        accepting: true,
    }
}

/// Polls `condition` until it returns a value.
pub async fn eventually<T, F, W>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> W,
    W: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + CONDITION_LIMIT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

//! Engine stand-ins and a caller-facing server in the test's own process.

#![allow(dead_code)]

mod reply;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dalestand_config::Deployment;
use dalestand_edge::{Engine as _, HttpEngine};
use dalestand_gateway::{ActiveConfiguration, CallerLimits, Shared, serve_callers};
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

/// Key of tenant `desk`, whose hash stands in [`DEPLOYMENT`] as `DESK_HASH`.
pub const DESK_KEY: &str = "desk-key";
/// Key of tenant `small`, which may use 20 tokens at once and one a second.
pub const SMALL_KEY: &str = "small-key";
/// Key of tenant `other`.
pub const OTHER_KEY: &str = "other-key";

/// Model `m` may be repeated, model `once` may not.
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

/// Far ahead of any test, so that what is known of engines never counts as old.
const REPORTED_AT: MonotonicTime = MonotonicTime::from_millis(1_000_000_000);

/// Longest wait for a condition; reached only when the condition never comes true.
const CONDITION_LIMIT: Duration = Duration::from_secs(30);

/// Engines and a node's caller-facing half.
pub struct Stage {
    pub engines: Vec<SocketAddr>,
    pub callers: SocketAddr,
    pub shared: Arc<Shared>,
    pub connections: Connections,
}

/// How a stage differs from the usual.
#[derive(Clone)]
pub struct StageOptions {
    pub require_key: bool,
    pub engines: usize,
    pub limits: CallerLimits,
    pub step: Duration,
    /// Most requests an engine holds.
    pub capacity: u32,
    /// Whether the first engine stands behind a connection that is cut once it has answered.
    pub cut_first: bool,
}

impl Default for StageOptions {
    fn default() -> Self {
        Self {
            require_key: false,
            engines: 1,
            limits: CallerLimits::default(),
            step: Duration::from_millis(1),
            capacity: 256,
            cut_first: false,
        }
    }
}

impl Stage {
    /// Starts engines that serve both models, and the server.
    pub async fn start(options: StageOptions) -> Self {
        let mut engines = Vec::new();
        for number in 0..options.engines {
            engines.push(start_engine(number, &options).await);
        }
        let metrics = Metrics::new().expect("metrics");
        let node = NodeId::from("n");
        let shared = Shared::new(node, ZoneName::from("z"), discard_logger(), metrics);
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
        let deployment = Deployment::parse(&text).expect("the deployment is sound");
        shared
            .configuration
            .store(Some(Arc::new(ActiveConfiguration {
                revision: Revision(7),
                deployment: Arc::new(deployment),
            })));
        let mut reached = engines.clone();
        if options.cut_first {
            reached[0] = start_cutting_proxy(engines[0]).await;
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
    pub async fn faults(&self, engine: usize, faults: &EngineFaults) {
        let url = format!("http://{}/faults", self.engines[engine]);
        let sent = awc::Client::default().post(url).send_json(faults);
        assert!(sent.await.expect("an answer").status().is_success());
    }

    /// What an engine ran.
    pub async fn runs(&self, engine: usize) -> Vec<RunLogEntry> {
        let url = format!("http://{}/log/runs", self.engines[engine]);
        let sent = awc::Client::default().get(url).send();
        let mut response = sent.await.expect("an answer");
        response.json().limit(64 << 20).await.expect("a run log")
    }

    /// Requests that all engines accepted.
    pub async fn accepted(&self) -> usize {
        let mut count = 0;
        for engine in 0..self.engines.len() {
            let runs = self.runs(engine).await;
            let accepted = runs.iter().filter(|run| run.event == RunLogEvent::Accepted);
            count += accepted.count();
        }
        count
    }

    /// Posts JSON to the node.
    pub async fn post(&self, path: &str, body: &Value, headers: &[(&str, &str)]) -> Reply {
        post(self.callers, path, body.to_string().into_bytes(), headers).await
    }
}

/// Serves `shared` at another address.
pub async fn start_node(shared: &Arc<Shared>, limits: CallerLimits) -> (SocketAddr, Connections) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let served = serve_callers(listener, Arc::clone(shared), limits, connections.clone());
    actix_rt::spawn(served);
    (address, connections)
}

async fn start_engine(number: usize, options: &StageOptions) -> SocketAddr {
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

/// Passes requests on to an engine and closes the connection once the engine has answered, before
/// a byte of the answer is passed back.
async fn start_cutting_proxy(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut behind = TcpStream::connect(engine).await.expect("connected");
                let mut request = vec![0; 64 << 10];
                let read = caller.read(&mut request).await.unwrap_or(0);
                behind.write_all(&request[..read]).await.expect("passed on");
                let _ = behind.read(&mut request).await;
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
        eventually("the order is taken", || async {
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

/// Waits until `condition` yields a value.
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
        assert!(Instant::now() < deadline, "never came true: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

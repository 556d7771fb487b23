//! A node in the test process.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use dalestand_edge::KeyValue;
use dalestand_edge::unknown_headers::UnknownHeaders;
use dalestand_forwarding::{CapacityReport, ForwardingNode, ForwardingSettings};
use dalestand_telemetry::discard_logger;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::{JoinHandle, LocalSet};

use super::dialect::{PlainDialect, PlainFormat};
use super::engine::TestEngine;
use super::store::{MemoryStore, RefusableStore};

/// Latency objective of the routes of most tests.
const OBJECTIVE_MS: u64 = 100;

/// Timeout for a node to learn of entries, even on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a paused node checks whether it may go on.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Datagrams of a flood: several times what a socket buffers. They are the shortest possible, so that no room is
/// left for a message.
const FLOOD_DATAGRAMS: usize = 4_000;

/// Attempts to start a node, each with new ports.
const START_ATTEMPTS: u32 = 5;

/// A node with its key-value service.
pub struct TestNode {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address for messages of other nodes.
    pub peers: SocketAddr,
    /// The key-value service.
    pub store: Rc<MemoryStore>,
    /// The node's own view of it.
    pub own_store: Rc<RefusableStore>,
    is_paused: Rc<Cell<bool>>,
    running: JoinHandle<()>,
}

/// Ports for nodes, below the kernel's ephemeral range, whose ports other sockets could take before the
/// node starts.
const NODE_PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Number of ports taken by this process.
static PORTS_USED: AtomicU32 = AtomicU32::new(0);

/// A loopback address that is unique to this process, so that nodes of concurrent test processes are not
/// mistaken for this one's.
pub(super) fn own_host() -> Ipv4Addr {
    let [_, second, third, fourth] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, second, third, fourth)
}

/// A free address of this process.
fn free_address() -> SocketAddr {
    let ports = u32::from(NODE_PORTS.end - NODE_PORTS.start);
    loop {
        let offset = PORTS_USED.fetch_add(1, Ordering::Relaxed) % ports;
        let port = NODE_PORTS.start + u16::try_from(offset).expect("within the range");
        let address = SocketAddr::from((own_host(), port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Slack from which a budget also has a ratio.
const SLACK_OF_ORDINARY_BUDGETS: u32 = 50;

/// A node's part of the retry budget.
#[derive(Clone, Copy)]
struct TestBudget {
    /// Retries, regardless of the number of requests.
    slack: u32,
    /// Whether the slack is used from the start on; by default it is not.
    from_start: bool,
}

impl TestBudget {
    fn new(slack: u32) -> Self {
        Self {
            slack,
            from_start: true,
        }
    }

    fn from_default_start(slack: u32) -> Self {
        Self {
            slack,
            from_start: false,
        }
    }

    fn settings(self) -> String {
        let Self { slack, from_start } = self;
        let ratio = if slack < SLACK_OF_ORDINARY_BUDGETS {
            0.0
        } else {
            0.2
        };
        let delay = if from_start {
            "slack_delay_s = 0\n"
        } else {
            ""
        };
        format!("ratio = {ratio}\nslack = {slack}\n{delay}")
    }
}

impl TestNode {
    /// Starts a node on an empty key-value service.
    pub async fn start() -> Self {
        Self::start_with_slack(50).await
    }

    /// Starts a node with a retry budget of `slack` retries, regardless of the number of requests.
    pub async fn start_with_slack(slack: u32) -> Self {
        Self::start_with(slack, "").await
    }

    /// Starts a node on a key-value service.
    pub async fn start_on(store: &Rc<MemoryStore>) -> Self {
        Self::start_on_with(store, "").await
    }

    /// Starts a node on a key-value service, with a budget of `slack` retries and the default rules for its use after a
    /// start.
    pub async fn start_with_default_budget(store: &Rc<MemoryStore>, slack: u32) -> Self {
        for _ in 0..START_ATTEMPTS {
            let store = Rc::clone(store);
            let budget = TestBudget::from_default_start(slack);
            if let Some(node) = Self::try_start_on(store, "node-1", budget, "", "").await {
                return node;
            }
        }
        panic!("no node could be started");
    }

    /// Starts a node with further settings on a key-value service.
    pub async fn start_on_with(store: &Rc<MemoryStore>, extra: &str) -> Self {
        for _ in 0..START_ATTEMPTS {
            let store = Rc::clone(store);
            if let Some(node) =
                Self::try_start_on(store, "node-1", TestBudget::new(50), extra, "").await
            {
                return node;
            }
        }
        panic!("no node could be started");
    }

    /// Starts a node on an empty key-value service in the given era.
    pub async fn start_in_era(era: u64) -> Self {
        let store: Rc<MemoryStore> = Rc::default();
        store.set_era(era);
        Self::start_on(&store).await
    }

    /// Starts a node with a link of `link_mbps`.
    pub async fn start_with_link(link_mbps: f64) -> Self {
        Self::start_with(50, &format!("link_mbps = {link_mbps}\n")).await
    }

    /// Starts a node whose settings include another TOML table.
    pub async fn start_with_table(table: &str) -> Self {
        Self::start_with_settings(50, "", table).await
    }

    async fn start_with(slack: u32, extra: &str) -> Self {
        Self::start_with_settings(slack, extra, "").await
    }

    /// Starts a node; retries with other ports if its ports were taken in the meantime.
    async fn start_with_settings(slack: u32, extra: &str, table: &str) -> Self {
        for _ in 0..START_ATTEMPTS {
            if let Some(node) = Self::try_start(slack, extra, table).await {
                return node;
            }
        }
        panic!("no node could be started");
    }

    /// Starts another node on the same key-value service.
    pub async fn start_beside(&self, name: &str) -> Self {
        self.start_beside_with_slack(name, 50).await
    }

    /// Starts another node on the same key-value service, with a retry budget of `slack` retries for
    /// all nodes together.
    pub async fn start_beside_with_slack(&self, name: &str, slack: u32) -> Self {
        for _ in 0..START_ATTEMPTS {
            let store = Rc::clone(&self.store);
            if let Some(node) =
                Self::try_start_on(store, name, TestBudget::new(slack), "", "").await
            {
                return node;
            }
        }
        panic!("no node could be started");
    }

    async fn try_start(slack: u32, extra: &str, table: &str) -> Option<Self> {
        let budget = TestBudget::new(slack);
        Self::try_start_on(Rc::default(), "node-1", budget, extra, table).await
    }

    async fn try_start_on(
        store: Rc<MemoryStore>,
        name: &str,
        budget: TestBudget,
        extra: &str,
        table: &str,
    ) -> Option<Self> {
        let budget = budget.settings();
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let settings = format!(
            "node = \"{name}\"\nzone = \"here\"\ncaller_listen = \"{callers}\"\n\
             ready_listen = \"{ready}\"\npeer_listen = \"{peers}\"\nkey_value = \"{peers}\"\n\
             metrics_listen = \"{metrics}\"\n{extra}\
             [retries]\n{budget}window_s = 10\n[stop]\ngrace_s = 8\n\
             [roles]\nlease_ms = 3000\n{table}"
        );
        let settings = ForwardingSettings::parse(&settings).expect("valid settings");
        let known = settings.clone();
        let own_store = Rc::new(RefusableStore::new(Rc::clone(&store)));
        let node = ForwardingNode {
            unknown_headers: UnknownHeaders::default(),
            settings,
            read_settings: Box::new(move || Ok(known.clone())),
            dialect: Rc::new(PlainDialect),
            store_format: Rc::new(PlainFormat),
            store: Rc::clone(&own_store) as Rc<dyn KeyValue>,
            duty_calls: None,
            logger: discard_logger(),
        };
        // A separate task set ends with the node.
        let tasks = LocalSet::new();
        let is_paused = Rc::new(Cell::new(false));
        let paused = Rc::clone(&is_paused);
        let running = actix_rt::spawn(async move {
            let run = dalestand_forwarding::run(node);
            let mut run = pin!(tasks.run_until(run));
            let ended = poll_fn(|context| {
                if paused.get() {
                    let waker = context.waker().clone();
                    actix_rt::spawn(async move {
                        actix_rt::time::sleep(PAUSE_CHECK_INTERVAL).await;
                        waker.wake();
                    });
                    return Poll::Pending;
                }
                run.as_mut().poll(context)
            });
            ended.await.expect("a node");
        });
        let node = Self {
            callers,
            ready,
            metrics,
            peers,
            store,
            own_store,
            is_paused,
            running,
        };
        while tokio::net::TcpStream::connect(callers).await.is_err() {
            if node.running.is_finished() {
                return None;
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        Some(node)
    }

    /// Simulates a crash of the node.
    pub fn crash(&self) {
        self.running.abort();
    }

    /// Stops the node's process, or lets it go on.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.set(is_paused);
    }

    /// Fills the buffer of the node's socket for messages of other nodes, so that those that follow are lost.
    pub fn flood_peer_socket(&self) {
        let socket = UdpSocket::bind((own_host(), 0)).expect("a free port");
        for _ in 0..FLOOD_DATAGRAMS {
            // Losses are the purpose.
            let _ = socket.send_to(&[0], self.peers);
        }
    }

    /// The capacity report of the node.
    pub async fn capacity_report(&self) -> CapacityReport {
        let answer = get(self.metrics, "host: a.example\r\n", "/room").await;
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        serde_json::from_str(body).expect("a report")
    }

    /// Declares one route of `kind` to one pool, with `attempts` engines and a time limit of `limit_ms`.
    pub fn declare(&self, revision: u64, kind: &str, attempts: u32, limit_ms: u64) {
        self.declare_pool(revision, "", kind, attempts, limit_ms);
    }

    /// Declares one route whose latency objective is its time limit, so that slow engines cause no
    /// retries.
    pub fn declare_with_long_objective(
        &self,
        revision: u64,
        kind: &str,
        attempts: u32,
        limit_ms: u64,
    ) {
        let text = declaration(revision, "", kind, attempts, limit_ms, limit_ms);
        self.store.write("declaration", Some(&text));
    }

    /// Declares one route and one tenant that has these keys.
    pub fn declare_tenant(&self, revision: u64, keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let tenant = format!(
            "[[tenant]]\nname = \"curators\"\nkeys = [{}]\n",
            keys.join(", ")
        );
        self.declare_pool(revision, &tenant, "once", 1, 1_000);
    }

    /// Declares one route and several tenants, each with its name as its key.
    pub fn declare_tenants(&self, revision: u64, tenants: &[&str], kind: &str, attempts: u32) {
        let tenants = tenants.iter();
        let tenants: String = tenants
            .map(|name| format!("[[tenant]]\nname = \"{name}\"\nkeys = [\"{name}\"]\n"))
            .collect();
        self.declare_pool(revision, &tenants, kind, attempts, 1_000);
    }

    /// Sends a request with a key; returns the whole answer.
    pub async fn request_with_key(&self, id: &str, key: &str) -> String {
        let headers = format!("x-id: {id}\r\nhost: a.example\r\nx-key: {key}\r\n");
        get(self.callers, &headers, "/r/x").await
    }

    /// Declares one route to a pool of language-model engines.
    pub fn declare_prompts(&self, revision: u64, kind: &str, attempts: u32, limit_ms: u64) {
        let engine = "[pool.prompt_engine]\nslots = 4\nmemory_tokens = 100000\n\
                      token_bytes = 1000\nlink_mbps = 100000.0\n";
        self.declare_pool(revision, engine, kind, attempts, limit_ms);
    }

    fn declare_pool(&self, revision: u64, extra: &str, kind: &str, attempts: u32, limit_ms: u64) {
        let text = declaration(revision, extra, kind, attempts, limit_ms, OBJECTIVE_MS);
        self.store.write("declaration", Some(&text));
    }

    /// Writes the entry of an engine with a state.
    pub fn write_entry(&self, name: &str, engine: &TestEngine, state: &str) {
        let value = format!("{} {state}", engine.address);
        self.store.write(&format!("engines/{name}"), Some(&value));
    }

    /// Waits until the node knows this number of engines that accept new work.
    pub async fn wait_for_engines(&self, engines: usize) {
        self.wait_for_metric("dalestand_engines_accepting", engines)
            .await;
    }

    /// Waits until the declaration of this revision is active.
    pub async fn wait_for_declaration(&self, revision: usize) {
        self.wait_for_metric("dalestand_declaration_revision", revision)
            .await;
    }

    /// Waits until a metric has a value.
    pub async fn wait_for_metric(&self, name: &str, value: usize) {
        let expected = format!("{name} {value}");
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let metrics = get(self.metrics, "host: a.example\r\n", "/metrics").await;
            if metrics.lines().any(|line| line == expected) {
                return;
            }
            assert!(Instant::now() < until, "{expected} in {metrics}");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits long enough for the node to learn of recent writes.
    pub async fn settle(&self) {
        actix_rt::time::sleep(Duration::from_millis(80)).await;
    }

    /// Sends a request; returns the whole answer.
    pub async fn request(&self, id: &str, path: &str) -> String {
        get(
            self.callers,
            &format!("x-id: {id}\r\nhost: a.example\r\n"),
            path,
        )
        .await
    }
}

/// A declaration of one route to one pool.
pub fn declaration(
    revision: u64,
    extra: &str,
    kind: &str,
    attempts: u32,
    limit_ms: u64,
    objective_ms: u64,
) -> String {
    format!(
        "revision = {revision}\n[[pool]]\nname = \"pool\"\nmax_connections = 100\n{extra}\
         [[route]]\nname = \"route\"\nhost = \"a.example\"\npath_prefix = \"/r/\"\n\
         kind = \"{kind}\"\npools = [{{ pool = \"pool\", weight = 1 }}]\n\
         time_limit_ms = {limit_ms}\nobjective_ms = {objective_ms}\npause_objective_ms = 100\n\
         max_attempts = {attempts}\n"
    )
}

/// Sends a request; returns all bytes until the connection ends.
pub async fn get(address: SocketAddr, headers: &str, path: &str) -> String {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("a connection");
    let text = format!("GET {path} HTTP/1.1\r\n{headers}connection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    // An aborted answer ends with an error or early; the bytes show it.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The status code of an answer.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

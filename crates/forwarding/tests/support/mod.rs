//! A node in this process, before a store in memory and engines that do as they are told.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use dalestand_edge::duty_calls::EngineTenure;
use dalestand_edge::routed::{
    AnswerFacts, Dialect, EngineEntry, EngineTerms, FleetForm, HeldMemory, RequestFacts,
    StageOrder, StageOrderOutcome,
};
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WatchEvent,
    WriteExpectation,
};
use dalestand_forwarding::{ForwardingNode, ForwardingSettings};
use dalestand_routes::{ApiKey, PresentedKey, RouteFile};
use dalestand_telemetry::discard_logger;
use dalestand_types::{PoolName, Revision, Role, ZoneName};
use error_stack::Report;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const ID: HeaderName = HeaderName::from_static("x-id");
const REFUSED: HeaderName = HeaderName::from_static("x-refused");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const PROMPT: HeaderName = HeaderName::from_static("x-prompt");
const PREFILL: HeaderName = HeaderName::from_static("x-prefill");
const KEY: HeaderName = HeaderName::from_static("x-key");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Words of a platform that exists only here.
struct PlainDialect;

impl Dialect for PlainDialect {
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let deadline: Option<u64> = text(&DEADLINE).and_then(|text| text.parse().ok());
        let prompt: Option<u32> = text(&PROMPT).and_then(|text| text.parse().ok());
        RequestFacts {
            id: text(&ID).map(Arc::from),
            deadline: deadline.map(Duration::from_millis),
            prompt_tokens: prompt.unwrap_or_default(),
            parts: prompt.map(|tokens| (1, tokens)).into_iter().collect(),
            key: match text(&KEY) {
                Some(key) => PresentedKey::Key(ApiKey::new(key)),
                None => PresentedKey::Absent,
            },
            ..RequestFacts::default()
        }
    }

    fn write_request(&self, headers: &mut HeaderMap, terms: &EngineTerms<'_>) {
        if let Some(tenant) = terms.caller.tenant() {
            headers.remove(KEY);
            let name = HeaderValue::from_str(tenant.name.as_str());
            headers.insert(TENANT, name.expect("a name"));
        }
        if terms.prefill_only {
            headers.insert(PREFILL, HeaderValue::from_static("1"));
        }
        if let Some(event) = terms.last_event {
            headers.insert(LAST_EVENT, HeaderValue::from(event));
        }
    }

    fn read_answer(&self, _status: StatusCode, headers: &HeaderMap) -> AnswerFacts {
        let id = headers.get(ID).and_then(|value| value.to_str().ok());
        AnswerFacts {
            id: id.map(Arc::from),
            refused: headers.contains_key(REFUSED),
            marked: true,
        }
    }

    fn read_held_memory(&self, _body: &[u8]) -> Option<HeldMemory> {
        let name = Arc::from("memory");
        Some(HeldMemory { name })
    }

    fn free_memory(&self, _memory: &HeldMemory) -> (Method, String) {
        (Method::DELETE, "/memory".to_owned())
    }

    fn stage_order(&self, _order: &StageOrder<'_>) -> (RequestHead, Bytes) {
        (RequestHead::default(), Bytes::new())
    }

    fn read_stage_order(&self, status: StatusCode) -> StageOrderOutcome {
        StageOrderOutcome::Refused(status.as_u16())
    }

    fn report_request(&self) -> RequestHead {
        RequestHead::default()
    }

    fn read_report_sequence(&self, _body: &[u8]) -> Option<u64> {
        None
    }

    fn kept_parts_request(&self) -> RequestHead {
        RequestHead::default()
    }

    fn read_kept_parts(&self, _body: &[u8]) -> Vec<(u64, u32)> {
        Vec::new()
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// Entries of engines are `ADDRESS STATE` or `ADDRESS STATE ROLE`, declarations are TOML.
struct PlainForm;

impl FleetForm for PlainForm {
    fn configuration_key(&self) -> &'static str {
        "declaration"
    }

    fn engine_prefix(&self) -> &'static str {
        "engines/"
    }

    fn read_configuration(&self, value: &str) -> Result<RouteFile, String> {
        toml::from_str(value).map_err(|error| error.to_string())
    }

    fn read_engine(&self, key: &str, value: &str) -> Result<EngineEntry, String> {
        let (address, state) = value.split_once(' ').ok_or("no state")?;
        let (state, role) = state.split_once(' ').unwrap_or((state, ""));
        Ok(EngineEntry {
            run: Arc::from(key),
            pool: PoolName::from("pool"),
            address: address.parse().map_err(|_| "no address")?,
            zone: ZoneName::from("here"),
            slots: 4,
            accepting: state == "ready",
            role: match role {
                "prefill" => Some(Role::Prefill),
                "decode" => Some(Role::Decode),
                _ => None,
            },
            tenure: EngineTenure::OnDemand,
        })
    }
}

/// A store in memory.
#[derive(Default)]
pub struct MemoryStore {
    revision: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    events: RefCell<Vec<WatchEvent>>,
    is_away: Cell<bool>,
    holds_watches: Cell<bool>,
    refused_prefix: RefCell<Option<&'static str>>,
}

impl MemoryStore {
    /// Has all reading calls fail, or lets them succeed again.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.set(is_away);
    }

    /// Has all writes under a prefix fail.
    pub fn refuse_writes(&self, prefix: &'static str) {
        self.refused_prefix.replace(Some(prefix));
    }

    /// Has watches wait without hearing of changes, or hear of all at once.
    pub fn hold_watches(&self, hold: bool) {
        self.holds_watches.set(hold);
    }

    /// The keys under a prefix, with their values.
    pub fn entries(&self, prefix: &str) -> Vec<(String, String)> {
        let entries = self.entries.borrow();
        let under = entries.values().filter(|one| one.key.starts_with(prefix));
        under
            .map(|one| (one.key.clone(), one.value.clone()))
            .collect()
    }

    fn reachable(&self) -> Result<(), Report<PlatformError>> {
        if self.is_away.get() {
            return Err(Report::new(PlatformError::InDoubt {
                system: "store",
                message: "away".to_owned(),
            }));
        }
        Ok(())
    }

    /// Writes a key, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        self.revision.set(self.revision.get() + 1);
        let revision = Revision(self.revision.get());
        let value = value.map(str::to_owned);
        let mut entries = self.entries.borrow_mut();
        match &value {
            Some(value) => {
                let entry = Entry {
                    key: key.to_owned(),
                    value: value.clone(),
                    revision,
                };
                entries.insert(key.to_owned(), entry);
            }
            None => {
                entries.remove(key);
            }
        }
        self.events.borrow_mut().push(WatchEvent {
            key: key.to_owned(),
            value,
            revision,
        });
    }
}

#[async_trait(?Send)]
impl KeyValue for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(self.entries.borrow().get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.reachable()?;
        let entries = self.entries.borrow();
        let under = entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix));
        Ok(Listing {
            revision: Revision(self.revision.get()),
            entries: under.cloned().collect(),
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let refused = *self.refused_prefix.borrow();
        if refused.is_some_and(|prefix| key.starts_with(prefix)) {
            return Err(Report::new(PlatformError::OutOfService { system: "store" }));
        }
        let current = self.entries.borrow().get(key).cloned();
        let holds = match (expectation, &current) {
            (WriteExpectation::Absent, None) => true,
            (WriteExpectation::At(revision), Some(entry)) => entry.revision == revision,
            _ => false,
        };
        if !holds {
            return Ok(CasOutcome::Conflict { current });
        }
        self.write(key, value);
        let revision = Revision(self.revision.get());
        Ok(CasOutcome::Written { revision })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            self.reachable()?;
            let events: Vec<WatchEvent> = self
                .events
                .borrow()
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .cloned()
                .collect();
            let events = if self.holds_watches.get() {
                Vec::new()
            } else {
                events
            };
            if !events.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(WatchBatch {
                    revision: Revision(self.revision.get()),
                    events,
                    compacted: false,
                });
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, Report<PlatformError>> {
        Ok(LeaseId(1))
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), Report<PlatformError>> {
        Ok(())
    }
}

/// What an engine does with one request: the head it read and the connection.
pub type Script = fn(&str, &mut TcpStream);

/// An engine that answers each request by `script`, on a thread of its own.
pub struct TestEngine {
    /// Where it listens.
    pub address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    connections: Connections,
}

/// The open connections of an engine; `None` once its process has ended.
type Connections = Arc<Mutex<Option<Vec<TcpStream>>>>;

impl TestEngine {
    /// Starts an engine.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&heads);
        let connections: Connections = Arc::new(Mutex::new(Some(Vec::new())));
        let open = Arc::clone(&connections);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let Some(connections) = &mut *open.lock().expect("no panic") else {
                    return;
                };
                connections.push(stream.try_clone().expect("a second handle"));
                let seen = Arc::clone(&seen);
                thread::spawn(move || serve(stream, script, &seen));
            }
        });
        Self {
            address,
            heads,
            connections,
        }
    }

    /// Ends the engine as a crash does: its connections end and nothing listens any more.
    pub fn crash(&self) {
        let connections = self.connections.lock().expect("no panic").take();
        // The thread that waits for connections finds out with the next one.
        while TcpStream::connect(self.address).is_ok() {}
        for connection in connections.into_iter().flatten() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Whether the engine has crashed.
    pub fn has_crashed(&self) -> bool {
        self.connections.lock().expect("no panic").is_none()
    }

    /// Heads of the requests it was sent.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().expect("no panic").clone()
    }
}

fn serve(mut stream: TcpStream, script: Script, seen: &Mutex<Vec<String>>) {
    while let Some(head) = read_head(&mut stream) {
        seen.lock().expect("no panic").push(head.clone());
        script(&head, &mut stream);
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    let mut byte = [0_u8; 1];
    while !read.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        read.push(byte[0]);
    }
    String::from_utf8(read).ok()
}

/// The id a request's head names.
pub fn id_of(head: &str) -> String {
    let line = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    line.unwrap_or_default().to_owned()
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    // The node may have gone away.
    let _ = stream.write_all(text.as_bytes());
}

/// Starts that are tried: each takes new ports.
const START_ATTEMPTS: u32 = 5;

/// A node with its store.
pub struct TestNode {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the node tells whether it is ready.
    pub ready: SocketAddr,
    /// Where it tells its figures.
    pub metrics: SocketAddr,
    /// Its store.
    pub store: Rc<MemoryStore>,
}

/// Ports that nodes are given: below those that the kernel gives to connections and to listeners that
/// ask for any, which would take a port between its choice and the node's start.
const NODE_PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Ports between those that two test programs begin with, should they run at once.
const PORTS_PER_PROGRAM: u32 = 500;

/// Ports taken by this program.
static PORTS_TAKEN: AtomicU32 = AtomicU32::new(0);

/// An address of this program that nothing listens at.
fn free_address() -> SocketAddr {
    let ports = u32::from(NODE_PORTS.end - NODE_PORTS.start);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROGRAM);
    loop {
        let taken = PORTS_TAKEN.fetch_add(1, Ordering::Relaxed);
        let offset = first.wrapping_add(taken) % ports;
        let port = NODE_PORTS.start + u16::try_from(offset).expect("within the range");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl TestNode {
    /// Starts a node on an empty store.
    pub async fn start() -> Self {
        Self::start_with_slack(50).await
    }

    /// Starts a node on an empty store that may repeat `slack` sends, whatever it is asked.
    pub async fn start_with_slack(slack: u32) -> Self {
        Self::start_with(slack, "").await
    }

    /// Starts a node on an empty store behind a link of `link_mbps`.
    pub async fn start_with_link(link_mbps: f64) -> Self {
        Self::start_with(50, &format!("link_mbps = {link_mbps}\n")).await
    }

    /// Starts a node on an empty store under settings with a further table.
    pub async fn start_with_table(table: &str) -> Self {
        Self::start_under(50, "", table).await
    }

    async fn start_with(slack: u32, further: &str) -> Self {
        Self::start_under(slack, further, "").await
    }

    /// Starts a node; one whose ports were taken meanwhile, by another test or a connection, ends at
    /// once, and another is started at other ports.
    async fn start_under(slack: u32, further: &str, table: &str) -> Self {
        for _ in 0..START_ATTEMPTS {
            if let Some(node) = Self::try_start(slack, further, table).await {
                return node;
            }
        }
        panic!("no node could be started");
    }

    /// Starts another node on the store of this one.
    pub async fn start_beside(&self, name: &str) -> Self {
        for _ in 0..START_ATTEMPTS {
            let store = Rc::clone(&self.store);
            if let Some(node) = Self::try_start_on(store, name, 50, "", "").await {
                return node;
            }
        }
        panic!("no node could be started");
    }

    async fn try_start(slack: u32, further: &str, table: &str) -> Option<Self> {
        Self::try_start_on(Rc::default(), "node-1", slack, further, table).await
    }

    async fn try_start_on(
        store: Rc<MemoryStore>,
        name: &str,
        slack: u32,
        further: &str,
        table: &str,
    ) -> Option<Self> {
        let ratio = if slack < 50 { 0.0 } else { 0.2 };
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let settings = format!(
            "node = \"{name}\"\nzone = \"here\"\ncaller_listen = \"{callers}\"\n\
             ready_listen = \"{ready}\"\npeer_listen = \"{peers}\"\nkey_value = \"{peers}\"\n\
             metrics_listen = \"{metrics}\"\n{further}\
             [retries]\nratio = {ratio}\nslack = {slack}\nwindow_s = 10\n[stop]\ngrace_s = 8\n\
             [roles]\nlease_ms = 3000\n{table}"
        );
        let settings = ForwardingSettings::parse(&settings).expect("sound settings");
        let known = settings.clone();
        let node = ForwardingNode {
            settings,
            read_settings: Box::new(move || Ok(known.clone())),
            dialect: Rc::new(PlainDialect),
            form: Rc::new(PlainForm),
            store: Rc::clone(&store) as Rc<dyn KeyValue>,
            duty_calls: None,
            logger: discard_logger(),
        };
        let running = actix_rt::spawn(async move {
            dalestand_forwarding::run(node).await.expect("a node");
        });
        let node = Self {
            callers,
            ready,
            metrics,
            store,
        };
        while tokio::net::TcpStream::connect(callers).await.is_err() {
            if running.is_finished() {
                return None;
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        Some(node)
    }

    /// Declares one route of `kind` to one pool, for `attempts` engines and `limit_ms`.
    pub fn declare(&self, revision: u64, kind: &str, attempts: u32, limit_ms: u64) {
        self.declare_pool(revision, "", kind, attempts, limit_ms);
    }

    /// The same with one tenant, whose callers have these keys.
    pub fn declare_tenant(&self, revision: u64, keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let tenant = format!(
            "[[tenant]]\nname = \"curators\"\nkeys = [{}]\n",
            keys.join(", ")
        );
        self.declare_pool(revision, &tenant, "once", 1, 1_000);
    }

    /// Sends a request with a key; yields all bytes of the answer.
    pub async fn request_with_key(&self, id: &str, key: &str) -> String {
        let headers = format!("x-id: {id}\r\nhost: a.example\r\nx-key: {key}\r\n");
        get(self.callers, &headers, "/r/x").await
    }

    /// The same with a pool of language-model engines.
    pub fn declare_prompts(&self, revision: u64, kind: &str, attempts: u32, limit_ms: u64) {
        let engine = "[pool.prompt_engine]\nslots = 4\nmemory_tokens = 100000\n\
                      token_bytes = 1000\nlink_mbps = 100000.0\n";
        self.declare_pool(revision, engine, kind, attempts, limit_ms);
    }

    fn declare_pool(&self, revision: u64, engine: &str, kind: &str, attempts: u32, limit_ms: u64) {
        let text = format!(
            "revision = {revision}\n[[pool]]\nname = \"pool\"\nmax_connections = 100\n{engine}\
             [[route]]\nname = \"route\"\nhost = \"a.example\"\npath_prefix = \"/r/\"\n\
             kind = \"{kind}\"\npools = [{{ pool = \"pool\", weight = 1 }}]\n\
             time_limit_ms = {limit_ms}\nobjective_ms = 100\npause_objective_ms = 100\n\
             max_attempts = {attempts}\n"
        );
        self.store.write("declaration", Some(&text));
    }

    /// Lists an engine in a state.
    pub fn list(&self, name: &str, engine: &TestEngine, state: &str) {
        let value = format!("{} {state}", engine.address);
        self.store.write(&format!("engines/{name}"), Some(&value));
    }

    /// Waits until the node has heard what was written.
    pub async fn settle(&self) {
        actix_rt::time::sleep(Duration::from_millis(80)).await;
    }

    /// Sends a request; yields all bytes of the answer and whether the connection ended as it
    /// should after them.
    pub async fn request(&self, id: &str, path: &str) -> String {
        get(
            self.callers,
            &format!("x-id: {id}\r\nhost: a.example\r\n"),
            path,
        )
        .await
    }
}

/// Sends a request; yields all bytes until the connection ends.
pub async fn get(address: SocketAddr, headers: &str, path: &str) -> String {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("a connection");
    let text = format!("GET {path} HTTP/1.1\r\n{headers}connection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    // An answer that breaks off ends with an error or an early end; the bytes tell.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

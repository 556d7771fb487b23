//! Starts the programs as processes on loopback and kills them on drop.

#![allow(dead_code)]

pub mod callers;
pub mod fleet;
pub mod site;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use dalestand_history::Recorder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of waiting for a condition; only a failing test reaches it.
const CONDITION_LIMIT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const CONDITION_POLL: Duration = Duration::from_millis(25);

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    stdout: Option<BufReader<ChildStdout>>,
    /// The line that it printed when it was ready.
    pub ready: String,
}

impl Process {
    /// Starts `program` and waits for its ready line.
    pub fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut ready = String::new();
        stdout.read_line(&mut ready).expect("a ready line");
        assert!(
            ready.starts_with("ready"),
            "{program} {arguments:?} printed {ready:?}"
        );
        Self {
            child,
            ready: ready.trim().to_owned(),
            stdout: Some(stdout),
        }
    }

    /// Records the log lines that an engine prints, until it ends.
    pub fn record(&mut self, recorder: &Recorder) {
        let stdout = self
            .stdout
            .take()
            .expect("the output is not being read yet");
        let recorder = recorder.clone();
        std::thread::spawn(move || recorder.record_engine(stdout));
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Waits for the process to exit without blocking other tasks, and returns its exit code.
    pub async fn wait_while_serving(&mut self) -> Option<i32> {
        let deadline = Instant::now() + CONDITION_LIMIT;
        loop {
            let ended = self
                .child
                .try_wait()
                .expect("the process can be waited for");
            if let Some(status) = ended {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process never ended");
            actix_rt::time::sleep(CONDITION_POLL).await;
        }
    }

    /// Waits for the process to exit, blocking the thread, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the process can be waited for")
            .code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a stand-in and returns it with its address.
pub fn standin(arguments: &[&str]) -> (Process, SocketAddr) {
    let process = Process::start(env!("CARGO_BIN_EXE_dalestand-standin"), arguments);
    let address = process
        .ready
        .rsplit(' ')
        .next()
        .expect("an address")
        .parse();
    (process, address.expect("a socket address"))
}

/// A node process with its addresses.
pub struct Node {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

impl Node {
    /// Starts a node with this text as its settings file.
    pub fn start(settings: &str) -> Self {
        let directory = std::env::temp_dir();
        let name = format!("dalestand-test-{}-{:x}.toml", std::process::id(), unique());
        let path = directory.join(name);
        std::fs::write(&path, settings).expect("the settings are written");
        let text = path.to_str().expect("a path in UTF-8");
        let arguments = ["node", "--settings", text];
        let process = Process::start(env!("CARGO_BIN_EXE_dalestand"), &arguments);
        let _ = std::fs::remove_file(&path);
        let address = |key: &str| -> SocketAddr {
            let words = process.ready.split(' ');
            let value = words.filter_map(|word| word.strip_prefix(key)).next();
            value
                .expect("an address in the ready line")
                .parse()
                .expect("a socket address")
        };
        let callers = address("callers=");
        let operators = address("operators=");
        let peers = address("peers=");
        Self {
            process,
            callers,
            operators,
            peers,
        }
    }
}

fn unique() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Runs `dalestandctl` against a node.
pub fn ctl(operators: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dalestandctl"))
        .args(["--node", &operators.to_string()])
        .args(arguments)
        .output()
        .expect("dalestandctl runs")
}

/// Waits until `condition` returns a value.
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
        actix_rt::time::sleep(CONDITION_POLL).await;
    }
}

/// Gets JSON.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let sent = awc::Client::default()
        .get(format!("http://{address}{path}"))
        .send();
    let mut response = sent.await.expect("an answer");
    response.json().limit(64 << 20).await.expect("JSON")
}

/// Posts JSON and returns the status and body.
pub async fn post<B: Serialize>(address: SocketAddr, path: &str, body: &B) -> (u16, String) {
    let client = awc::Client::builder().timeout(CONDITION_LIMIT).finish();
    let sent = client
        .post(format!("http://{address}{path}"))
        .send_json(body);
    let mut response = sent.await.expect("an answer");
    let status = response.status().as_u16();
    let body = response.body().limit(64 << 20).await.expect("a body");
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// The result of a request as seen by its caller.
pub struct Answer {
    /// HTTP status; `None` if the connection broke after the request was sent.
    pub status: Option<u16>,
    /// Value of the `x-dalestand-run-state` header: whether the request ran.
    pub run_state: Option<String>,
    /// Identifier that the node assigned to the request.
    pub request: Option<String>,
    /// Time to wait before retrying, in seconds.
    pub retry_after: Option<String>,
    pub body: String,
}

/// Posts JSON as a caller; `None` if the connection failed before anything was sent.
pub async fn call<B: Serialize>(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &B,
) -> Option<Answer> {
    let client = awc::Client::builder().timeout(CONDITION_LIMIT).finish();
    let mut request = client.post(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let broken = Answer {
        status: None,
        run_state: None,
        request: None,
        retry_after: None,
        body: String::new(),
    };
    let mut response = match request.send_json(body).await {
        Ok(response) => response,
        // `Disconnected` is also returned if the connection ends after the request was sent.
        Err(SendRequestError::Connect(error)) if !matches!(error, ConnectError::Disconnected) => {
            return None;
        }
        Err(_) => return Some(broken),
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let (run_state, request) = (header("x-dalestand-run-state"), header("x-request-id"));
    let retry_after = header("retry-after");
    let status = Some(response.status().as_u16());
    match response.body().limit(64 << 20).await {
        Ok(body) => Some(Answer {
            status,
            run_state,
            request,
            retry_after,
            body: String::from_utf8_lossy(&body).into_owned(),
        }),
        Err(_) => Some(broken),
    }
}

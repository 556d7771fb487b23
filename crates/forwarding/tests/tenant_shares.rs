//! Tenants that compete for too little capacity.
//!
//! Guards against one tenant's overload taking capacity from tenants within their fair share.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, LazyLock, Mutex};
use std::thread;
use std::time::Duration;

use support::{TestEngine, TestNode, answer, id_of};

/// Requests that an engine works on at once. With [`WORK`], four engines serve 200 requests per
/// second.
const SLOTS: u32 = 4;

/// Requests that wait at an engine for one of its slots.
const QUEUE: u32 = 4;

/// Time that an engine takes for a request.
const WORK: Duration = Duration::from_millis(80);

/// Capacity of all engines, in requests per second.
const CAPACITY_PER_S: f64 = 200.0;

/// Requests per second of the big tenant, far over its fair share of 140.
const BIG_PER_S: u32 = 400;

/// Requests per second of each small tenant, far under a quarter of the capacity.
const SMALL_PER_S: u32 = 20;

const SMALL: [&str; 3] = ["small-1", "small-2", "small-3"];

/// Share of the requests of a tenant under its fair share that has to be served.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Fraction of the remaining capacity that the big tenant has to be served. The rest is lost while
/// nodes find out how much there is.
const MIN_REST_SERVED: f64 = 0.9;

/// Time for which only the small tenants send requests, so that nodes learn their demand.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time for which all tenants send requests.
const OVERLOAD: Duration = Duration::from_secs(5);

/// Requests at one engine.
#[derive(Default)]
struct Held {
    waiting: u32,
    running: u32,
}

/// Requests at engines, by port.
static HELD: LazyLock<Mutex<HashMap<u16, Held>>> = LazyLock::new(Mutex::default);

/// Notified when an engine has finished a request.
static DONE: Condvar = Condvar::new();

fn is_queued(port: u16) -> bool {
    let mut engines = HELD.lock().expect("no panic");
    let held = engines.entry(port).or_default();
    let has_room = held.waiting + held.running < SLOTS + QUEUE;
    held.waiting += u32::from(has_room);
    has_room
}

fn work(port: u16) {
    let engines = HELD.lock().expect("no panic");
    let waits = |engines: &mut HashMap<u16, Held>| engines[&port].running >= SLOTS;
    let mut engines = DONE.wait_while(engines, waits).expect("no panic");
    let held = engines.entry(port).or_default();
    held.waiting -= 1;
    held.running += 1;
    drop(engines);
    thread::sleep(WORK);
    let mut engines = HELD.lock().expect("no panic");
    engines.entry(port).or_default().running -= 1;
    DONE.notify_all();
}

/// Works on [`SLOTS`] requests at once, queues [`QUEUE`] and refuses further ones.
fn bounded(head: &str, stream: &mut TcpStream) {
    let port = stream.local_addr().expect("an address").port();
    let id = id_of(head);
    if !is_queued(port) {
        let headers = format!("x-id: {id}\r\nx-refused: 1\r\n");
        return answer(stream, "503 Service Unavailable", &headers, "");
    }
    work(port);
    answer(stream, "200 OK", &format!("x-id: {id}\r\n"), "whole");
}

/// Requests of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    served: u32,
}

impl Outcome {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

type Outcomes = Arc<Mutex<HashMap<&'static str, Outcome>>>;

/// Sends requests to all nodes in turn at an even rate, for `lasts`.
async fn send_requests(
    nodes: Arc<[SocketAddr]>,
    tenant: &'static str,
    per_s: u32,
    lasts: Duration,
    outcomes: Outcomes,
) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_s);
    let requests = (lasts.as_secs_f64() * f64::from(per_s)) as usize;
    let mut asked = Vec::new();
    for index in 0..requests {
        ticks.tick().await;
        let node = nodes[index % nodes.len()];
        let outcomes = Arc::clone(&outcomes);
        asked.push(tokio::spawn(async move {
            let headers =
                format!("x-id: {tenant}-{index}\r\nhost: a.example\r\nx-key: {tenant}\r\n");
            let answer = support::get(node, &headers, "/r/x").await;
            let mut outcomes = outcomes.lock().expect("no panic");
            let outcome = outcomes.entry(tenant).or_default();
            outcome.asked += 1;
            outcome.served += u32::from(answer.starts_with("HTTP/1.1 200"));
        }));
    }
    futures_util::future::join_all(asked).await;
}

/// Callers get a thread of their own, because all nodes share this one.
async fn run_load(nodes: Arc<[SocketAddr]>) -> HashMap<&'static str, Outcome> {
    let (done, outcome) = tokio::sync::oneshot::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let outcomes = runtime.block_on(async {
            let outcomes = Outcomes::default();
            let ask = |tenant, per_s, lasts| {
                send_requests(
                    Arc::clone(&nodes),
                    tenant,
                    per_s,
                    lasts,
                    Arc::clone(&outcomes),
                )
            };
            let small = SMALL.map(|tenant| ask(tenant, SMALL_PER_S, WARM_UP + OVERLOAD));
            let big = async {
                tokio::time::sleep(WARM_UP).await;
                ask("big", BIG_PER_S, OVERLOAD).await;
            };
            futures_util::future::join(futures_util::future::join_all(small), big).await;
            let outcomes = outcomes.lock().expect("no panic");
            outcomes.clone()
        });
        done.send(outcomes).expect("the test waits");
    });
    outcome.await.expect("the callers end")
}

#[actix_rt::test]
async fn a_storm_of_one_tenant_costs_the_others_nothing() {
    let first = TestNode::start().await;
    first.declare_tenants(1, &["big", SMALL[0], SMALL[1], SMALL[2]], "once", 1);
    let mut nodes = vec![first.callers];
    for name in ["node-2", "node-3", "node-4", "node-5"] {
        nodes.push(first.start_beside(name).await.callers);
    }
    let engines: Vec<TestEngine> = (0..4).map(|_| TestEngine::start(bounded)).collect();
    for (index, engine) in engines.iter().enumerate() {
        first.write_entry(&format!("e{index}"), engine, "ready");
    }
    // Nodes need a moment to find each other by their entries.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let outcomes = run_load(nodes.into()).await;
    for tenant in SMALL {
        let share = outcomes[tenant].served_share();
        assert!(share >= MIN_SERVED_SHARE, "{tenant}: {share}");
    }
    let of_small = f64::from(SMALL_PER_S) * SMALL.len() as f64;
    let rest = (CAPACITY_PER_S - of_small) / f64::from(BIG_PER_S);
    let big = outcomes["big"].served_share();
    assert!(big >= rest * MIN_REST_SERVED, "big: {big} of {rest}");
}

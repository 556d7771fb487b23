//! HTTP server of the engine stand-in: drives the batch and the order book in real time.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, status_answer, stream_answer, text_answer,
};
use dalestand_platform::wire::Empty;
use dalestand_platform::wire::engine::{
    CACHE_EXPORT, CANCEL, CacheExportRequest, CacheExportResponse, CancelRequest, EPOCH, GENERATE,
    LOAD, ORDERS, RaiseEpochRequest,
};
use dalestand_platform::{HttpWeightStore, WeightStore as _};
use dalestand_types::{
    AttemptId, EngineId, EngineLoad, GenerationFrame, GenerationRequest, Incarnation,
    MonotonicTime, Order, OrderCommand, OrderOutcome, Refusal, RefusalReason, Role, Sequence,
};
use futures_util::stream;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use super::batch::{Batch, BatchSettings, StepOutput};
use super::exports::Exports;
use super::faults::{EngineFaults, take_count};
use super::log::{EngineLogs, OrderLogEntry, RunLogEntry, RunLogEvent};
use super::orders::OrderBook;
use super::outgoing::Outgoing;
use super::transfer::{import, transfer_time};

const MAX_BODY_BYTES: usize = 64 << 20;

/// KV cache of the stand-in, in tokens.
const CACHE_TOKENS: u64 = 1_000_000;

/// How often a draining engine looks whether it is empty.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Pause before the weight store is asked again after a failure.
const FETCH_RETRY: Duration = Duration::from_millis(200);

/// When a refused request may come back, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 250;

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its name.
    pub engine: EngineId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Role at the start.
    pub role: Role,
    /// Costs and bounds of the batch.
    pub batch: BatchSettings,
    /// How long a role change takes once the engine is empty.
    pub role_change: Duration,
    /// Where weights come from; loads are at once if absent.
    pub weight_store: Option<SocketAddr>,
    /// Whether log entries are also printed, a JSON object a line.
    pub log_to_stdout: bool,
}

struct Engine {
    settings: EngineSettings,
    started: Instant,
    batch: RefCell<Batch>,
    orders: RefCell<OrderBook>,
    streams: RefCell<HashMap<AttemptId, Outgoing>>,
    attempts: RefCell<HashSet<AttemptId>>,
    once_keys: RefCell<HashSet<String>>,
    exports: RefCell<Exports>,
    logs: EngineLogs,
    faults: RefCell<EngineFaults>,
    reports: RefCell<u64>,
    work: Notify,
    order_taken: Notify,
}

/// Serves one engine on `listener`.
pub async fn serve_engine(listener: TcpListener, settings: EngineSettings) {
    let engine = Rc::new(Engine::new(settings));
    actix_rt::spawn(run_steps(Rc::clone(&engine)));
    actix_rt::spawn(run_orders(Rc::clone(&engine)));
    serve(
        listener,
        ServerLimits::default(),
        Connections::default(),
        move |request| answer(Rc::clone(&engine), request),
    )
    .await;
}

impl Engine {
    fn new(settings: EngineSettings) -> Self {
        Self {
            started: Instant::now(),
            batch: RefCell::new(Batch::new(settings.batch.clone())),
            orders: RefCell::new(OrderBook::new(settings.incarnation, settings.role)),
            streams: RefCell::default(),
            attempts: RefCell::default(),
            once_keys: RefCell::default(),
            exports: RefCell::default(),
            logs: EngineLogs::new(
                settings.engine.clone(),
                settings.incarnation,
                settings.log_to_stdout,
            ),
            faults: RefCell::default(),
            reports: RefCell::default(),
            work: Notify::new(),
            order_taken: Notify::new(),
            settings,
        }
    }

    fn at_micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.at_micros())
    }

    fn log_run(&self, request: &GenerationRequest, event: RunLogEvent) {
        self.logs.push_run(RunLogEntry {
            at_micros: self.at_micros(),
            request: request.request,
            attempt: request.attempt,
            once_key: request.once_key.clone(),
            event,
        });
    }

    fn log_output(&self, output: &StepOutput) {
        let (attempt, event) = match &output.frame {
            GenerationFrame::Token {
                attempt,
                position: 0,
                ..
            } => (*attempt, RunLogEvent::Started),
            GenerationFrame::Finished {
                attempt, tokens, ..
            } => (*attempt, RunLogEvent::Finished { tokens: *tokens }),
            GenerationFrame::Prefilled { attempt, .. } => {
                (*attempt, RunLogEvent::Finished { tokens: 0 })
            }
            _ => return,
        };
        self.logs.push_run(RunLogEntry {
            at_micros: self.at_micros(),
            request: output.request,
            attempt,
            once_key: output.once_key.clone(),
            event,
        });
    }

    /// Why a request cannot be taken now.
    fn refusal(&self, request: &GenerationRequest) -> Option<RefusalReason> {
        let orders = self.orders.borrow();
        let other_run = request
            .incarnation
            .is_some_and(|run| run != self.settings.incarnation);
        if other_run {
            return Some(RefusalReason::OtherIncarnation);
        }
        let repeated_key = request
            .once_key
            .as_ref()
            .is_some_and(|key| self.once_keys.borrow().contains(key));
        if repeated_key || self.attempts.borrow().contains(&request.attempt) {
            return Some(RefusalReason::AlreadyRun);
        }
        let Some(role) = orders.state().role else {
            return Some(RefusalReason::OutOfService);
        };
        if orders.changes_role() {
            return Some(RefusalReason::OutOfService);
        }
        let needs_prefill = request.import_from.is_none();
        let needs_decode = !request.prefill_only;
        if (needs_prefill && !role.runs_prefill()) || (needs_decode && !role.runs_decode()) {
            return Some(RefusalReason::WrongRole);
        }
        if !orders.serves(&request.model, request.adapter.as_ref()) {
            return Some(RefusalReason::NotLoaded);
        }
        if !self.batch.borrow().has_room() {
            return Some(RefusalReason::Full);
        }
        None
    }

    fn load_report(&self) -> EngineLoad {
        let mut reports = self.reports.borrow_mut();
        *reports += 1;
        let orders = self.orders.borrow();
        let batch = self.batch.borrow();
        let counters = batch.counters();
        EngineLoad {
            engine: self.settings.engine.clone(),
            incarnation: self.settings.incarnation,
            sequence: Sequence(*reports),
            role: if orders.changes_role() {
                None
            } else {
                orders.state().role
            },
            running: batch.running(),
            waiting: batch.waiting(),
            queued_prefill_tokens: batch.queued_prefill_tokens(),
            capacity: self.settings.batch.capacity,
            cache_tokens_used: self.exports.borrow().tokens(self.now()),
            cache_tokens_total: CACHE_TOKENS,
            prefill_tokens_total: counters.prefill_tokens,
            decode_tokens_total: counters.decode_tokens,
            models: orders.state().models.clone(),
        }
    }
}

/// Runs steps while there is work.
async fn run_steps(engine: Rc<Engine>) {
    loop {
        if engine.batch.borrow().is_empty() {
            engine.work.notified().await;
            continue;
        }
        engine.batch.borrow_mut().admit();
        let duration = engine.batch.borrow().step_duration();
        actix_rt::time::sleep(duration).await;
        let outputs = engine.batch.borrow_mut().step();
        for output in outputs {
            engine.log_output(&output);
            if let GenerationFrame::Prefilled { attempt, usage } = &output.frame {
                hold_export(&engine, *attempt, usage.prompt_tokens);
            }
            send_frame(&engine, &output.frame);
        }
    }
}

fn hold_export(engine: &Engine, attempt: AttemptId, prompt_tokens: u32) {
    if take_count(&mut engine.faults.borrow_mut().forget_exports) {
        return;
    }
    let now = engine.now();
    let mut exports = engine.exports.borrow_mut();
    exports.hold(now, attempt, prompt_tokens);
}

fn send_frame(engine: &Engine, frame: &GenerationFrame) {
    let mut streams = engine.streams.borrow_mut();
    let Some(stream) = streams.get_mut(&frame.attempt()) else {
        return;
    };
    if !stream.send(frame, &mut engine.faults.borrow_mut()) {
        streams.remove(&frame.attempt());
    }
}

/// Carries orders out, one at a time.
async fn run_orders(engine: Rc<Engine>) {
    loop {
        engine.order_taken.notified().await;
        let Some(order) = engine
            .orders
            .borrow()
            .state()
            .last
            .clone()
            .map(|last| last.order)
        else {
            continue;
        };
        match &order.command {
            OrderCommand::AssumeRole { .. } => change_role(&engine).await,
            OrderCommand::LoadModel { model, version } => {
                fetch(&engine, model.as_str(), version.as_str()).await;
            }
            OrderCommand::LoadAdapter {
                adapter, version, ..
            } => {
                fetch(&engine, adapter.as_str(), version.as_str()).await;
            }
            OrderCommand::UnloadModel { .. } | OrderCommand::UnloadAdapter { .. } => {}
        }
        engine.orders.borrow_mut().finish();
        let role = engine.orders.borrow().state().role;
        let at_micros = engine.at_micros();
        engine.logs.push_order(OrderLogEntry::Done {
            at_micros,
            order,
            role,
        });
    }
}

async fn change_role(engine: &Engine) {
    if engine.faults.borrow().abrupt_role_change {
        engine.streams.borrow_mut().clear();
    }
    while !engine.batch.borrow().is_empty() {
        actix_rt::time::sleep(DRAIN_POLL).await;
    }
    engine.orders.borrow_mut().leave_service();
    if engine.faults.borrow().crash_in_role_change {
        std::process::abort();
    }
    actix_rt::time::sleep(engine.settings.role_change).await;
}

async fn fetch(engine: &Engine, name: &str, version: &str) {
    let Some(address) = engine.settings.weight_store else {
        return;
    };
    let store = HttpWeightStore::new(address);
    loop {
        match store.fetch(name, version).await {
            Ok(transfer) => {
                actix_rt::time::sleep(transfer).await;
                return;
            }
            Err(_) => actix_rt::time::sleep(FETCH_RETRY).await,
        }
    }
}

async fn answer(engine: Rc<Engine>, mut request: Request) -> Answer {
    match handle(&engine, &mut request).await {
        Ok(answer) => answer,
        Err(error) => text_answer(error.status(), error.to_string()),
    }
}

async fn handle(engine: &Rc<Engine>, request: &mut Request) -> Result<Answer, HttpServerError> {
    let path = request.path().to_owned();
    let get = request.method() == Method::GET;
    match path.as_str() {
        GENERATE => Ok(generate(engine, read_json(request, MAX_BODY_BYTES).await?).await),
        CACHE_EXPORT => {
            let body: CacheExportRequest = read_json(request, MAX_BODY_BYTES).await?;
            Ok(export(engine, &body).await)
        }
        CANCEL => {
            let body: CancelRequest = read_json(request, MAX_BODY_BYTES).await?;
            engine.streams.borrow_mut().remove(&body.attempt);
            Ok(json_answer(StatusCode::OK, &Empty {}))
        }
        ORDERS if get => Ok(json_answer(StatusCode::OK, engine.orders.borrow().state())),
        ORDERS => Ok(take_order(engine, &read_json(request, MAX_BODY_BYTES).await?).await),
        EPOCH => {
            let body: RaiseEpochRequest = read_json(request, MAX_BODY_BYTES).await?;
            Ok(raise_epoch(engine, &body))
        }
        LOAD => Ok(json_answer(StatusCode::OK, &engine.load_report())),
        "/log/runs" => Ok(json_answer(StatusCode::OK, &*engine.logs.runs.borrow())),
        "/log/orders" => Ok(json_answer(StatusCode::OK, &*engine.logs.orders.borrow())),
        "/faults" => {
            *engine.faults.borrow_mut() = read_json(request, MAX_BODY_BYTES).await?;
            Ok(json_answer(StatusCode::OK, &Empty {}))
        }
        _ => Ok(status_answer(StatusCode::NOT_FOUND)),
    }
}

fn raise_epoch(engine: &Engine, body: &RaiseEpochRequest) -> Answer {
    let outcome = engine.orders.borrow_mut().raise_epoch(body.epoch);
    if matches!(outcome, OrderOutcome::Accepted { .. }) {
        engine.logs.push_order(OrderLogEntry::EpochRaised {
            at_micros: engine.at_micros(),
            incarnation: engine.settings.incarnation,
            epoch: body.epoch,
        });
    }
    order_answer(&outcome)
}

async fn take_order(engine: &Engine, order: &Order) -> Answer {
    let before = engine
        .orders
        .borrow()
        .state()
        .last
        .clone()
        .map(|last| last.order.id);
    let outcome = engine.orders.borrow_mut().take(order);
    let at_micros = engine.at_micros();
    let accepted = matches!(outcome, OrderOutcome::Accepted { .. });
    if !accepted {
        let order = order.clone();
        let answer = format!("{outcome:?}");
        engine.logs.push_order(OrderLogEntry::Refused {
            at_micros,
            order,
            answer,
        });
        return order_answer(&outcome);
    }
    if before != Some(order.id) {
        let order = order.clone();
        engine
            .logs
            .push_order(OrderLogEntry::Taken { at_micros, order });
        engine.order_taken.notify_one();
    }
    if take_count(&mut engine.faults.borrow_mut().lose_order_answers) {
        std::future::pending::<()>().await;
    }
    order_answer(&outcome)
}

fn order_answer(outcome: &OrderOutcome) -> Answer {
    let status = match outcome {
        OrderOutcome::Accepted { .. } => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    json_answer(status, outcome)
}

/// Sends a cache on its way; answered once it has arrived.
async fn export(engine: &Engine, body: &CacheExportRequest) -> Answer {
    let found = engine.exports.borrow().find(engine.now(), body.attempt);
    let Some(prompt_tokens) = found else {
        return status_answer(StatusCode::NOT_FOUND);
    };
    actix_rt::time::sleep(transfer_time(prompt_tokens)).await;
    json_answer(StatusCode::OK, &CacheExportResponse { prompt_tokens })
}

async fn generate(engine: &Rc<Engine>, request: GenerationRequest) -> Answer {
    if let Some(reason) = engine.refusal(&request) {
        return refuse(reason);
    }
    if let Some(handle) = request.import_from {
        if import(handle).await.is_none() {
            return refuse(RefusalReason::CacheNotFound);
        }
        // The engine may have left service, or filled up, while the cache was on its way.
        if let Some(reason) = engine.refusal(&request) {
            return refuse(reason);
        }
    }
    accept(engine, request)
}

fn refuse(reason: RefusalReason) -> Answer {
    let refusal = Refusal {
        reason,
        retry_after_ms: FULL_RETRY_AFTER_MS,
    };
    let status = match reason {
        RefusalReason::Full => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::CONFLICT,
    };
    json_answer(status, &refusal)
}

fn accept(engine: &Rc<Engine>, request: GenerationRequest) -> Answer {
    engine.attempts.borrow_mut().insert(request.attempt);
    if let Some(key) = &request.once_key {
        engine.once_keys.borrow_mut().insert(key.clone());
    }
    engine.log_run(&request, RunLogEvent::Accepted);
    let (sender, receiver) = mpsc::unbounded_channel();
    if let Some(stream) = open_stream(engine, sender) {
        engine.streams.borrow_mut().insert(request.attempt, stream);
    }
    let guard = AttemptGuard {
        engine: Rc::clone(engine),
        request: request.clone(),
    };
    engine.batch.borrow_mut().add(request);
    engine.work.notify_one();
    let frames = stream::unfold((receiver, guard), |(mut receiver, guard)| async move {
        receiver.recv().await.map(|line| (line, (receiver, guard)))
    });
    stream_answer(StatusCode::OK, "application/x-ndjson", frames)
}

/// Where the frames of a request go; nowhere if it is to break.
fn open_stream(engine: &Engine, sender: mpsc::UnboundedSender<Bytes>) -> Option<Outgoing> {
    let mut faults = engine.faults.borrow_mut();
    if take_count(&mut faults.break_after_accept) {
        return None;
    }
    let breaks = take_count(&mut faults.break_in_answer);
    let break_at = breaks.then_some(faults.break_at_token);
    Some(Outgoing::new(sender, break_at))
}

/// Takes an attempt out of the batch when its connection goes.
struct AttemptGuard {
    engine: Rc<Engine>,
    request: GenerationRequest,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let attempt = self.request.attempt;
        self.engine.streams.borrow_mut().remove(&attempt);
        if let Some(tokens) = self.engine.batch.borrow_mut().remove(attempt) {
            self.engine
                .log_run(&self.request, RunLogEvent::Cancelled { tokens });
        }
    }
}

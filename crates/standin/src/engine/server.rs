//! HTTP server of the simulated engine: runs the batch and the orders in real time.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::wire::Empty;
use dalestand_edge::wire::engine::{
    CACHE_EVENTS, CACHE_EXPORT, CANCEL, CacheExportRequest, CancelRequest, EPOCH, GENERATE, LOAD,
    ORDERS, RaiseEpochRequest,
};
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, status_answer,
};
use dalestand_types::{GenerationFrame, Order, OrderCommand, OrderOutcome};
use tokio::net::TcpListener;

use super::cache_routes::{cache_events, export, retain_export};
use super::faults::consume_one;
use super::generation::generate;
use super::log::OrderLogEntry;
use super::state::{Engine, EngineSettings};

const MAX_BODY_BYTES: usize = 64 << 20;

/// Interval at which a draining engine checks whether its batch is empty.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

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

/// Runs batch steps; waits for work while the batch is empty.
async fn run_steps(engine: Rc<Engine>) {
    loop {
        if engine.batch.borrow().is_empty() {
            engine.work_available.notified().await;
            continue;
        }
        engine.batch.borrow_mut().admit();
        let duration = engine.batch.borrow().step_duration();
        actix_rt::time::sleep(duration).await;
        let outputs = engine.batch.borrow_mut().step();
        for output in outputs {
            engine.log_output(&output);
            if let GenerationFrame::Prefilled { attempt, usage } = &output.frame {
                retain_export(&engine, *attempt, usage.prompt_tokens);
            }
            send_frame(&engine, &output.frame);
        }
    }
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

/// Executes accepted orders one at a time.
async fn run_orders(engine: Rc<Engine>) {
    loop {
        engine.order_accepted.notified().await;
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
            OrderCommand::LoadModel { .. } | OrderCommand::LoadAdapter { .. } => {
                actix_rt::time::sleep(engine.settings.load_time).await;
            }
            OrderCommand::UnloadModel { .. } | OrderCommand::UnloadAdapter { .. } => {}
        }
        engine.orders.borrow_mut().finish();
        let role = engine.orders.borrow().state().role;
        let at_micros = engine.elapsed_micros();
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
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    engine.orders.borrow_mut().leave_service();
    if engine.faults.borrow().crash_in_role_change {
        std::process::abort();
    }
    actix_rt::time::sleep(engine.settings.role_change_time).await;
}

async fn answer(engine: Rc<Engine>, mut request: Request) -> Answer {
    handle(&engine, &mut request)
        .await
        .unwrap_or_else(Answer::from)
}

async fn handle(engine: &Rc<Engine>, request: &mut Request) -> Result<Answer, HttpServerError> {
    let path = request.path().to_owned();
    let is_get = request.method() == Method::GET;
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
        ORDERS if is_get => Ok(json_answer(StatusCode::OK, engine.orders.borrow().state())),
        ORDERS => Ok(submit_order(engine, &read_json(request, MAX_BODY_BYTES).await?).await),
        EPOCH => {
            let body: RaiseEpochRequest = read_json(request, MAX_BODY_BYTES).await?;
            Ok(raise_epoch(engine, &body))
        }
        LOAD => Ok(json_answer(StatusCode::OK, &engine.visible_load_report())),
        CACHE_EVENTS => Ok(cache_events(engine, request.uri().query())),
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
            at_micros: engine.elapsed_micros(),
            incarnation: engine.settings.incarnation,
            epoch: body.epoch,
        });
    }
    order_response(&outcome)
}

async fn submit_order(engine: &Engine, order: &Order) -> Answer {
    let previous = engine
        .orders
        .borrow()
        .state()
        .last
        .clone()
        .map(|last| last.order.id);
    let outcome = engine.orders.borrow_mut().submit(order);
    let at_micros = engine.elapsed_micros();
    let accepted = matches!(outcome, OrderOutcome::Accepted { .. });
    if !accepted {
        let order = order.clone();
        let answer = format!("{outcome:?}");
        engine.logs.push_order(OrderLogEntry::Refused {
            at_micros,
            order,
            answer,
        });
        return order_response(&outcome);
    }
    if previous != Some(order.id) {
        let order = order.clone();
        engine
            .logs
            .push_order(OrderLogEntry::Taken { at_micros, order });
        engine.order_accepted.notify_one();
    }
    if consume_one(&mut engine.faults.borrow_mut().lose_order_answers) {
        std::future::pending::<()>().await;
    }
    order_response(&outcome)
}

fn order_response(outcome: &OrderOutcome) -> Answer {
    let status = match outcome {
        OrderOutcome::Accepted { .. } => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    json_answer(status, outcome)
}

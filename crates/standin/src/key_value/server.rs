//! HTTP server of the key-value test double, with fault injection.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_edge::CasOutcome;
use dalestand_edge::wire::key_value::{
    GET, GetRequest, GetResponse, LEASE_GRANT, LEASE_RENEW, LEASE_REVOKE, LeaseGrantRequest,
    LeaseGrantResponse, LeaseRenewResponse, LeaseRequest, PUT, PutRequest, RANGE, RangeRequest,
    WATCH, WatchRequest,
};
use dalestand_edge::wire::{Empty, RetryAfter};
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, status_answer, text_answer,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::Store;
use crate::rate::RateLimiter;

const MAX_BODY_BYTES: usize = 16 << 20;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a response that is to be lost; longer than any caller waits.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(60);

/// Faults to inject; `POST /faults` replaces the whole set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Every call is rejected with 503 and has no effect.
    pub outage: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes still to take effect without a response.
    pub lose_write_answers: u32,
    /// Rate limit in calls per second; calls beyond it are rejected with 429.
    pub calls_per_second: f64,
}

impl Default for KeyValueFaults {
    fn default() -> Self {
        Self {
            outage: false,
            delay_ms: 0,
            lose_write_answers: 0,
            calls_per_second: 10_000.0,
        }
    }
}

struct State {
    store: RefCell<Store>,
    faults: RefCell<KeyValueFaults>,
    limiter: RefCell<RateLimiter>,
    calls: RefCell<u64>,
    store_changed: Notify,
}

/// Serves the key-value test double on `listener`.
pub async fn serve_key_value(listener: TcpListener) {
    let faults = KeyValueFaults::default();
    let limiter = RateLimiter::new(faults.calls_per_second, Instant::now());
    let state = Rc::new(State {
        store: RefCell::new(Store::default()),
        faults: RefCell::new(faults),
        limiter: RefCell::new(limiter),
        calls: RefCell::new(0),
        store_changed: Notify::new(),
    });
    actix_rt::spawn(expire_leases(Rc::clone(&state)));
    serve(
        listener,
        ServerLimits::default(),
        Connections::default(),
        move |request| answer(Rc::clone(&state), request),
    )
    .await;
}

async fn expire_leases(state: Rc<State>) {
    loop {
        actix_rt::time::sleep(EXPIRY_INTERVAL).await;
        state.store.borrow_mut().expire_leases(Instant::now());
        state.store_changed.notify_waiters();
    }
}

async fn answer(state: Rc<State>, mut request: Request) -> Answer {
    handle(&state, &mut request)
        .await
        .unwrap_or_else(Answer::from)
}

async fn handle(state: &State, request: &mut Request) -> Result<Answer, HttpServerError> {
    let path = request.path().to_owned();
    if path == "/faults" {
        return set_faults(state, request).await;
    }
    if path == "/calls" && request.method() == Method::GET {
        return Ok(json_answer(StatusCode::OK, &*state.calls.borrow()));
    }
    if let Some(rejection) = apply_faults(state).await {
        return Ok(rejection);
    }
    match path.as_str() {
        GET => {
            let body: GetRequest = read_json(request, MAX_BODY_BYTES).await?;
            let entry = state.store.borrow().get(&body.key);
            Ok(json_answer(StatusCode::OK, &GetResponse { entry }))
        }
        RANGE => {
            let body: RangeRequest = read_json(request, MAX_BODY_BYTES).await?;
            Ok(json_answer(
                StatusCode::OK,
                &state.store.borrow().range(&body.prefix),
            ))
        }
        PUT => put(state, read_json(request, MAX_BODY_BYTES).await?).await,
        WATCH => watch(state, read_json(request, MAX_BODY_BYTES).await?).await,
        LEASE_GRANT => {
            let body: LeaseGrantRequest = read_json(request, MAX_BODY_BYTES).await?;
            let time_to_live = Duration::from_millis(body.ttl_ms);
            let lease = state
                .store
                .borrow_mut()
                .grant_lease(time_to_live, Instant::now());
            Ok(json_answer(StatusCode::OK, &LeaseGrantResponse { lease }))
        }
        LEASE_RENEW => {
            let body: LeaseRequest = read_json(request, MAX_BODY_BYTES).await?;
            let alive = state
                .store
                .borrow_mut()
                .renew_lease(body.lease, Instant::now());
            Ok(json_answer(StatusCode::OK, &LeaseRenewResponse { alive }))
        }
        LEASE_REVOKE => {
            let body: LeaseRequest = read_json(request, MAX_BODY_BYTES).await?;
            state.store.borrow_mut().revoke_lease(body.lease);
            state.store_changed.notify_waiters();
            Ok(json_answer(StatusCode::OK, &Empty {}))
        }
        _ => Ok(status_answer(StatusCode::NOT_FOUND)),
    }
}

async fn set_faults(state: &State, request: &mut Request) -> Result<Answer, HttpServerError> {
    let faults: KeyValueFaults = read_json(request, MAX_BODY_BYTES).await?;
    *state.limiter.borrow_mut() = RateLimiter::new(faults.calls_per_second, Instant::now());
    *state.faults.borrow_mut() = faults;
    Ok(json_answer(StatusCode::OK, &Empty {}))
}

/// Applies the delay, the outage and the rate limit; returns the response if the call is rejected.
async fn apply_faults(state: &State) -> Option<Answer> {
    *state.calls.borrow_mut() += 1;
    let delay_ms = state.faults.borrow().delay_ms;
    if delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    if state.faults.borrow().outage {
        return Some(status_answer(StatusCode::SERVICE_UNAVAILABLE));
    }
    let wait = state
        .limiter
        .borrow_mut()
        .try_acquire(Instant::now())
        .err()?;
    let body = RetryAfter {
        retry_after_ms: wait.as_millis() as u64 + 1,
    };
    Some(json_answer(StatusCode::TOO_MANY_REQUESTS, &body))
}

async fn put(state: &State, body: PutRequest) -> Result<Answer, HttpServerError> {
    let outcome = state.store.borrow_mut().compare_and_swap(
        &body.key,
        body.expectation,
        body.value,
        body.lease,
    );
    let Some(outcome) = outcome else {
        return Ok(text_answer(
            StatusCode::PRECONDITION_FAILED,
            "lease not found",
        ));
    };
    state.store_changed.notify_waiters();
    let written = matches!(outcome, CasOutcome::Written { .. });
    if written && consume_lost_response(state) {
        actix_rt::time::sleep(LOST_RESPONSE_DELAY).await;
        return Ok(status_answer(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(json_answer(StatusCode::OK, &outcome))
}

fn consume_lost_response(state: &State) -> bool {
    let mut faults = state.faults.borrow_mut();
    if faults.lose_write_answers == 0 {
        return false;
    }
    faults.lose_write_answers -= 1;
    true
}

async fn watch(state: &State, body: WatchRequest) -> Result<Answer, HttpServerError> {
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    loop {
        let changed = state.store_changed.notified();
        let batch = state.store.borrow().changes(&body.prefix, body.after);
        let now = Instant::now();
        if !batch.events.is_empty() || batch.compacted || now >= deadline {
            return Ok(json_answer(StatusCode::OK, &batch));
        }
        let _ = actix_rt::time::timeout(deadline - now, changed).await;
        if state.faults.borrow().outage {
            return Ok(status_answer(StatusCode::SERVICE_UNAVAILABLE));
        }
    }
}

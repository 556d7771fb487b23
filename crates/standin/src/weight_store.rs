//! Stand-in of the weight store: it allows a bounded rate of transfers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use dalestand_edge::wire::weight_store::{FETCH, FetchRequest, FetchResponse};
use dalestand_edge::wire::{Empty, RetryAfter};
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, status_answer,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::rate::RateLimiter;

const MAX_BODY_BYTES: usize = 64 << 10;

/// Faults of the stand-in; `POST /faults` replaces them all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// Every call is answered 503.
    pub outage: bool,
    /// Transfers allowed a second; more are answered 429.
    pub fetches_per_second: f64,
    /// How long a transfer takes, in milliseconds.
    pub transfer_ms: u64,
}

impl Default for WeightStoreFaults {
    fn default() -> Self {
        Self {
            outage: false,
            fetches_per_second: 20.0,
            transfer_ms: 50,
        }
    }
}

struct State {
    faults: WeightStoreFaults,
    limiter: RateLimiter,
}

/// Serves the weight store on `listener`.
pub async fn serve_weight_store(listener: TcpListener) {
    let faults = WeightStoreFaults::default();
    let limiter = RateLimiter::new(faults.fetches_per_second, Instant::now());
    let state = Rc::new(RefCell::new(State { faults, limiter }));
    serve(
        listener,
        ServerLimits::default(),
        Connections::default(),
        move |request| answer(Rc::clone(&state), request),
    )
    .await;
}

async fn answer(state: Rc<RefCell<State>>, mut request: Request) -> Answer {
    handle(&state, &mut request)
        .await
        .unwrap_or_else(Answer::from)
}

async fn handle(state: &RefCell<State>, request: &mut Request) -> Result<Answer, HttpServerError> {
    match request.path() {
        "/faults" => {
            let faults: WeightStoreFaults = read_json(request, MAX_BODY_BYTES).await?;
            let limiter = RateLimiter::new(faults.fetches_per_second, Instant::now());
            *state.borrow_mut() = State { faults, limiter };
            Ok(json_answer(StatusCode::OK, &Empty {}))
        }
        FETCH => {
            let _: FetchRequest = read_json(request, MAX_BODY_BYTES).await?;
            Ok(fetch(&mut state.borrow_mut()))
        }
        _ => Ok(status_answer(StatusCode::NOT_FOUND)),
    }
}

fn fetch(state: &mut State) -> Answer {
    if state.faults.outage {
        return status_answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    match state.limiter.take(Instant::now()) {
        Ok(()) => {
            let body = FetchResponse {
                transfer_ms: state.faults.transfer_ms,
            };
            json_answer(StatusCode::OK, &body)
        }
        Err(wait) => {
            let body = RetryAfter {
                retry_after_ms: wait.as_millis() as u64 + 1,
            };
            json_answer(StatusCode::TOO_MANY_REQUESTS, &body)
        }
    }
}

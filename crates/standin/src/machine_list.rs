//! Test double of the machine list, whose changes become visible after a configurable lag.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_edge::wire::Empty;
use dalestand_edge::wire::machine_list::{MACHINES, MachinesResponse};
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, status_answer,
};
use dalestand_types::Machine;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 1 << 20;

/// Faults to inject; `POST /faults` replaces the whole set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListFaults {
    /// Delay until a change becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Every call is rejected with 503.
    pub outage: bool,
}

/// A change that may not be visible yet.
enum Change {
    Set(Machine),
    Remove(String),
}

#[derive(Default)]
struct State {
    visible: BTreeMap<String, Machine>,
    pending: VecDeque<(Instant, Change)>,
    faults: MachineListFaults,
}

impl State {
    fn enqueue(&mut self, change: Change) {
        let visible_at = Instant::now() + Duration::from_millis(self.faults.lag_ms);
        self.pending.push_back((visible_at, change));
    }

    fn apply_visible(&mut self, now: Instant) {
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            match self.pending.pop_front() {
                Some((_, Change::Set(machine))) => {
                    self.visible.insert(machine.name.clone(), machine);
                }
                Some((_, Change::Remove(name))) => {
                    self.visible.remove(&name);
                }
                None => {}
            }
        }
    }
}

/// Serves the machine list on `listener`: `GET` returns it, `POST` adds or replaces a machine, and
/// `DELETE` removes the one named by the last path segment.
pub async fn serve_machine_list(listener: TcpListener) {
    let state = Rc::new(RefCell::new(State::default()));
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
    let path = request.path().to_owned();
    if path == "/faults" {
        let faults: MachineListFaults = read_json(request, MAX_BODY_BYTES).await?;
        state.borrow_mut().faults = faults;
        return Ok(json_answer(StatusCode::OK, &Empty {}));
    }
    if state.borrow().faults.outage {
        return Ok(status_answer(StatusCode::SERVICE_UNAVAILABLE));
    }
    if request.method() == Method::DELETE {
        let name = path.rsplit('/').next().unwrap_or_default().to_owned();
        state.borrow_mut().enqueue(Change::Remove(name));
        return Ok(json_answer(StatusCode::OK, &Empty {}));
    }
    if path != MACHINES {
        return Ok(status_answer(StatusCode::NOT_FOUND));
    }
    if request.method() == Method::POST {
        let machine: Machine = read_json(request, MAX_BODY_BYTES).await?;
        state.borrow_mut().enqueue(Change::Set(machine));
        return Ok(json_answer(StatusCode::OK, &Empty {}));
    }
    let mut state = state.borrow_mut();
    state.apply_visible(Instant::now());
    let machines = state.visible.values().cloned().collect();
    Ok(json_answer(StatusCode::OK, &MachinesResponse { machines }))
}

//! Paths to engines through other nodes, while this node is cut off from them.
//!
//! All decisions on requests stay with the node that took them; another node opens the connection and copies bytes.

pub(crate) mod carrier;
mod link_check;
pub(crate) mod link_paths;
mod open_detour;
mod reach;
pub(crate) mod trials;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use dalestand_engine_link::DetourError;
use dalestand_routing::reachability::{DirectLinks, LinkChange, PeerRanking};
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_tunnel::Tunnels;
use dalestand_types::MonotonicTime;
use tokio::sync::Notify;

use crate::context::Context;

/// After other nodes could open no connection to an engine, they are not asked for it again for this time.
const FAILURE_TTL: Duration = Duration::from_millis(250);

/// The same after one found that nothing listens there.
const NO_LISTENER_TTL: Duration = Duration::from_secs(1);

/// What this node knows of its own links to engines and of other nodes' willingness to carry, and what it carries.
#[derive(Default)]
pub(crate) struct DetourState {
    pub(crate) links: RefCell<DirectLinks>,
    pub(crate) ranking: RefCell<PeerRanking>,
    /// Connections that this node carries for others.
    pub(crate) tunnels: Tunnels,
    /// Engines to which other nodes opened no connection lately.
    failures: RefCell<HashMap<EngineKey, (MonotonicTime, DetourError)>>,
    /// Engines for which a check of this node's links is under way.
    checks: RefCell<HashSet<EngineKey>>,
    /// Requests to other nodes under way.
    pending: Cell<usize>,
    /// Notified when this node finds itself cut off.
    pub(crate) cut_off: Notify,
}

impl DetourState {
    /// Whether this node is cut off from all engines.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.links.borrow().is_cut_off()
    }

    fn recent_failure(&self, now: MonotonicTime, engine: EngineKey) -> Option<DetourError> {
        let mut failures = self.failures.borrow_mut();
        failures.retain(|_, (until, _)| now < *until);
        failures.get(&engine).map(|(_, failure)| *failure)
    }

    fn record_failure(&self, now: MonotonicTime, engine: EngineKey, failure: DetourError) {
        let ttl = match failure {
            DetourError::NoListener => NO_LISTENER_TTL,
            DetourError::NoPeers | DetourError::Unavailable => FAILURE_TTL,
        };
        let mut failures = self.failures.borrow_mut();
        failures.insert(engine, (now + ttl, failure));
    }
}

/// Logs a change of this node's links to engines, and forgets what failed calls seemed to show of engines.
fn apply_change(context: &Context, change: LinkChange) {
    let now = context.now();
    context.router.borrow_mut().health.forget_unanswered();
    let links = context.detours.links.borrow();
    match change {
        LinkChange::CutOff => {
            context.detours.cut_off.notify_one();
            log_event!(context.logger, Event::EnginesUnreachable,
                "engines" => context.fleet().len(), "evidence" => links.evidence(),
                "silent_ms" => links.silence(now).as_millis() as u64);
        }
        LinkChange::Restored { after } => {
            log_event!(context.logger, Event::EnginesReachable,
                "after_ms" => after.as_millis() as u64);
        }
    }
}

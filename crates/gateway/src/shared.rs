//! What the callers' half and the control half of a node share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use dalestand_clock::BootInstant;
use dalestand_config::Deployment;
use dalestand_decision::DecisionRing;
use dalestand_routing::{
    FleetView, RetryBudget, RetryBudgetConfig, Router, RouterConfig, TenantLimits,
};
use dalestand_telemetry::Metrics;
use dalestand_types::{MonotonicTime, NodeId, Revision, ZoneName};
use slog::Logger;

use crate::claim::ClaimGate;

/// Decisions kept for operators' questions.
const DECISIONS_KEPT: usize = 4_096;

/// Tenants whose shares are remembered; a node sees few of all tenants within seconds.
const TENANTS_REMEMBERED: usize = 4_096;

/// Reads the clock that goes on while the machine is suspended; the wall clock only for people to read.
#[derive(Clone, Copy, Debug)]
pub struct Clock(BootInstant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(BootInstant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.0.elapsed().as_micros() as u64)
    }

    /// Milliseconds since 1970, for people to read.
    pub fn unix_ms(&self) -> u64 {
        let passed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        passed.as_millis() as u64
    }
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub deployment: Arc<Deployment>,
}

/// State shared by the halves of a node.
pub struct SharedState {
    /// The clock of the node.
    pub clock: Clock,
    /// The node.
    pub node: NodeId,
    /// The node's zone.
    pub zone: ZoneName,
    /// The configuration in force, once there is one.
    pub configuration: ArcSwapOption<ActiveConfiguration>,
    /// What is known of the fleet.
    pub fleet: ArcSwap<FleetView>,
    /// Metrics.
    pub metrics: Metrics,
    /// The log.
    pub logger: Logger,
    claims: OnceLock<Box<dyn ClaimGate>>,
    router: Mutex<Router>,
    tenant_limits: Mutex<TenantLimits>,
    retry_budget: Mutex<RetryBudget>,
    decisions: Mutex<DecisionRing>,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts a request in flight until dropped.
pub struct RequestGuard(Arc<SharedState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl SharedState {
    /// State of a node that has just started.
    pub fn new(node: NodeId, zone: ZoneName, logger: Logger, metrics: Metrics) -> Self {
        Self {
            clock: Clock::start(),
            node,
            zone,
            configuration: ArcSwapOption::empty(),
            fleet: ArcSwap::from_pointee(FleetView::default()),
            metrics,
            logger,
            claims: OnceLock::new(),
            router: Mutex::new(Router::new(RouterConfig::default())),
            tenant_limits: Mutex::new(TenantLimits::new(TENANTS_REMEMBERED, 1)),
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetConfig::default())),
            decisions: Mutex::new(DecisionRing::new(DECISIONS_KEPT)),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Sets what grants claims; the first call counts. Without it no claim is made.
    pub fn set_claims(&self, gate: Box<dyn ClaimGate>) {
        let _ = self.claims.set(gate);
    }

    /// What grants claims.
    pub fn claims(&self) -> Option<&dyn ClaimGate> {
        self.claims.get().map(|gate| &**gate)
    }

    /// The router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The tenants' shares at this node.
    pub fn tenant_limits(&self) -> MutexGuard<'_, TenantLimits> {
        self.tenant_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The retries this node may make.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The decision records.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionRing> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Takes a request in; `None` if a planned stop has begun. The count rises before the mark is
    /// read, so that a stop which finds no request in flight has none that enters after it.
    pub fn enter_request(self: &Arc<Self>) -> Option<RequestGuard> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        let guard = RequestGuard(Arc::clone(self));
        (!self.stopping()).then_some(guard)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Begins a planned stop; yields whether it had not begun before.
    pub fn begin_stop(&self) -> bool {
        !self.stopping.swap(true, Ordering::SeqCst)
    }
}

//! State shared by the gateway and the control plane of a node.

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

/// Number of decision records kept for operators.
const MAX_DECISIONS: usize = 4_096;

/// Maximum number of tenants whose token limits are tracked at a time.
const MAX_TENANTS: usize = 4_096;

/// A monotonic clock that includes time in suspension, and the wall clock for display.
#[derive(Clone, Copy, Debug)]
pub struct Clock(BootInstant);

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self(BootInstant::now())
    }

    /// Time since [`Self::start`].
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.0.elapsed().as_micros() as u64)
    }

    /// Wall-clock time for display, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        let passed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        passed.as_millis() as u64
    }
}

/// The active configuration.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    pub revision: Revision,
    pub deployment: Arc<Deployment>,
}

/// State shared by the gateway and the control plane of a node.
pub struct SharedState {
    pub clock: Clock,
    pub node: NodeId,
    pub zone: ZoneName,
    /// The active configuration; empty until the first one is loaded.
    pub configuration: ArcSwapOption<ActiveConfiguration>,
    /// The local view of the fleet, on which requests are routed.
    pub fleet: ArcSwap<FleetView>,
    pub metrics: Metrics,
    pub logger: Logger,
    claim_gate: OnceLock<Box<dyn ClaimGate>>,
    router: Mutex<Router>,
    tenant_limits: Mutex<TenantLimits>,
    retry_budget: Mutex<RetryBudget>,
    decisions: Mutex<DecisionRing>,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight until dropped.
pub struct RequestGuard(Arc<SharedState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl SharedState {
    /// Creates the state of a starting node.
    pub fn new(node: NodeId, zone: ZoneName, logger: Logger, metrics: Metrics) -> Self {
        Self {
            clock: Clock::start(),
            node,
            zone,
            configuration: ArcSwapOption::empty(),
            fleet: ArcSwap::from_pointee(FleetView::default()),
            metrics,
            logger,
            claim_gate: OnceLock::new(),
            router: Mutex::new(Router::new(RouterConfig::default())),
            tenant_limits: Mutex::new(TenantLimits::new(MAX_TENANTS, 1)),
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetConfig::default())),
            decisions: Mutex::new(DecisionRing::new(MAX_DECISIONS)),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Sets the claim gate; later calls have no effect. Without a gate no claims are made.
    pub fn set_claim_gate(&self, gate: Box<dyn ClaimGate>) {
        let _ = self.claim_gate.set(gate);
    }

    /// The claim gate, if one is set.
    pub fn claim_gate(&self) -> Option<&dyn ClaimGate> {
        self.claim_gate.get().map(|gate| &**gate)
    }

    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The tenants' token limits at this node.
    pub fn tenant_limits(&self) -> MutexGuard<'_, TenantLimits> {
        self.tenant_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The retry budget of this node.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn decisions(&self) -> MutexGuard<'_, DecisionRing> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a graceful shutdown has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Admits a request; `None` if a graceful shutdown has begun. The count is incremented before the
    /// flag is read, so that no request is admitted after a shutdown has seen none in flight.
    pub fn enter_request(self: &Arc<Self>) -> Option<RequestGuard> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        let guard = RequestGuard(Arc::clone(self));
        (!self.stopping()).then_some(guard)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Begins a graceful shutdown; `false` if it had already begun.
    pub fn begin_stop(&self) -> bool {
        !self.stopping.swap(true, Ordering::SeqCst)
    }
}

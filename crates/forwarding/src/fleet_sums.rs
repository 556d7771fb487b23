//! Fleet-wide statistics of pools, tenants and engines, as known to this node.
//!
//! The modules that count them set this node's own rows; the module `dissemination::sums` exchanges
//! rows with other nodes. An isolated node knows only its own rows.

use std::cell::RefCell;
use std::time::Duration;

use dalestand_dissemination::EngineCode;
use dalestand_routing::staged::LoadSource;
use dalestand_routing::{
    ClassFigures, SlownessFigures, SourceSums, TenantCode, TenantFigures, WorkKind,
};
use dalestand_types::{MonotonicTime, PoolName};

/// Validity of a row of a pool or a tenant. Reports are at most one second apart, so one lost report
/// changes nothing; the rows of a failed relay leave the sums of all nodes within three seconds,
/// including the hop through another relay.
const DEMAND_TTL: Duration = Duration::from_millis(2_500);

/// Validity of a row of an engine's slowness, which changes slowly; large fleets need several rounds to
/// send all rows.
const SLOWNESS_TTL: Duration = Duration::from_secs(30);

/// One pool and one priority.
pub(crate) type ClassKey = (PoolName, u8);

/// One tenant of a pool at one priority.
pub(crate) type TenantKey = (ClassKey, TenantCode);

/// One engine and kind of work.
pub(crate) type SlownessKey = (EngineCode, WorkKind);

/// Statistics of this node and of other nodes.
pub(crate) struct FleetSums {
    pub(crate) classes: RefCell<SourceSums<ClassKey, ClassFigures>>,
    pub(crate) tenants: RefCell<SourceSums<TenantKey, TenantFigures>>,
    pub(crate) slowness: RefCell<SourceSums<SlownessKey, SlownessFigures>>,
}

impl Default for FleetSums {
    fn default() -> Self {
        Self {
            classes: RefCell::new(SourceSums::new(DEMAND_TTL)),
            tenants: RefCell::new(SourceSums::new(DEMAND_TTL)),
            slowness: RefCell::new(SourceSums::new(SLOWNESS_TTL)),
        }
    }
}

impl FleetSums {
    /// Removes expired rows and updates the totals.
    pub(crate) fn refresh(&self, now: MonotonicTime) {
        self.refresh_demand(now);
        self.slowness.borrow_mut().refresh(now);
    }

    /// Removes expired rows of pools and tenants and updates their totals.
    pub(crate) fn refresh_demand(&self, now: MonotonicTime) {
        self.classes.borrow_mut().refresh(now);
        self.tenants.borrow_mut().refresh(now);
    }

    /// Removes the rows of `source`.
    pub(crate) fn forget_source(&self, source: LoadSource) {
        self.classes.borrow_mut().forget_source(source);
        self.tenants.borrow_mut().forget_source(source);
        self.slowness.borrow_mut().forget_source(source);
    }
}

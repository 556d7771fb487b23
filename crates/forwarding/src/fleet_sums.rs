//! Figures of pools, tenants and engines, as this node knows them of the whole fleet.
//!
//! The parts that count them set this node's own rows; the module `dissemination::sums` sends them and takes in those of
//! others. A node that hears no other knows its own only.

use std::cell::RefCell;
use std::time::Duration;

use dalestand_dissemination::EngineCode;
use dalestand_routing::staged::LoadSource;
use dalestand_routing::{
    ClassFigures, SlownessFigures, SourceSums, TenantCode, TenantFigures, WorkKind,
};
use dalestand_types::{MonotonicTime, PoolName};

/// A row of a pool or a tenant counts for this long. Reports come once a second at least, so that one that is lost
/// changes nothing; and three seconds after a relay is gone, what it reported must have left the sums of all nodes,
/// which pass through another relay.
const DEMAND_COUNTS: Duration = Duration::from_millis(2_500);

/// A row of an engine's slowness counts for this long. It changes slowly, and rows of large fleets go out by turns.
const SLOWNESS_COUNTS: Duration = Duration::from_secs(30);

/// Names the requests of one pool and one priority.
pub(crate) type ClassKey = (PoolName, u8);

/// Names what one tenant asks of one pool at one priority.
pub(crate) type TenantKey = (ClassKey, TenantCode);

/// Names one engine's slowness at one kind of work.
pub(crate) type SlownessKey = (EngineCode, WorkKind);

/// Figures of this node and of the others.
pub(crate) struct FleetSums {
    pub(crate) classes: RefCell<SourceSums<ClassKey, ClassFigures>>,
    pub(crate) tenants: RefCell<SourceSums<TenantKey, TenantFigures>>,
    pub(crate) slowness: RefCell<SourceSums<SlownessKey, SlownessFigures>>,
}

impl Default for FleetSums {
    fn default() -> Self {
        Self {
            classes: RefCell::new(SourceSums::new(DEMAND_COUNTS)),
            tenants: RefCell::new(SourceSums::new(DEMAND_COUNTS)),
            slowness: RefCell::new(SourceSums::new(SLOWNESS_COUNTS)),
        }
    }
}

impl FleetSums {
    /// Forgets rows that have lapsed and adds up the totals.
    pub(crate) fn refresh(&self, now: MonotonicTime) {
        self.refresh_demand(now);
        self.slowness.borrow_mut().refresh(now);
    }

    /// The same for pools and tenants only.
    pub(crate) fn refresh_demand(&self, now: MonotonicTime) {
        self.classes.borrow_mut().refresh(now);
        self.tenants.borrow_mut().refresh(now);
    }

    /// Forgets what `source` reported.
    pub(crate) fn forget(&self, source: LoadSource) {
        self.classes.borrow_mut().forget_source(source);
        self.tenants.borrow_mut().forget_source(source);
        self.slowness.borrow_mut().forget_source(source);
    }
}

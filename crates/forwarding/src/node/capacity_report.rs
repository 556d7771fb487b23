//! Room and demand of all pools as one node knows them, in the form in which operators read them.

use dalestand_routing::{ClassFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::{NodeId, PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// What a node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The node that reports.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Revision of the declaration in force, if there is one.
    pub declaration: Option<Revision>,
    /// Nodes known, the reporting one among them.
    pub nodes_known: usize,
    /// Whose reports the figures rest on beside the node's own counts.
    pub sources: ReportSources,
    /// Age of the newest figures that other nodes reported.
    pub ages: FigureAges,
    /// The pools of the declaration, by name.
    pub pools: Vec<PoolCapacity>,
}

/// Nodes whose reports count now. A member has the sums of the fleet from its relay; a relay has those of its
/// members and of the other relays. A node without any knows its own counts only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportSources {
    /// Members that reported to this node.
    pub members: usize,
    /// Other relays that reported the sums of their members.
    pub relays: usize,
    /// Whether a relay reported the sums of the whole fleet.
    pub fleet: bool,
}

/// Ages in milliseconds; absent where nothing was reported that still counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FigureAges {
    /// Of demand by pool and priority.
    pub demand_ms: Option<u64>,
    /// Of demand by tenant.
    pub tenants_ms: Option<u64>,
    /// Of engines' speeds.
    pub speeds_ms: Option<u64>,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// Its name.
    pub pool: PoolName,
    /// Engines that take new work, by zone and by what they do.
    pub engines: Vec<EngineGroup>,
    /// Slots that requests of all nodes take up.
    pub busy_slots: f32,
    /// Demand by priority; the most urgent first.
    pub classes: Vec<ClassDemand>,
    /// Tenants with the most demand.
    pub tenants: Vec<TenantDemand>,
    /// Tenants that are known and not listed.
    pub tenants_unlisted: usize,
    /// Engines whose speed differs most from the usual.
    pub speeds: Vec<EngineSpeed>,
    /// Engines whose speed differs from the usual and that are not listed.
    pub speeds_unlisted: usize,
    /// What the numbers of engines follow, at the node that orders them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<EngineScaling>,
}

impl PoolCapacity {
    /// Engines that take new work.
    pub fn engine_count(&self) -> usize {
        self.engines.iter().map(|group| group.engines).sum()
    }

    /// Requests that they work on at once.
    pub fn slots(&self) -> u64 {
        self.engines.iter().map(|group| group.slots).sum()
    }
}

/// Numbers of engines as they were last decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineScaling {
    /// On-demand engines wanted in all zones.
    pub on_demand: u32,
    /// Spot engines wanted in all zones.
    pub spot: u32,
    /// What was weighed, as the log has it with an order.
    pub weighed: String,
}

/// Engines of one zone that do the same kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineGroup {
    /// The zone.
    pub zone: ZoneName,
    /// What their role has them do.
    pub work: WorkKind,
    /// Engines.
    pub engines: usize,
    /// Requests that they work on at once.
    pub slots: u64,
}

/// Requests of one priority, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The figures.
    #[serde(flatten)]
    pub figures: ClassFigures,
}

/// What one tenant asks for, summed over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// Its name, where the declaration in force has a tenant of this code.
    pub name: Option<String>,
    /// Its short number.
    pub code: TenantCode,
    /// The figures, in both units in which a pool can be short.
    #[serde(flatten)]
    pub figures: TenantFigures,
}

/// An engine that is slower or faster than usual.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// The engine's run.
    pub engine: String,
    /// Its zone.
    pub zone: ZoneName,
    /// The kind of work.
    pub work: WorkKind,
    /// The time it takes over the usual one: 2 for half the speed.
    pub slowness: f64,
    /// Observations behind it, each counted less the longer ago it was.
    pub observations: f32,
}

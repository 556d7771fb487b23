//! Statistics of pools, tenants and engines in messages between nodes.

use dalestand_routing::{ClassFigures, SlownessFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::loads::EngineCode;
use crate::membership::NodeNumber;

/// Which nodes the statistics of a message cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum SumScope {
    /// The sender, a member.
    Node,
    /// The sender, a relay, and its members.
    Members,
    /// The whole fleet.
    Fleet,
}

/// Statistics of one pool at one priority.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassRow {
    /// The pool.
    pub pool: PoolName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The statistics.
    pub figures: ClassFigures,
}

/// Demand of one tenant for one pool.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TenantRow {
    /// The tenant.
    pub tenant: TenantCode,
    /// The statistics.
    pub figures: TenantFigures,
}

/// Demand of the largest tenants for one pool at one priority.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TenantRows {
    /// The pool.
    pub pool: PoolName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The tenants.
    pub rows: Vec<TenantRow>,
}

/// Slowness of one engine at one kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct SlownessRow {
    /// The engine.
    pub engine: EngineCode,
    /// The kind of work.
    pub kind: WorkKind,
    /// The statistics.
    pub figures: SlownessFigures,
}

/// The rows of one message.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SummedRows {
    /// Per pool and priority.
    Classes(Vec<ClassRow>),
    /// Per tenant of one pool and priority.
    Tenants(TenantRows),
    /// Per engine and kind of work.
    Slowness(Vec<SlownessRow>),
}

/// Statistics that are summed over all nodes. Builds without them ignore the message as unreadable
/// and are missing from the sums of other nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SumsMessage {
    /// The node that sends them.
    pub node: NodeNumber,
    /// Which nodes the statistics cover.
    pub scope: SumScope,
    /// The statistics.
    pub rows: SummedRows,
}

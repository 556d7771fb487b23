//! Figures of pools, tenants and engines on their way between nodes.

use dalestand_routing::{ClassFigures, SlownessFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::loads::EngineCode;
use crate::membership::NodeNumber;

/// Whose figures a message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum SumScope {
    /// Those of the sender, a member.
    Node,
    /// Those of the sender, a relay, and its members.
    Members,
    /// Those of the whole fleet.
    Fleet,
}

/// Requests of one pool and one priority.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassRow {
    /// The pool.
    pub pool: PoolName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The figures.
    pub figures: ClassFigures,
}

/// What one tenant asks of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TenantRow {
    /// The tenant.
    pub tenant: TenantCode,
    /// The figures.
    pub figures: TenantFigures,
}

/// What tenants ask of one pool at one priority: the largest of them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TenantRows {
    /// The pool.
    pub pool: PoolName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The tenants.
    pub rows: Vec<TenantRow>,
}

/// How slow one engine is at one kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct SlownessRow {
    /// The engine.
    pub engine: EngineCode,
    /// The kind of work.
    pub kind: WorkKind,
    /// The figures.
    pub figures: SlownessFigures,
}

/// The figures of one message.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SummedRows {
    /// Of pools.
    Classes(Vec<ClassRow>),
    /// Of tenants.
    Tenants(TenantRows),
    /// Of engines.
    Slowness(Vec<SlownessRow>),
}

/// Figures that add up over all nodes. Nodes of builds without it take it for unreadable: they know the fleet
/// without these figures, and the others know it without theirs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SumsMessage {
    /// The node that sends them.
    pub node: NodeNumber,
    /// Whose figures they are.
    pub scope: SumScope,
    /// The figures.
    pub rows: SummedRows,
}

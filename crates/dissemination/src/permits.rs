//! Rate limits of engines, and permits to send them requests, in messages between nodes.

use dalestand_types::RequestRate;
use serde::{Deserialize, Serialize};

use crate::engine_notices::EngineStart;
use crate::membership::NodeNumber;

/// The request rate that one engine accepts from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimit {
    /// The engine, with the start of its process for which the limit applies.
    pub start: EngineStart,
    /// The limit; `None` if it was lifted.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the engine's answer that stated this. The most recent answer wins.
    pub age_ms: u32,
}

/// Rate limits of engines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimits {
    /// The sender.
    pub node: NodeNumber,
    /// The limits.
    pub limits: Vec<EngineLimit>,
}

/// Why a node contacts the issuer of an engine's permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum PermitNeed {
    /// It asks for a permit to send a request.
    Request,
    /// It reports a call that needs no permit but counts against the limit.
    Counted,
}

/// Asks for permits to send requests to an engine, or reports a call to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PermitRequest {
    /// The requesting node.
    pub node: NodeNumber,
    /// Identifies the request among those of the node.
    pub number: u64,
    /// What the node needs.
    pub need: PermitNeed,
    /// The engine, with its limit as known to the node.
    pub limit: EngineLimit,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PermitAnswer {
    /// Number of the [`PermitRequest`].
    pub number: u64,
    /// Id of the engine.
    pub engine: u64,
    /// Permits granted.
    pub permits: u32,
    /// If none was granted, milliseconds to wait before asking again.
    pub retry_in_ms: u32,
}

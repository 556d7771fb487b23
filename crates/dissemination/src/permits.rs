//! Limits that engines name, and leave to send them requests, as nodes tell each other.

use dalestand_types::RequestRate;
use serde::{Deserialize, Serialize};

use crate::engine_notices::EngineStart;
use crate::membership::NodeNumber;

/// How many requests one engine takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimit {
    /// The engine's start that named it.
    pub start: EngineStart,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// How long ago an answer said so, in milliseconds. What was heard last holds.
    pub age_ms: u32,
}

/// The limits of engines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLimits {
    /// The node that tells.
    pub node: NodeNumber,
    /// The limits.
    pub limits: Vec<EngineLimit>,
}

/// What a node asks of the node that issues an engine's permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum PermitNeed {
    /// Leave to send a request.
    Request,
    /// Nothing: it sends a call that needs no leave, which counts all the same.
    Counted,
}

/// A node asks for leave to send requests to an engine, or tells of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PermitRequest {
    /// The node that asks.
    pub node: NodeNumber,
    /// Names the question among those of the node.
    pub number: u64,
    /// What it is for.
    pub need: PermitNeed,
    /// The engine, with its limit as the node knows it.
    pub limit: EngineLimit,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PermitAnswer {
    /// The question's number.
    pub number: u64,
    /// The engine.
    pub engine: u64,
    /// Permits given.
    pub permits: u32,
    /// Where none was given: after how long to ask again, in milliseconds.
    pub retry_in_ms: u32,
}

//! What goes into a decision and what comes out of it.

use std::time::Duration;

use dalestand_decision::Candidate;
pub use dalestand_types::Placement;
use dalestand_types::{AdapterName, EngineId, ModelName, Priority, ZoneName};

use crate::prefix::PromptBlock;
use crate::view::EngineView;

/// Time left for a request; `None` where there is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deadlines {
    /// Time left to the first token.
    pub first_token: Option<Duration>,
    /// Time left to the end of the answer.
    pub whole: Option<Duration>,
}

/// How far a request has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RoutePhase {
    /// Nothing has run.
    #[default]
    Start,
    /// The prompt has run on this engine, which holds its KV cache for export.
    Prefilled { engine: EngineId },
}

/// What the router must know of a request.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Model asked for.
    pub model: ModelName,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// Zone of the deciding node.
    pub zone: ZoneName,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Leading blocks of the prompt, shortest first.
    pub blocks: Vec<PromptBlock>,
    /// Time left.
    pub deadlines: Deadlines,
    /// Importance.
    pub priority: Priority,
    /// Whether the prompt may run on one engine and the output on another.
    pub may_split: bool,
    /// How far it has come.
    pub phase: RoutePhase,
    /// Engines tried before.
    pub tried: Vec<EngineId>,
}

impl RouteRequest {
    /// A request without deadline that runs on one engine.
    pub fn new(model: ModelName, zone: ZoneName, prompt_tokens: u32, max_tokens: u32) -> Self {
        Self {
            model,
            adapter: None,
            zone,
            prompt_tokens,
            max_tokens,
            blocks: Vec::new(),
            deadlines: Deadlines::default(),
            priority: Priority::default(),
            may_split: false,
            phase: RoutePhase::Start,
            tried: Vec::new(),
        }
    }
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No engine is known that serves the model now.
    NoEngine,
    /// Every engine that serves it is full, as far as is known.
    Full,
    /// No engine is expected to answer within the deadline.
    DeadlineUnreachable,
}

/// Times that the router expects, from now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    /// To the first token.
    pub first_token: Duration,
    /// To the end of the answer.
    pub whole: Duration,
}

/// What was decided.
#[derive(Clone, Debug)]
pub enum RouteDecision {
    /// Send it to this engine.
    Send {
        engine: EngineView,
        placement: Placement,
        expected: Expected,
        candidates: Vec<Candidate>,
    },
    /// Refuse it; tell the caller when to come back.
    Refuse {
        reason: RouteRefusal,
        retry_after: Duration,
        candidates: Vec<Candidate>,
    },
}

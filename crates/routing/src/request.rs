//! Input and output of routing decisions.

use std::time::Duration;

use dalestand_decision::Candidate;
pub use dalestand_types::Placement;
use dalestand_types::{AdapterName, EngineId, ModelName, Priority, ZoneName};

use crate::prefix::PromptBlock;
use crate::view::EngineView;

/// Time left for a request; `None` if there is no deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deadlines {
    /// Time left until the first token.
    pub first_token: Option<Duration>,
    /// Time left until the end of the answer.
    pub whole: Option<Duration>,
}

/// Progress of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RoutePhase {
    /// Nothing has run yet.
    #[default]
    Start,
    /// This engine has prefilled the prompt and holds the KV cache for export.
    Prefilled { engine: EngineId },
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Requested model.
    pub model: ModelName,
    /// Requested adapter.
    pub adapter: Option<AdapterName>,
    /// Zone of the deciding node.
    pub zone: ZoneName,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    pub blocks: Vec<PromptBlock>,
    /// Time left for the request.
    pub deadlines: Deadlines,
    /// Priority; a higher number is more important.
    pub priority: Priority,
    /// Whether prefill and decode may run on different engines.
    pub may_split: bool,
    /// Progress of the request.
    pub phase: RoutePhase,
    /// Engines that were tried before and are excluded.
    pub tried: Vec<EngineId>,
}

impl RouteRequest {
    /// A request without deadlines whose phases run on one engine.
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

/// Why no engine was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No known engine serves the model now.
    NoEngine,
    /// Engines that could serve it are full according to their last reports.
    Full,
    /// The selected engine is not expected to answer within the deadlines.
    DeadlineUnreachable,
}

/// Expected times from the decision on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub whole: Duration,
}

/// A routing decision.
#[derive(Clone, Debug)]
pub enum RouteDecision {
    /// Send the request to this engine.
    Send {
        engine: EngineView,
        placement: Placement,
        expected: Expected,
        candidates: Vec<Candidate>,
    },
    /// Refuse the request and tell the caller when to retry.
    Refuse {
        reason: RouteRefusal,
        retry_after: Duration,
        candidates: Vec<Candidate>,
    },
}

//! Choice of engines for opaque requests, and for prompts whose prefill and decode stages may run on
//! different engines.
//!
//! Callers identify the parts of which their prompts consist, and engines cache the parts that they have
//! prefilled. The router tracks which engine caches which parts ([`PartDirectory`]), the outstanding work
//! of this node and its peers at each engine ([`WorkTable`]), failures ([`EngineHealth`]) and prefill
//! speeds ([`PrefillSpeeds`]). It reads no clock and does no I/O.

mod admission;
mod bounded_map;
mod candidate_sampler;
mod cost;
mod decode_start_times;
mod engine_pool;
mod engine_rate_limits;
mod health;
mod link_queue;
mod part_directory;
mod prefill_speeds;
mod signals;
mod staged_router;
mod unreported_sends;
mod water_filling;
mod work_table;

pub use crate::prefix::rendezvous_weight;
pub use admission::{LatencyEstimate, TimeBounds, rejection_retry_after, response_timeout};
pub use candidate_sampler::CandidateSampler;
pub use decode_start_times::DecodeStartTimes;
pub use engine_pool::{EnginePool, SampleSize};
pub use engine_rate_limits::{EngineRateLimits, LimitChange};
pub use health::{AttemptResult, EngineHealth};
pub use link_queue::LinkQueue;
pub use part_directory::PartDirectory;
pub use prefill_speeds::PrefillSpeeds;
pub use signals::{ClosedReason, ProbeCall, ProbeOutcome, SignalTable};
pub use staged_router::{EngineChoice, PromptPlan, StagedRouter};
pub use unreported_sends::{ExpectedSends, UnreportedSends};
pub use work_table::{EngineWork, LoadSource, ReportSlice, SummedWork, WorkTable};

use std::sync::Arc;

use dalestand_types::ZoneName;

/// A hash of an engine's run name, equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The key of the run with this name.
    pub fn of(run: &str) -> Self {
        Self(crate::prefix::text_hash(run))
    }
}

/// A part of a prompt, as identified by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content; equal parts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The stage of request processing that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Prefills prompts and transfers the resulting KV cache to a decode engine.
    Prefill,
    /// Generates tokens, from a transferred KV cache or after prefilling the prompt itself.
    Decode,
    /// Serves requests that are not prompts.
    Opaque,
}

/// An engine that requests may be routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedEngine {
    /// Key of the run.
    pub key: EngineKey,
    /// Name of the run.
    pub run: Arc<str>,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Stage that it serves.
    pub stage: Stage,
    /// Maximum number of requests it processes concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens; 0 if it has none.
    pub kv_cache_tokens: u64,
}

/// The properties of a request that determine the choice of its engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StagedRequest {
    /// Parts of the prompt, in order; empty for an opaque request.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Size of the KV cache of one token in bytes.
    pub token_bytes: u64,
    /// Bandwidth of the link for KV cache transfers, in megabits per second; 0 if there is none.
    pub link_mbps: f64,
    /// Time to transmit the request once over the node's own link, in seconds.
    pub send_s: f64,
    /// Engines to which the request was sent before.
    pub tried: Vec<EngineKey>,
}

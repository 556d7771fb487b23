//! Choice of engines for opaque requests, and for prompts that may be read on one engine and
//! answered on another.
//!
//! Callers name the parts that their prompts are made of, and engines keep the parts they have
//! read. The router remembers which engine was sent which parts ([`PartDirectory`]), counts the
//! work that this node and its peers have at each engine ([`WorkTable`]), notes how engines fail
//! ([`EngineHealth`]) and learns how fast they read ([`PrefillSpeeds`]). It has no clock and sends
//! nothing.

mod admission;
mod candidates;
mod chooser;
mod cost;
mod health;
mod levelled;
mod link_queue;
mod named_limits;
mod parts;
mod pool;
mod reading;
mod remembered;
mod signals;
mod starts;
mod unreported;
mod work;

pub use crate::prefix::rendezvous_weight;
pub use admission::{LatencyEstimate, TimeBounds, rejection_retry_after, response_timeout};
pub use candidates::CandidateSampler;
pub use chooser::{EngineChoice, PromptPlan, StagedRouter};
pub use health::{AttemptResult, EngineHealth};
pub use link_queue::LinkQueue;
pub use named_limits::{EngineRateLimits, LimitChange};
pub use parts::PartDirectory;
pub use pool::{EnginePool, SampleSize};
pub use reading::PrefillSpeeds;
pub use signals::{ClosedReason, ProbeCall, ProbeOutcome, SignalTable};
pub use starts::DecodeStartTimes;
pub use unreported::{ExpectedSends, UnreportedSends};
pub use work::{EngineWork, LoadSource, ReportSlice, SummedWork, WorkTable};

use std::sync::Arc;

use dalestand_types::ZoneName;

/// A number for an engine's run that all nodes agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The number of the run of this name.
    pub fn of(run: &str) -> Self {
        Self(crate::prefix::text_hash(run))
    }
}

/// A part of a prompt, as the caller names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part; equal parts have equal numbers.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What an engine does with prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts and hands its memory of them on.
    Prefill,
    /// Generates, from another engine's memory or after reading the prompt itself.
    Decode,
    /// Serves requests that are no prompts.
    Opaque,
}

/// An engine that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedEngine {
    /// Its run.
    pub key: EngineKey,
    /// Name of the run.
    pub run: Arc<str>,
    /// Its zone.
    pub zone: ZoneName,
    /// What it does.
    pub stage: Stage,
    /// Requests it works on at once.
    pub slots: u32,
    /// Tokens its memory holds; 0 where it keeps none.
    pub memory_tokens: u64,
}

/// What the choice must know of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StagedRequest {
    /// Parts of the prompt, in order; none for an opaque request.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Bytes of memory of one token.
    pub token_bytes: u64,
    /// Speed of the link over which memory moves, in megabits a second.
    pub link_mbps: f64,
    /// Time that the node's own link takes to carry the request once, in seconds.
    pub send_s: f64,
    /// Runs tried before.
    pub tried: Vec<EngineKey>,
}

//! Generation requests and the frames, refusals and results that answer them.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{AdapterName, Incarnation, ModelName, Revision, TenantName};

/// Defines a random 128-bit identifier written as 32 hexadecimal digits.
macro_rules! random_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(HexVisitor).map(Self)
            }
        }
    };
}

/// Parses a 128-bit hexadecimal number from borrowed text without an allocation, since every token frame
/// carries one.
struct HexVisitor;

impl Visitor<'_> for HexVisitor {
    type Value = u128;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("hexadecimal digits")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<u128, E> {
        u128::from_str_radix(text, 16).map_err(E::custom)
    }
}

random_identifier!(
    /// Identifies a caller's request; shared by all attempts to serve it.
    RequestId
);
random_identifier!(
    /// Identifies one attempt to run a request on one engine; carried by each frame.
    AttemptId
);

/// Low bits of a request identifier that are random; the tag of the node that received the request is
/// above them.
const REQUEST_RANDOM_BITS: u32 = 96;

impl RequestId {
    /// Builds an identifier that contains the tag of the node that received the request, so that any node can
    /// find the one that keeps its record.
    pub fn new(node_tag: u32, random: u128) -> Self {
        let random = random & ((1 << REQUEST_RANDOM_BITS) - 1);
        Self(u128::from(node_tag) << REQUEST_RANDOM_BITS | random)
    }

    /// Tag of the node that received the request; see [`crate::NodeId::tag`].
    pub fn node_tag(self) -> u32 {
        (self.0 >> REQUEST_RANDOM_BITS) as u32
    }
}

/// Priority of a request; a higher number is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A request as it is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Identifier of this attempt; the engine runs an attempt at most once.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply.
    pub adapter: Option<AdapterName>,
    /// The tenant on whose behalf it runs.
    pub tenant: Option<TenantName>,
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Number of output tokens that the caller already has; generation resumes after them.
    pub resume_from: u32,
    pub priority: Priority,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Configuration under which it was routed.
    pub revision: Revision,
    /// Incarnation of the engine that the request was routed to, if known.
    pub incarnation: Option<Incarnation>,
    /// Idempotency key under which the request may run at most once; `None` if the request may be repeated.
    pub once_key: Option<String>,
    /// Where to import the prompt's KV cache from; `None` if the engine prefills the prompt itself.
    pub import_from: Option<CacheHandle>,
    /// Whether to prefill the prompt only and keep its KV cache for export.
    pub prefill_only: bool,
}

/// Identifies the KV cache of a prompt that an engine prefilled and holds for export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheHandle {
    /// HTTP address of the engine that holds the cache.
    pub address: SocketAddr,
    /// The attempt that prefilled the prompt there.
    pub attempt: AttemptId,
}

/// Which phases of a request an engine is to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill only; the engine that decodes is chosen separately.
    PrefillOnly,
    /// Import the prompt's KV cache and decode.
    DecodeOnly,
}

/// Token counts of a finished request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated, including those before `resume_from`.
    pub completion_tokens: u32,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The answer was complete.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// One frame of an engine's response stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum GenerationFrame {
    /// One output token. Positions start at 0 and increase by one.
    Token {
        attempt: AttemptId,
        position: u32,
        text: String,
    },
    /// End of a prefill-only attempt: the prompt's KV cache is held for export.
    Prefilled { attempt: AttemptId, usage: Usage },
    /// End of a complete answer; `tokens` is its number of output tokens.
    Finished {
        attempt: AttemptId,
        tokens: u32,
        reason: FinishReason,
        usage: Usage,
    },
    /// End of an attempt that the engine could not complete.
    Failed { attempt: AttemptId, message: String },
}

impl GenerationFrame {
    /// The attempt that the frame belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Token { attempt, .. }
            | Self::Prefilled { attempt, .. }
            | Self::Finished { attempt, .. }
            | Self::Failed { attempt, .. } => *attempt,
        }
    }

    /// Whether this frame ends the attempt.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }
}

/// Why an engine refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The engine's request limit is reached.
    Full,
    /// The engine is changing its role or draining.
    OutOfService,
    /// The engine's role does not run this phase.
    WrongRole,
    /// The model or adapter is not loaded.
    NotLoaded,
    /// The engine's incarnation is not the one that the request names.
    OtherIncarnation,
    /// The KV cache to import is no longer held.
    CacheNotFound,
    /// This attempt or this idempotency key has already run.
    AlreadyRun,
}

/// An engine's refusal: the request did not run there (except for `AlreadyRun`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub reason: RefusalReason,
    /// Time until the engine expects to accept another request, in milliseconds.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Time to wait before retrying.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }
}

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No engine ran it.
    NotRun,
    /// It ran and its complete answer was delivered.
    Complete,
    /// It may have run, completely or partially.
    Unknown,
}

impl RunState {
    /// The value used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Complete => "complete",
            Self::Unknown => "unknown",
        }
    }
}

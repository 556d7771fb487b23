//! Requests for generation and what comes back.

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

/// Reads 128 bits in hexadecimal digits from borrowed text: frames carry one for each token.
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
    /// A caller's request; the same over all attempts to serve it.
    RequestId
);
random_identifier!(
    /// One attempt to run a request on one engine; frames name it.
    AttemptId
);

/// Bits of a request's identifier below the tag of the node that took it in.
const REQUEST_RANDOM_BITS: u32 = 96;

impl RequestId {
    /// An identifier that names the node which took the request in, so that any node can find the
    /// one that keeps its record.
    pub fn new(node_tag: u32, random: u128) -> Self {
        let random = random & ((1 << REQUEST_RANDOM_BITS) - 1);
        Self(u128::from(node_tag) << REQUEST_RANDOM_BITS | random)
    }

    /// Tag of the node that took the request in; see [`crate::NodeId::tag`].
    pub fn node_tag(self) -> u32 {
        (self.0 >> REQUEST_RANDOM_BITS) as u32
    }
}

/// Importance of a request; a higher number goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A request as an engine takes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// The caller's request.
    pub request: RequestId,
    /// This attempt; the engine runs an attempt at most once.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply.
    pub adapter: Option<AdapterName>,
    /// The tenant on whose behalf it runs.
    pub tenant: Option<TenantName>,
    /// The prompt's text.
    pub prompt: String,
    /// Most output tokens to generate.
    pub max_tokens: u32,
    /// Output tokens the caller already holds; generation goes on after them.
    pub resume_from: u32,
    /// Importance.
    pub priority: Priority,
    /// Time left until the answer is of no use, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Configuration under which it was routed.
    pub revision: Revision,
    /// The run of the engine it is meant for, where known.
    pub incarnation: Option<Incarnation>,
    /// The key under which the request may run at most once, where it may not be repeated.
    pub once_key: Option<String>,
    /// Where to import the KV cache of the prompt from; the prompt is run here if absent.
    pub import_from: Option<CacheHandle>,
    /// Run only the prompt and keep its KV cache for export.
    pub prefill_only: bool,
}

/// Names the KV cache of a prompt that an engine ran and holds for export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheHandle {
    /// The engine that holds it.
    pub address: SocketAddr,
    /// The attempt that ran the prompt there.
    pub attempt: AttemptId,
}

/// What an engine is to do with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Run all of it.
    #[default]
    Whole,
    /// Run the prompt only; another decision names the engine for the output.
    PrefillOnly,
    /// Import the prompt's KV cache and generate the output.
    DecodeOnly,
}

/// Token counts of a finished request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated, including those before a resume.
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

/// One frame of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum GenerationFrame {
    /// One output token. Positions start at 0 and rise by one.
    Token {
        attempt: AttemptId,
        position: u32,
        text: String,
    },
    /// The prompt has run and its KV cache is held for export: the end of a prefill-only attempt.
    Prefilled { attempt: AttemptId, usage: Usage },
    /// The whole answer has been sent; `tokens` is the count of its tokens.
    Finished {
        attempt: AttemptId,
        tokens: u32,
        reason: FinishReason,
        usage: Usage,
    },
    /// The engine gave up.
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

    /// Whether no frame of the attempt follows this one.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }
}

/// Why an engine took no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No room for another request.
    Full,
    /// Out of service for a role change, or draining.
    OutOfService,
    /// Its role does not run this phase.
    WrongRole,
    /// The model or adapter is not loaded.
    NotLoaded,
    /// The engine's run is not the one the request names.
    OtherIncarnation,
    /// The KV cache to import is not held any more.
    CacheNotFound,
    /// This attempt, or this key that may run once, was run before.
    AlreadyRun,
}

/// An engine's refusal: the request did not run there (except for `AlreadyRun`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When room is expected, in milliseconds.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// When to come back.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }
}

/// What is known of whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It is certain that no engine ran it.
    NotRun,
    /// It ran and the whole answer was delivered.
    Complete,
    /// It may have run, in whole or in part.
    Unknown,
}

impl RunState {
    /// The word used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Complete => "complete",
            Self::Unknown => "unknown",
        }
    }
}

//! Roles of engines.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefills prompts and transfers their KV caches to decode engines.
    Prefill,
    /// Decodes from imported KV caches.
    Decode,
    /// Prefills and decodes.
    Mixed,
}

impl Role {
    /// All roles, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Mixed];

    /// Whether engines of this role prefill prompts.
    pub fn runs_prefill(self) -> bool {
        matches!(self, Self::Prefill | Self::Mixed)
    }

    /// Whether engines of this role decode.
    pub fn runs_decode(self) -> bool {
        matches!(self, Self::Decode | Self::Mixed)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Mixed => "mixed",
        })
    }
}

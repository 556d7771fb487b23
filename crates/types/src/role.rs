//! The work an engine is set up for.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs prompts and hands the KV cache on to a decode engine.
    Prefill,
    /// Generates output from an imported KV cache.
    Decode,
    /// Runs both phases of a request.
    Mixed,
}

impl Role {
    /// All roles, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Mixed];

    /// Whether an engine of this role runs prompts.
    pub fn runs_prefill(self) -> bool {
        matches!(self, Self::Prefill | Self::Mixed)
    }

    /// Whether an engine of this role generates output.
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

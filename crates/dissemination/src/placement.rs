//! Prompts processed and cached by engines, in messages between nodes.

use serde::{Deserialize, Serialize};

use crate::loads::EngineCode;

/// Progress of a prompt at an engine. Encoded as one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum PlacementState {
    /// The prompt was sent to the engine.
    Sent,
    /// The engine has prefilled it.
    Prefilled,
    /// The engine will not prefill it.
    NotPrefilled,
}

impl From<PlacementState> for u8 {
    fn from(state: PlacementState) -> Self {
        match state {
            PlacementState::Sent => 0,
            PlacementState::Prefilled => 1,
            PlacementState::NotPrefilled => 2,
        }
    }
}

impl TryFrom<u8> for PlacementState {
    type Error = UnknownPlacementState;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        match number {
            0 => Ok(Self::Sent),
            1 => Ok(Self::Prefilled),
            2 => Ok(Self::NotPrefilled),
            _ => Err(UnknownPlacementState(number)),
        }
    }
}

/// The byte does not encode a placement state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no placement state has the number {0}")]
pub struct UnknownPlacementState(u8);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlacedPart {
    /// Id of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// One prompt placed on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Placement {
    /// The engine.
    pub engine: EngineCode,
    /// Progress of the prompt.
    pub state: PlacementState,
    /// The parts that other prompts may share, in order.
    pub parts: Vec<PlacedPart>,
    /// Tokens of the part that is specific to this request or its session. They occupy the engine's
    /// memory, but only the session's own node reuses them.
    pub own_tokens: u32,
}

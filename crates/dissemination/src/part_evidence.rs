//! Evidence against prompt parts that crash engines, in messages between nodes.

use dalestand_quarantine::{PartCompletion, PartCrash};
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// Crashes and completions of requests by the parts of their prompts. Sent several times; the receiver deduplicates them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PartEvidence {
    /// The sender.
    pub node: NodeNumber,
    /// Requests that were unfinished when their engines ended.
    pub crashes: Vec<PartCrash>,
    /// Parts with which requests completed after or shortly before a crash.
    pub completions: Vec<PartCompletion>,
}

impl PartEvidence {
    /// No evidence, from `node`.
    pub fn empty(node: NodeNumber) -> Self {
        Self {
            node,
            crashes: Vec::new(),
            completions: Vec::new(),
        }
    }
}

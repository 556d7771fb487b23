//! Answers kept by the node that served them, for callers that repeat a key.

use std::collections::{HashMap, VecDeque};

use dalestand_gateway::KeptAnswer;
use dalestand_types::{NodeId, RequestId};

/// Longest answer that is kept, in bytes of text.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Most bytes of text kept in all.
const MAX_TOTAL_BYTES: usize = 4 << 20;

/// Most owners remembered; about 100 bytes each.
const MAX_OWNERS: usize = 20_000;

/// The last answers, within a bound.
#[derive(Default)]
pub(crate) struct KeptAnswers {
    answers: HashMap<RequestId, KeptAnswer>,
    by_age: VecDeque<RequestId>,
    bytes: usize,
}

impl KeptAnswers {
    /// Keeps an answer, and drops older ones beyond the bound.
    pub(crate) fn keep(&mut self, request: RequestId, answer: KeptAnswer) {
        if answer.text.len() > MAX_ANSWER_BYTES || self.answers.contains_key(&request) {
            return;
        }
        self.bytes += answer.text.len();
        self.answers.insert(request, answer);
        self.by_age.push_back(request);
        while self.bytes > MAX_TOTAL_BYTES
            && let Some(oldest) = self.by_age.pop_front()
        {
            let dropped = self.answers.remove(&oldest);
            self.bytes -= dropped.map_or(0, |answer| answer.text.len());
        }
    }

    /// The answer to a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<KeptAnswer> {
        self.answers.get(&request).cloned()
    }
}

/// Which node runs a claimed request, as its shard's leader knows it.
#[derive(Default)]
pub(crate) struct Owners {
    owners: HashMap<RequestId, NodeId>,
    by_age: VecDeque<RequestId>,
}

impl Owners {
    /// Remembers a request's node, and forgets older ones beyond the bound.
    pub(crate) fn put(&mut self, request: RequestId, node: NodeId) {
        if self.owners.insert(request, node).is_none() {
            self.by_age.push_back(request);
        }
        while self.by_age.len() > MAX_OWNERS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.owners.remove(&oldest);
        }
    }

    /// The node of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<NodeId> {
        self.owners.get(&request).cloned()
    }
}

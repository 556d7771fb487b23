//! Two bounded caches: the recent answers of this node, for callers that repeat an idempotency key,
//! and which node runs each claimed request.

use std::collections::{HashMap, VecDeque};

use dalestand_gateway::KeptAnswer;
use dalestand_types::{NodeId, RequestId};

/// Size limit of a kept answer, in bytes of text.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of bytes of text kept in total.
const MAX_TOTAL_BYTES: usize = 4 << 20;

/// Maximum number of owners kept; an owner takes about 100 bytes.
const MAX_OWNERS: usize = 20_000;

/// The most recent answers, up to a total size.
#[derive(Default)]
pub(crate) struct KeptAnswers {
    answers: HashMap<RequestId, KeptAnswer>,
    by_age: VecDeque<RequestId>,
    bytes: usize,
}

impl KeptAnswers {
    /// Keeps an answer unless it is too long, and drops the oldest ones beyond the total size.
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

    pub(crate) fn get(&self, request: RequestId) -> Option<KeptAnswer> {
        self.answers.get(&request).cloned()
    }
}

/// The nodes that run claimed requests, known to the leaders of their shards.
#[derive(Default)]
pub(crate) struct Owners {
    owners: HashMap<RequestId, NodeId>,
    by_age: VecDeque<RequestId>,
}

impl Owners {
    /// Records the node of a request, and drops the oldest entries beyond [`MAX_OWNERS`].
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

    /// The node that runs or ran a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<NodeId> {
        self.owners.get(&request).cloned()
    }
}

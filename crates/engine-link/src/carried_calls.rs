//! The calls that a connection has carried.
//!
//! An answer names its request, but not which call of it. As an engine may send an answer again in place of a later one, a
//! connection carries at most one call of a request: the connection and the request together identify the call.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// A connection is closed after this many calls, which bounds what it remembers of them.
const MAX_CALLS: usize = 1_024;

/// What the answer to a call is recognised by: the id of its request. Two calls with the same key never use the same connection.
///
/// Different requests may share a key, at the cost of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallKey(u64);

impl CallKey {
    /// The key of a call for the request with this id; `None` for a call without one, whose answer is recognised by nothing else
    /// than its connection.
    pub fn new(request_id: Option<&str>) -> Self {
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The keys of the calls that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedCalls(Vec<CallKey>);

impl CarriedCalls {
    pub(crate) fn contains(&self, key: CallKey) -> bool {
        self.0.contains(&key)
    }

    pub(crate) fn record(&mut self, key: CallKey) {
        self.0.push(key);
    }

    /// Whether the connection must not carry further calls.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_CALLS
    }
}

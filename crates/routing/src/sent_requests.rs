//! Tracks the requests that this node has sent to engines, to correct their reports for newer ones.

use std::collections::HashMap;

use dalestand_types::{EngineId, ModelName, MonotonicTime, PoolName, Role};

use crate::request::Placement;
use crate::view::EngineView;

/// A request sent to an engine, with what the router needs to learn from its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    pub(crate) number: u64,
    pub(crate) engine: EngineId,
    pub(crate) pool: PoolName,
    pub(crate) role: Role,
    pub(crate) model: ModelName,
    pub(crate) placement: Placement,
    pub(crate) sent_at: MonotonicTime,
    pub(crate) first_token_at: Option<MonotonicTime>,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix_tokens: u32,
    pub(crate) max_tokens: u32,
    /// Prompt tokens that the engine had to prefill before the first token, including the request's own.
    pub(crate) tokens_ahead: f64,
    /// Requests at the engine, including this one.
    pub(crate) held: f64,
    /// Share of the engine's time that prefills took.
    pub(crate) prefill_share: f64,
    /// Whether requests were waiting for a place in the engine's batch.
    pub(crate) queued: bool,
}

/// Outcome of a request that was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Output tokens of a complete answer; `None` if it was refused, interrupted or cancelled.
    pub output_tokens: Option<u32>,
    /// Prompt tokens found in the prefix cache, if the engine reported it.
    pub cached_tokens: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct UnreportedRequest {
    number: u64,
    sent_at: MonotonicTime,
    prompt_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct EngineRequests {
    in_flight: u32,
    unreported: Vec<UnreportedRequest>,
}

/// Work of this node at an engine, including what the engine's last report does not show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnWork {
    /// All requests of this node at the engine.
    pub(crate) in_flight: u32,
    /// Requests sent since the report was made.
    pub(crate) requests: u32,
    /// Prompt tokens of the requests sent since the report was made.
    pub(crate) prompt_tokens: u64,
}

/// This node's requests by engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequests {
    engines: HashMap<EngineId, EngineRequests>,
    next_number: u64,
}

impl SentRequests {
    /// A number for the next ticket.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Records that a request was sent.
    pub(crate) fn insert(&mut self, ticket: &Ticket, engine: &EngineView) {
        let requests = self.engines.entry(ticket.engine.clone()).or_default();
        requests.in_flight += 1;
        // Requests sent before the report are included in it.
        let reported_at = engine.reported_at;
        requests
            .unreported
            .retain(|request| request.sent_at >= reported_at);
        requests.unreported.push(UnreportedRequest {
            number: ticket.number,
            sent_at: ticket.sent_at,
            prompt_tokens: match ticket.placement {
                Placement::DecodeOnly => 0,
                _ => ticket.prompt_tokens.saturating_sub(ticket.prefix_tokens),
            },
        });
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, ticket: &Ticket) {
        let Some(requests) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        requests
            .unreported
            .retain(|request| request.number != ticket.number);
        requests.in_flight = requests.in_flight.saturating_sub(1);
        if requests.in_flight == 0 {
            self.engines.remove(&ticket.engine);
        }
    }

    /// This node's work at an engine, relative to the engine's report.
    pub(crate) fn own_work(&self, engine: &EngineView) -> OwnWork {
        let Some(requests) = self.engines.get(&engine.engine) else {
            return OwnWork::default();
        };
        let unreported = requests
            .unreported
            .iter()
            .filter(|request| request.sent_at >= engine.reported_at);
        let mut work = OwnWork {
            in_flight: requests.in_flight,
            ..OwnWork::default()
        };
        for request in unreported {
            work.requests += 1;
            work.prompt_tokens += u64::from(request.prompt_tokens);
        }
        work
    }
}

//! What this node itself has sent to engines since their last reports.

use std::collections::HashMap;

use dalestand_types::{EngineId, ModelName, MonotonicTime, PoolName, Role};

use crate::request::Placement;
use crate::view::EngineView;

/// A request sent to an engine, as the router needs it when it is over.
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
    /// Prompt tokens queued before it, with its own.
    pub(crate) tokens_ahead: f64,
    /// Requests the engine held, with itself.
    pub(crate) held: f64,
    /// Share of the engine's time that prompts took.
    pub(crate) prompt_share: f64,
    /// Whether requests were waiting for a place in the batch.
    pub(crate) queued: bool,
}

/// How a request that was sent came out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Output tokens of a whole answer; `None` if it was refused, cut or cancelled.
    pub output_tokens: Option<u32>,
    /// Prompt tokens found in the prefix cache, where the engine said so.
    pub cached_tokens: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Unreported {
    number: u64,
    sent_at: MonotonicTime,
    prompt_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct EngineTrack {
    in_flight: u32,
    unreported: Vec<Unreported>,
}

/// Work of this node that an engine's last report does not show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnWork {
    /// All requests of this node at the engine.
    pub(crate) in_flight: u32,
    /// Those sent since the report was made.
    pub(crate) requests: u32,
    /// Prompt tokens of those.
    pub(crate) prompt_tokens: u64,
}

/// Requests of this node by engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tracks {
    engines: HashMap<EngineId, EngineTrack>,
    next_number: u64,
}

impl Tracks {
    /// A number for the next ticket.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self, ticket: &Ticket, engine: &EngineView) {
        let track = self.engines.entry(ticket.engine.clone()).or_default();
        track.in_flight += 1;
        // What a report shows needs no correction any more.
        let reported_at = engine.reported_at;
        track.unreported.retain(|one| one.sent_at >= reported_at);
        track.unreported.push(Unreported {
            number: ticket.number,
            sent_at: ticket.sent_at,
            prompt_tokens: match ticket.placement {
                Placement::DecodeOnly => 0,
                _ => ticket.prompt_tokens.saturating_sub(ticket.prefix_tokens),
            },
        });
    }

    /// Notes that a request is over.
    pub(crate) fn finished(&mut self, ticket: &Ticket) {
        let Some(track) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        track.unreported.retain(|one| one.number != ticket.number);
        track.in_flight = track.in_flight.saturating_sub(1);
        if track.in_flight == 0 {
            self.engines.remove(&ticket.engine);
        }
    }

    /// Own work that the engine's report does not show.
    pub(crate) fn own_work(&self, engine: &EngineView) -> OwnWork {
        let Some(track) = self.engines.get(&engine.engine) else {
            return OwnWork::default();
        };
        let unreported = track
            .unreported
            .iter()
            .filter(|one| one.sent_at >= engine.reported_at);
        let mut work = OwnWork {
            in_flight: track.in_flight,
            ..OwnWork::default()
        };
        for one in unreported {
            work.requests += 1;
            work.prompt_tokens += u64::from(one.prompt_tokens);
        }
        work
    }
}

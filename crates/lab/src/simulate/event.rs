//! Events in virtual time, in a deterministic order.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

use dalestand_types::{GroupDigest, Role};

use super::node::TokenRates;

/// Feedback that a node receives about an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AttemptSignal {
    /// The first token was generated; `cached` prompt tokens were in the prefix cache.
    FirstToken { cached: u32 },
    /// The response is complete.
    Finished,
    /// The prompt of a disaggregated request is prefilled.
    Prefilled { cached: u32 },
    /// The engine rejected the attempt.
    Refused,
    /// The engine could not be reached; nothing was sent.
    Unreachable,
    /// The connection broke; the attempt may have run.
    ConnectionLost,
    /// The KV cache to import no longer exists; no output was generated.
    ImportFailed,
}

/// A simulation event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A request arrives at its node.
    RequestArrive { request: usize },
    /// A node tries again to find an engine for a request.
    Redispatch { request: usize },
    /// A rejected caller sends its request again.
    CallerRetry { request: usize },
    /// An attempt arrives at its engine.
    AttemptArrive { attempt: usize },
    /// An engine's step ends.
    StepEnd { engine: usize, generation: u64 },
    /// The import of a KV cache is complete.
    ImportEnd {
        attempt: usize,
        exporter: (usize, u64),
    },
    /// A signal about an attempt arrives at its node.
    SignalArrive {
        attempt: usize,
        signal: AttemptSignal,
    },
    /// A group's digest is due.
    DigestDue { group: usize },
    /// A digest arrives at a node.
    NodeDigest {
        node: usize,
        group: usize,
        digest: Rc<GroupDigest>,
        rates: Rc<[TokenRates]>,
    },
    /// A digest arrives at the lease holder of a group.
    HolderDigest {
        holder: usize,
        digest: Rc<GroupDigest>,
    },
    /// A group's plan is due.
    PlanDue { group: usize },
    /// A role order arrives at an engine.
    RoleOrder { engine: usize, role: Role },
    /// A role change ends.
    RoleChangeEnd { engine: usize, generation: u64 },
    /// An engine crashes.
    Crash { engine: usize, downtime_us: u64 },
    /// A crashed engine starts to load its weights.
    Restart { engine: usize },
    /// A restarted engine has loaded its weights and serves again.
    WeightsLoaded { engine: usize, generation: u64 },
}

#[derive(Clone, Debug)]
struct Scheduled {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// Queue of scheduled events; events at the same time are ordered by when they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    next_number: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn schedule(&mut self, at_us: u64, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Reverse(Scheduled {
            at_us,
            number,
            event,
        }));
    }

    /// The next event and its time.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at_us, scheduled.event))
    }
}

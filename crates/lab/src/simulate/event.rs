//! Events of virtual time, in an order that depends on nothing else.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

use dalestand_types::{GroupDigest, Role};

use super::node::TokenRates;

/// What a node hears of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Signal {
    /// The first token; how many prompt tokens were in the prefix cache.
    FirstToken { cached: u32 },
    /// The whole answer.
    Finished,
    /// The prompt of a request whose output runs elsewhere is done.
    Prefilled { cached: u32 },
    /// The engine took nothing.
    Refused,
    /// No connection could be made: nothing was sent.
    NotReached,
    /// The connection broke.
    Broken,
    /// The KV cache to import was gone: nothing of the answer ran.
    ImportFailed,
}

/// Something that happens.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller's request comes to its node.
    Arrive { request: usize },
    /// A node looks for an engine again.
    Redispatch { request: usize },
    /// A refused caller comes back.
    Return { request: usize },
    /// An attempt comes to its engine.
    Receive { attempt: usize },
    /// An engine's step ends.
    StepEnd { engine: usize, generation: u64 },
    /// A KV cache has come in.
    Imported {
        attempt: usize,
        exporter: (usize, u64),
    },
    /// A node hears of an attempt.
    Hear { attempt: usize, signal: Signal },
    /// A group's digest is due.
    DigestDue { group: usize },
    /// A digest comes to a node.
    Digest {
        node: usize,
        group: usize,
        digest: Rc<GroupDigest>,
        rates: Rc<[TokenRates]>,
    },
    /// A digest comes to the holder of a group's lease.
    HolderDigest {
        holder: usize,
        digest: Rc<GroupDigest>,
    },
    /// A group's plan is due.
    PlanDue { group: usize },
    /// A role order comes to an engine.
    Order { engine: usize, role: Role },
    /// A role change ends.
    ChangeEnd { engine: usize, generation: u64 },
    /// An engine crashes.
    Crash { engine: usize, out_us: u64 },
    /// A crashed engine starts to load its weights.
    Restart { engine: usize },
    /// It serves again.
    Loaded { engine: usize, generation: u64 },
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

/// Events to come; those of the same time happen in the order in which they were scheduled.
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

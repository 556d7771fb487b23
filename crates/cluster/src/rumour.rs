//! News under way: each item is sent a limited number of times, urgent ones first and often.
//!
//! When a fleet starts or a cut heals, every member is news at once. Those items are sent a few
//! times only; whoever missed one finds it when it compares with a peer. A member's death, a new
//! configuration or a drain mark is rare and must reach everyone at once.

use std::collections::BTreeMap;

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::message::ITEM_OVERHEAD_BYTES;
use crate::record::RecordKey;

/// Sends of an urgent item in a fleet of one peer; each doubling of the fleet adds one.
const URGENT_BASE_SENDS: u32 = 3;

/// Sends of an item that is not urgent.
const USUAL_SENDS: u32 = 4;

/// How soon an item must be known everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// At once.
    Urgent,
    /// Within some seconds.
    Usual,
}

/// What an item is about; newer news about the same replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// A member.
    Member(NodeId),
    /// A record.
    Record(RecordKey),
}

struct Rumour {
    encoded: Bytes,
    urgency: Urgency,
    sends: u32,
}

/// News that still has to be sent.
#[derive(Default)]
pub(crate) struct Rumours {
    rumours: BTreeMap<Subject, Rumour>,
}

impl Rumours {
    /// Adds an item in place of older news about the same.
    pub(crate) fn add(&mut self, subject: Subject, urgency: Urgency, encoded: Bytes) {
        let rumour = Rumour {
            encoded,
            urgency,
            sends: 0,
        };
        self.rumours.insert(subject, rumour);
    }

    /// Whether nothing of that urgency is left to send.
    pub(crate) fn has(&self, urgency: Urgency) -> bool {
        self.rumours
            .values()
            .any(|rumour| rumour.urgency == urgency)
    }

    /// Takes items, no less urgent than `least`, for one datagram with `room` bytes left.
    pub(crate) fn take(&mut self, room: usize, least: Urgency, peers: usize) -> Vec<Bytes> {
        let mut order: Vec<(Urgency, u32, &Subject)> = self
            .rumours
            .iter()
            .filter(|(_, rumour)| rumour.urgency <= least)
            .map(|(subject, rumour)| (rumour.urgency, rumour.sends, subject))
            .collect();
        order.sort();
        let mut left = room;
        let mut chosen = Vec::new();
        for (_, _, subject) in order {
            let cost = self.rumours[subject].encoded.len() + ITEM_OVERHEAD_BYTES;
            if cost <= left {
                left -= cost;
                chosen.push(subject.clone());
            }
        }
        chosen
            .into_iter()
            .filter_map(|subject| self.send(subject, peers))
            .collect()
    }

    fn send(&mut self, subject: Subject, peers: usize) -> Option<Bytes> {
        let rumour = self.rumours.get_mut(&subject)?;
        rumour.sends += 1;
        let encoded = rumour.encoded.clone();
        let limit = match rumour.urgency {
            Urgency::Urgent => URGENT_BASE_SENDS + (peers + 1).ilog2(),
            Urgency::Usual => USUAL_SENDS,
        };
        if rumour.sends >= limit {
            self.rumours.remove(&subject);
        }
        Some(encoded)
    }
}

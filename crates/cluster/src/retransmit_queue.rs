//! Queue of gossip items, each of which is transmitted a limited number of times.
//!
//! Urgent items (failed members, new configurations, drain marks) are infrequent; they are sent
//! first and more often, so that gossip alone reaches nearly every node. Normal items are sent a
//! few times only, since all members are announced at once when a fleet starts or a network
//! partition heals; anti-entropy repairs what a node missed.

use std::collections::BTreeMap;

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::message::ITEM_OVERHEAD_BYTES;
use crate::record::RecordKey;

/// Number of transmissions of an urgent item, before one is added for each doubling of the fleet
/// size.
const URGENT_BASE_TRANSMISSIONS: u32 = 3;

const NORMAL_TRANSMISSIONS: u32 = 4;

/// How soon an item must reach all nodes; ordered from most to least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// As soon as possible.
    Urgent,
    /// Within seconds.
    Normal,
}

/// Subject of an item; a newer item replaces the queued one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Member(NodeId),
    Record(RecordKey),
}

struct QueuedItem {
    encoded: Bytes,
    urgency: Urgency,
    transmissions: u32,
}

/// Items that have transmissions left, by subject.
#[derive(Default)]
pub(crate) struct RetransmitQueue {
    items: BTreeMap<Subject, QueuedItem>,
}

impl RetransmitQueue {
    /// Adds an item and replaces the queued one with the same subject.
    pub(crate) fn add(&mut self, subject: Subject, urgency: Urgency, encoded: Bytes) {
        let item = QueuedItem {
            encoded,
            urgency,
            transmissions: 0,
        };
        self.items.insert(subject, item);
    }

    /// Whether an item of this urgency is queued.
    pub(crate) fn has_items(&self, urgency: Urgency) -> bool {
        self.items.values().any(|item| item.urgency == urgency)
    }

    /// Selects items for a datagram and counts a transmission of each: at most `max_bytes` of items
    /// that are at least as urgent as `min_urgency`, the most urgent and least sent ones first.
    pub(crate) fn take(
        &mut self,
        max_bytes: usize,
        min_urgency: Urgency,
        peers: usize,
    ) -> Vec<Bytes> {
        let mut order: Vec<(Urgency, u32, &Subject)> = self
            .items
            .iter()
            .filter(|(_, item)| item.urgency <= min_urgency)
            .map(|(subject, item)| (item.urgency, item.transmissions, subject))
            .collect();
        order.sort();
        let mut remaining = max_bytes;
        let mut chosen = Vec::new();
        for (_, _, subject) in order {
            let cost = self.items[subject].encoded.len() + ITEM_OVERHEAD_BYTES;
            if cost <= remaining {
                remaining -= cost;
                chosen.push(subject.clone());
            }
        }
        chosen
            .into_iter()
            .filter_map(|subject| self.send(subject, peers))
            .collect()
    }

    fn send(&mut self, subject: Subject, peers: usize) -> Option<Bytes> {
        let item = self.items.get_mut(&subject)?;
        item.transmissions += 1;
        let encoded = item.encoded.clone();
        let limit = match item.urgency {
            Urgency::Urgent => URGENT_BASE_TRANSMISSIONS + (peers + 1).ilog2(),
            Urgency::Normal => NORMAL_TRANSMISSIONS,
        };
        if item.transmissions >= limit {
            self.items.remove(&subject);
        }
        Some(encoded)
    }
}

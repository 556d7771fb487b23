//! News under way: each item is sent a limited number of times, the least sent first.

use std::collections::BTreeMap;

use bytes::Bytes;
use dalestand_types::NodeId;

use crate::message::ITEM_OVERHEAD_BYTES;
use crate::record::RecordKey;

/// Sends of an item in a fleet of one peer; each doubling of the fleet adds one.
const BASE_SENDS: u32 = 3;

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
    sends: u32,
}

/// News that still has to be sent.
#[derive(Default)]
pub(crate) struct Rumours {
    rumours: BTreeMap<Subject, Rumour>,
}

impl Rumours {
    /// Adds an item in place of older news about the same.
    pub(crate) fn add(&mut self, subject: Subject, encoded: Bytes) {
        let rumour = Rumour { encoded, sends: 0 };
        self.rumours.insert(subject, rumour);
    }

    /// Whether nothing is left to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Takes items for one datagram with `room` bytes left.
    pub(crate) fn take(&mut self, room: usize, peers: usize) -> Vec<Bytes> {
        let mut order: Vec<(u32, &Subject)> = self
            .rumours
            .iter()
            .map(|(subject, rumour)| (rumour.sends, subject))
            .collect();
        order.sort();
        let mut left = room;
        let mut chosen = Vec::new();
        for (_, subject) in order {
            let cost = self.rumours[subject].encoded.len() + ITEM_OVERHEAD_BYTES;
            if cost <= left {
                left -= cost;
                chosen.push(subject.clone());
            }
        }
        let limit = BASE_SENDS + (peers + 1).ilog2();
        chosen
            .into_iter()
            .filter_map(|subject| self.send(subject, limit))
            .collect()
    }

    fn send(&mut self, subject: Subject, limit: u32) -> Option<Bytes> {
        let rumour = self.rumours.get_mut(&subject)?;
        rumour.sends += 1;
        let encoded = rumour.encoded.clone();
        if rumour.sends >= limit {
            self.rumours.remove(&subject);
        }
        Some(encoded)
    }
}

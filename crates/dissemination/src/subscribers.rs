//! The members that report to a relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::membership::NodeNumber;
use crate::message::IncludedReport;

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    address: SocketAddr,
    sequence: u32,
    last_heard_at: MonotonicTime,
}

/// The members that report to a relay. Silent members are removed.
#[derive(Clone, Debug)]
pub struct Subscribers {
    members: HashMap<NodeNumber, Subscriber>,
    silence_limit: Duration,
}

impl Subscribers {
    /// No members yet. A member that does not report for `silence_limit` is removed.
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            members: HashMap::new(),
            silence_limit,
        }
    }

    /// Records a report; returns whether it is newer than the last one of the member.
    pub fn record_report(
        &mut self,
        now: MonotonicTime,
        node: NodeNumber,
        address: SocketAddr,
        sequence: u32,
    ) -> bool {
        let known = self.members.get(&node);
        // A restarted member counts from the start, so only a small step back is a reordered datagram.
        let is_late = known.is_some_and(|known| {
            let behind = known.sequence.wrapping_sub(sequence);
            known.address == address && behind > 0 && behind < REORDER_WINDOW
        });
        if is_late {
            return false;
        }
        let subscriber = Subscriber {
            address,
            sequence,
            last_heard_at: now,
        };
        self.members.insert(node, subscriber);
        true
    }

    /// Removes members that have not reported within the silence limit.
    pub fn remove_silent(&mut self, now: MonotonicTime) {
        let limit = self.silence_limit;
        self.members
            .retain(|_, member| now.since(member.last_heard_at) <= limit);
    }

    /// Addresses of the members.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.values();
        members.map(|member| member.address).collect()
    }

    /// The newest report of each member.
    pub fn included_reports(&self) -> Vec<IncludedReport> {
        let members = self.members.iter();
        members
            .map(|(node, member)| IncludedReport {
                node: *node,
                sequence: member.sequence,
            })
            .collect()
    }
}

/// A report whose sequence number is behind by less than this was reordered in transit; by more, its
/// sender has restarted. Members report every 50 ms and datagrams are reordered by a few positions.
const REORDER_WINDOW: u32 = 8;

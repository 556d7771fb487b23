//! A relay's side: which members report to it.

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
    heard_at: MonotonicTime,
}

/// The members that report to a relay; nothing of them outlives their silence.
#[derive(Clone, Debug)]
pub struct Subscribers {
    members: HashMap<NodeNumber, Subscriber>,
    silence_limit: Duration,
}

impl Subscribers {
    /// No members yet. One that was not heard of for `silence_limit` is forgotten.
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            members: HashMap::new(),
            silence_limit,
        }
    }

    /// Notes a report; whether it is newer than what was heard of the member.
    pub fn heard(
        &mut self,
        now: MonotonicTime,
        node: NodeNumber,
        address: SocketAddr,
        sequence: u32,
    ) -> bool {
        let known = self.members.get(&node);
        // A member that was restarted counts from the start again, at another place in time.
        let is_late = known.is_some_and(|known| {
            let behind = known.sequence.wrapping_sub(sequence);
            known.address == address && behind > 0 && behind < SEQUENCES_LATE
        });
        if is_late {
            return false;
        }
        let subscriber = Subscriber {
            address,
            sequence,
            heard_at: now,
        };
        self.members.insert(node, subscriber);
        true
    }

    /// Forgets members that were not heard of.
    pub fn sweep(&mut self, now: MonotonicTime) {
        let limit = self.silence_limit;
        self.members
            .retain(|_, member| now.since(member.heard_at) <= limit);
    }

    /// Addresses of the members.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.values();
        members.map(|member| member.address).collect()
    }

    /// The newest report of each member.
    pub fn included(&self) -> Vec<IncludedReport> {
        let members = self.members.iter();
        members
            .map(|(node, member)| IncludedReport {
                node: *node,
                sequence: member.sequence,
            })
            .collect()
    }
}

/// A report that is behind by less than this was overtaken on its way; by more, its member was
/// restarted. Datagrams overtake each other by a few places, and a report goes out every 50 ms.
const SEQUENCES_LATE: u32 = 8;

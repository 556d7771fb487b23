//! Order in which other nodes are asked to open connections to engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use rand::RngExt as _;
use rand::seq::SliceRandom as _;

/// A node that opened a connection is preferred for this time: longer than its connections are reused.
const PREFERENCE_TTL: Duration = Duration::from_secs(10);

/// A node that is cut off itself, or did not answer, is asked again after this time.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(1);

/// A node that carries as much as it can is asked again after this time.
const BUSY_AVOIDANCE: Duration = Duration::from_millis(500);

/// A node that stops, or does not carry connections for this one, is asked again after this time.
const UNWILLING_AVOIDANCE: Duration = Duration::from_secs(5);

/// One in this many orders treats untried nodes of the own zone like those that succeeded, to spread connections.
const EXPLORE_ONE_IN: u32 = 8;

/// A node that may open connections for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Whether it is in this node's zone.
    pub is_own_zone: bool,
}

/// Why a node opened no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// It reaches no engines, or does not answer.
    Unreachable,
    /// It carries as much as it can.
    Busy,
    /// It stops, or does not carry connections for this node.
    Unwilling,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerRecord {
    avoided_until: MonotonicTime,
    succeeded_at: Option<MonotonicTime>,
}

/// Results of asking other nodes.
#[derive(Clone, Debug, Default)]
pub struct PeerRanking {
    records: HashMap<SocketAddr, PeerRecord>,
}

impl PeerRanking {
    /// The first `count` of `peers` to be asked, best first. Nodes to be avoided come last.
    pub fn order(
        &self,
        now: MonotonicTime,
        mut peers: Vec<Peer>,
        count: usize,
        random: &mut impl rand::Rng,
    ) -> Vec<SocketAddr> {
        peers.shuffle(random);
        let explores = random.random_range(0..EXPLORE_ONE_IN) == 0;
        peers.sort_by_key(|peer| {
            let record = self.records.get(&peer.address).copied();
            let record = record.unwrap_or_default();
            let succeeded_at = record.succeeded_at;
            let has_succeeded = succeeded_at.is_some_and(|at| now.since(at) < PREFERENCE_TTL);
            let is_preferred = has_succeeded || (explores && peer.is_own_zone);
            (now < record.avoided_until, !is_preferred, !peer.is_own_zone)
        });
        peers.truncate(count);
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Records that a node opened a connection.
    pub fn record_success(&mut self, now: MonotonicTime, peer: SocketAddr) {
        self.records.insert(
            peer,
            PeerRecord {
                avoided_until: MonotonicTime::ZERO,
                succeeded_at: Some(now),
            },
        );
    }

    /// Records that a node opened none.
    pub fn record_failure(&mut self, now: MonotonicTime, peer: SocketAddr, failure: PeerFailure) {
        let avoidance = match failure {
            PeerFailure::Unreachable => UNREACHABLE_AVOIDANCE,
            PeerFailure::Busy => BUSY_AVOIDANCE,
            PeerFailure::Unwilling => UNWILLING_AVOIDANCE,
        };
        let record = self.records.entry(peer).or_default();
        record.avoided_until = now + avoidance;
        record.succeeded_at = None;
    }

    /// Forgets nodes that are not among `peers`.
    pub fn retain(&mut self, peers: &[Peer]) {
        self.records
            .retain(|address, _| peers.iter().any(|peer| peer.address == *address));
    }
}

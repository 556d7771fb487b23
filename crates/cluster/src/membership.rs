//! The members known to this node, and the precedence of updates about them.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId, ZoneName};

use crate::config::Output;
use crate::record::{Member, MemberState, MemberUpdate};

struct Peer {
    update: MemberUpdate,
    changed_at: MonotonicTime,
}

/// Result of applying a member update.
pub(crate) struct MembershipChange {
    /// The update to gossip, if anything changed.
    pub(crate) update: Option<MemberUpdate>,
    /// Notification for the driver.
    pub(crate) output: Option<Output>,
}

impl MembershipChange {
    const NONE: Self = Self {
        update: None,
        output: None,
    };
}

/// This node and its peers.
pub(crate) struct Membership {
    local: MemberUpdate,
    peers: BTreeMap<NodeId, Peer>,
    live: Vec<Member>,
    live_version: u64,
    zones: BTreeMap<ZoneName, Vec<Member>>,
}

impl Membership {
    /// A membership without peers.
    pub(crate) fn new(me: Member) -> Self {
        let local = MemberUpdate {
            member: me,
            refutation: 0,
            state: MemberState::Alive,
        };
        Self {
            local,
            peers: BTreeMap::new(),
            live: Vec::new(),
            live_version: 0,
            zones: BTreeMap::new(),
        }
    }

    /// This node's own state.
    pub(crate) fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// The live peers, sorted by name.
    pub(crate) fn live(&self) -> &[Member] {
        &self.live
    }

    /// Counter that increases whenever the live peers change.
    pub(crate) fn live_version(&self) -> u64 {
        self.live_version
    }

    /// The live peers of each zone, sorted by name.
    pub(crate) fn zones(&self) -> &BTreeMap<ZoneName, Vec<Member>> {
        &self.zones
    }

    /// The update in effect for a peer.
    pub(crate) fn update(&self, node: &NodeId) -> Option<&MemberUpdate> {
        self.peers.get(node).map(|peer| &peer.update)
    }

    /// The updates in effect for this node and all peers.
    pub(crate) fn updates(&self) -> impl Iterator<Item = &MemberUpdate> {
        let peers = self.peers.values().map(|peer| &peer.update);
        std::iter::once(&self.local).chain(peers)
    }

    /// Members that are down. Any of them may in fact be live on the other side of a network
    /// partition.
    pub(crate) fn down_members(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| peer.update.state == MemberState::Down)
            .map(|peer| &peer.update.member)
    }

    /// Applies an update if it takes precedence over the one in effect.
    pub(crate) fn apply(&mut self, now: MonotonicTime, update: MemberUpdate) -> MembershipChange {
        if update.member.node == self.local.member.node {
            return self.refute(&update);
        }
        let known = self.peers.get(&update.member.node);
        let newer = match known {
            Some(peer) => update.rank() > peer.update.rank(),
            // Does not add a member that was probably removed here after it had been down.
            None => update.state == MemberState::Alive,
        };
        if !newer {
            return MembershipChange::NONE;
        }
        let was_alive = known.is_some_and(|peer| peer.update.state == MemberState::Alive);
        let is_alive = update.state == MemberState::Alive;
        let output = match (was_alive, is_alive) {
            (false, true) => Some(Output::MemberUp(update.member.clone())),
            (true, false) => Some(Output::MemberDown(update.member.node.clone())),
            _ => None,
        };
        let peer = Peer {
            update: update.clone(),
            changed_at: now,
        };
        self.peers.insert(update.member.node.clone(), peer);
        if was_alive || is_alive {
            self.rebuild_live();
        }
        MembershipChange {
            update: Some(update),
            output,
        }
    }

    /// Marks a live peer as down at its known incarnation and refutation.
    pub(crate) fn mark_down(&mut self, now: MonotonicTime, node: &NodeId) -> MembershipChange {
        match self.update(node) {
            Some(update) if update.state == MemberState::Alive => {
                let mut update = update.clone();
                update.state = MemberState::Down;
                self.apply(now, update)
            }
            _ => MembershipChange::NONE,
        }
    }

    /// Marks this node as leaving and returns the update to gossip.
    pub(crate) fn leave(&mut self) -> MemberUpdate {
        self.local.state = MemberState::Left;
        self.local.clone()
    }

    /// Removes members that have not been alive for longer than `after`.
    pub(crate) fn remove_expired_down(&mut self, now: MonotonicTime, after: Duration) {
        self.peers.retain(|_, peer| {
            peer.update.state == MemberState::Alive || now.since(peer.changed_at) < after
        });
    }

    /// Refutes an update that takes precedence over this node's own state. If the update names a
    /// later incarnation, this node moves on to the one after it; this happens when the wall clock,
    /// from which incarnations are taken, was set back before a restart.
    fn refute(&mut self, update: &MemberUpdate) -> MembershipChange {
        if self.local.state == MemberState::Left || update.rank() <= self.local.rank() {
            return MembershipChange::NONE;
        }
        if update.member.incarnation > self.local.member.incarnation {
            self.local.member.incarnation = update.member.incarnation.next();
        }
        self.local.refutation = update.refutation + 1;
        MembershipChange {
            update: Some(self.local.clone()),
            output: None,
        }
    }

    fn rebuild_live(&mut self) {
        let alive = self.peers.values().map(|peer| &peer.update);
        let alive = alive.filter(|update| update.state == MemberState::Alive);
        self.live = alive.map(|update| update.member.clone()).collect();
        self.live_version += 1;
        self.zones.clear();
        for member in &self.live {
            let zone = self.zones.entry(member.zone.clone()).or_default();
            zone.push(member.clone());
        }
    }
}

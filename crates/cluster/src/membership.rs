//! The members as this node knows them, and the rule by which claims replace one another.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId, ZoneName};

use crate::config::Output;
use crate::record::{Member, MemberState, MemberUpdate};

struct Peer {
    update: MemberUpdate,
    changed_at: MonotonicTime,
}

/// What a claim changed.
pub(crate) struct Taken {
    /// The claim to pass on, if there is news.
    pub(crate) news: Option<MemberUpdate>,
    /// What the driver should know.
    pub(crate) output: Option<Output>,
}

impl Taken {
    const NOTHING: Self = Self {
        news: None,
        output: None,
    };
}

/// This node and its peers.
pub(crate) struct Membership {
    me: MemberUpdate,
    peers: BTreeMap<NodeId, Peer>,
    live: Vec<Member>,
    changes: u64,
    zones: BTreeMap<ZoneName, Vec<Member>>,
}

impl Membership {
    /// A node that knows only itself.
    pub(crate) fn new(me: Member) -> Self {
        let me = MemberUpdate {
            member: me,
            refutation: 0,
            state: MemberState::Alive,
        };
        Self {
            me,
            peers: BTreeMap::new(),
            live: Vec::new(),
            changes: 0,
            zones: BTreeMap::new(),
        }
    }

    /// This node.
    pub(crate) fn local(&self) -> &MemberUpdate {
        &self.me
    }

    /// The live peers, by name.
    pub(crate) fn live(&self) -> &[Member] {
        &self.live
    }

    /// Rises whenever the live peers change.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// The live peers of each zone, by name.
    pub(crate) fn zones(&self) -> &BTreeMap<ZoneName, Vec<Member>> {
        &self.zones
    }

    /// What is claimed of a peer.
    pub(crate) fn update(&self, node: &NodeId) -> Option<&MemberUpdate> {
        self.peers.get(node).map(|peer| &peer.update)
    }

    /// What is claimed of this node and every peer.
    pub(crate) fn updates(&self) -> impl Iterator<Item = &MemberUpdate> {
        let peers = self.peers.values().map(|peer| &peer.update);
        std::iter::once(&self.me).chain(peers)
    }

    /// Members that are down; one may be live again behind a cut that has healed.
    pub(crate) fn down_members(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| peer.update.state == MemberState::Down)
            .map(|peer| &peer.update.member)
    }

    /// Takes a claim in.
    pub(crate) fn take(&mut self, now: MonotonicTime, update: MemberUpdate) -> Taken {
        if update.member.node == self.me.member.node {
            return self.hear_of_me(&update);
        }
        let known = self.peers.get(&update.member.node);
        let newer = match known {
            Some(peer) => update.rank() > peer.update.rank(),
            // A claim that a stranger is down would only bring back one that was forgotten.
            None => update.state == MemberState::Alive,
        };
        if !newer {
            return Taken::NOTHING;
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
            self.list_live();
        }
        Taken {
            news: Some(update),
            output,
        }
    }

    /// Claims that a peer, in the run and refutation known here, is down.
    pub(crate) fn call_down(&mut self, now: MonotonicTime, node: &NodeId) -> Taken {
        match self.update(node) {
            Some(update) if update.state == MemberState::Alive => {
                let mut update = update.clone();
                update.state = MemberState::Down;
                self.take(now, update)
            }
            _ => Taken::NOTHING,
        }
    }

    /// Marks this node as one that leaves.
    pub(crate) fn leave(&mut self) -> MemberUpdate {
        self.me.state = MemberState::Left;
        self.me.clone()
    }

    /// Forgets members that have been down for long.
    pub(crate) fn forget_down(&mut self, now: MonotonicTime, after: Duration) {
        self.peers.retain(|_, peer| {
            peer.update.state == MemberState::Alive || now.since(peer.changed_at) < after
        });
    }

    /// Contradicts a claim that this node is down. A claim about a later run (the wall clock that
    /// numbers runs may go back) is outdone by a run later still.
    fn hear_of_me(&mut self, update: &MemberUpdate) -> Taken {
        if self.me.state == MemberState::Left || update.rank() <= self.me.rank() {
            return Taken::NOTHING;
        }
        if update.member.incarnation > self.me.member.incarnation {
            self.me.member.incarnation = update.member.incarnation.next();
        }
        self.me.refutation = update.refutation + 1;
        Taken {
            news: Some(self.me.clone()),
            output: None,
        }
    }

    fn list_live(&mut self) {
        let alive = self.peers.values().map(|peer| &peer.update);
        let alive = alive.filter(|update| update.state == MemberState::Alive);
        self.live = alive.map(|update| update.member.clone()).collect();
        self.changes += 1;
        self.zones.clear();
        for member in &self.live {
            let zone = self.zones.entry(member.zone.clone()).or_default();
            zone.push(member.clone());
        }
    }
}

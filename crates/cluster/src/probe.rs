//! Failure detection: each node probes one member a period, in random order.
//!
//! Only a node whose own rounds (direct and through others) all failed calls a member down.
//! Suspicion is not spread: with a timer at every node that hears of it, false alarms would grow
//! with the fleet.

use std::collections::BTreeMap;

use dalestand_types::{MonotonicTime, NodeId};
use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::config::ClusterConfig;
use crate::membership::Membership;
use crate::record::Member;

struct Probe {
    number: u32,
    started: MonotonicTime,
    rounds: u32,
    next_round: MonotonicTime,
}

/// What the prober wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAction {
    /// Ping a member; from the second round on, through others as well.
    Ping {
        /// The member.
        target: NodeId,
        /// Number of the probe.
        probe: u32,
        /// Whether others are asked, too.
        indirect: bool,
    },
    /// Call a member down.
    CallDown(NodeId),
}

/// The probes under way.
#[derive(Default)]
pub(crate) struct Prober {
    number: u32,
    order: Vec<NodeId>,
    order_of: u64,
    probes: BTreeMap<NodeId, Probe>,
    next_period: MonotonicTime,
}

impl Prober {
    /// Passes time.
    pub(crate) fn tick<R: Rng>(
        &mut self,
        now: MonotonicTime,
        members: &Membership,
        config: &ClusterConfig,
        random: &mut R,
    ) -> Vec<ProbeAction> {
        let live = members.live();
        self.probes.retain(|target, _| is_live(live, target));
        if now >= self.next_period {
            self.next_period = now + config.probe_period;
            self.start_probe(now, members, random);
        }
        let mut actions = Vec::new();
        for (target, probe) in &mut self.probes {
            if now.since(probe.started) >= config.suspicion_timeout {
                actions.push(ProbeAction::CallDown(target.clone()));
            } else if now >= probe.next_round {
                probe.next_round = now + config.probe_retry_interval;
                probe.rounds += 1;
                actions.push(ProbeAction::Ping {
                    target: target.clone(),
                    probe: probe.number,
                    indirect: probe.rounds > 1,
                });
            }
        }
        actions
    }

    /// A member answered.
    pub(crate) fn acknowledged(&mut self, node: &NodeId, number: u32) {
        if self
            .probes
            .get(node)
            .is_some_and(|probe| probe.number == number)
        {
            self.probes.remove(node);
        }
    }

    /// Draws members without repetition until all had their turn or the members changed: one that
    /// has just come must not wait for a turn that takes minutes in a large fleet.
    fn start_probe<R: Rng>(&mut self, now: MonotonicTime, members: &Membership, random: &mut R) {
        let live = members.live();
        if self.order.is_empty() || self.order_of != members.changes() {
            self.order_of = members.changes();
            self.order = live.iter().map(|member| member.node.clone()).collect();
            self.order.shuffle(random);
        }
        let Some(target) = self.order.pop() else {
            return;
        };
        if !is_live(live, &target) || self.probes.contains_key(&target) {
            return;
        }
        self.number = self.number.wrapping_add(1);
        let probe = Probe {
            number: self.number,
            started: now,
            rounds: 0,
            next_round: now,
        };
        self.probes.insert(target, probe);
    }
}

/// Whether the members, which are in the order of their names, have one of that name.
fn is_live(live: &[Member], node: &NodeId) -> bool {
    live.binary_search_by(|member| member.node.cmp(node))
        .is_ok()
}

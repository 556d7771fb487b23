//! Failure detection: each node probes one member per period, in random order.
//!
//! A node marks a member down only if all rounds of its own probe, direct and indirect, failed.
//! Unlike in SWIM, suspicions are not gossiped: if every node ran a suspicion timer, the number of
//! false positives would grow with the fleet.

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

/// An action requested by the prober.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAction {
    /// Ping a member directly and, from the second round on, indirectly as well.
    Ping {
        target: NodeId,
        probe: u32,
        /// Whether other members are asked to ping it as well.
        indirect: bool,
    },
    MarkDown(NodeId),
}

/// The probes in progress, and the random order of the next targets.
#[derive(Default)]
pub(crate) struct Prober {
    last_number: u32,
    order: Vec<NodeId>,
    order_version: u64,
    probes: BTreeMap<NodeId, Probe>,
    next_period: MonotonicTime,
}

impl Prober {
    /// Starts a probe if the period has elapsed and returns the actions that are due.
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
                actions.push(ProbeAction::MarkDown(target.clone()));
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

    /// Ends the probe of a member that answered it.
    pub(crate) fn record_ack(&mut self, node: &NodeId, number: u32) {
        if self
            .probes
            .get(node)
            .is_some_and(|probe| probe.number == number)
        {
            self.probes.remove(node);
        }
    }

    /// Starts to probe the next member of a random order. The order is drawn anew when it is used
    /// up or the live members changed, so that a new member does not wait for a whole cycle, which
    /// takes minutes in a large fleet.
    fn start_probe<R: Rng>(&mut self, now: MonotonicTime, members: &Membership, random: &mut R) {
        let live = members.live();
        if self.order.is_empty() || self.order_version != members.live_version() {
            self.order_version = members.live_version();
            self.order = live.iter().map(|member| member.node.clone()).collect();
            self.order.shuffle(random);
        }
        let Some(target) = self.order.pop() else {
            return;
        };
        if !is_live(live, &target) || self.probes.contains_key(&target) {
            return;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let probe = Probe {
            number: self.last_number,
            started: now,
            rounds: 0,
            next_round: now,
        };
        self.probes.insert(target, probe);
    }
}

/// Whether `live`, which is sorted by name, contains `node`.
fn is_live(live: &[Member], node: &NodeId) -> bool {
    live.binary_search_by(|member| member.node.cmp(node))
        .is_ok()
}

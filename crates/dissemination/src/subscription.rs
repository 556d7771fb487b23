//! A member's side: which relay it reports to, and what it does when it no longer hears it.

use std::cmp::Reverse;
use std::time::Duration;

use dalestand_routing::staged::rendezvous_weight;
use dalestand_types::{MonotonicTime, ZoneName};

use crate::membership::{NodeNumber, Relay};

/// Relays of other zones that are probed beside those of the own zone.
const OTHER_ZONES_PROBED: usize = 2;

/// Where the next report goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// To the relay that the member is subscribed to.
    Subscribed(Relay),
    /// As a probe to these; the first that answers becomes the member's relay.
    Probe(Vec<Relay>),
}

/// A member's subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    node: NodeNumber,
    zone: ZoneName,
    silence_limit: Duration,
    relays: Vec<Relay>,
    current: Option<Relay>,
    heard_at: MonotonicTime,
}

impl Subscription {
    /// A member that knows no relay yet. A relay counts as lost once nothing was heard of it for
    /// `silence_limit`.
    pub fn new(node: NodeNumber, zone: ZoneName, silence_limit: Duration) -> Self {
        Self {
            node,
            zone,
            silence_limit,
            relays: Vec::new(),
            current: None,
            heard_at: MonotonicTime::ZERO,
        }
    }

    /// Notes the relays of the fleet. The member stays with its own, even if it is not named any
    /// more: it finds out by silence.
    pub fn set_relays(&mut self, relays: Vec<Relay>) {
        self.relays = relays;
        let node = self.node;
        self.relays.retain(|relay| relay.number != node);
    }

    /// The relays known, this node left out.
    pub fn relays(&self) -> &[Relay] {
        &self.relays
    }

    /// Notes a table from `relay`; whether the member listens to it. Tables of other relays are
    /// answers to probes that came late.
    pub fn heard(&mut self, now: MonotonicTime, relay: NodeNumber) -> bool {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|current| current.number == relay);
        if !is_current {
            if !self.is_silent(now) {
                return false;
            }
            let Some(found) = self.relays.iter().find(|known| known.number == relay) else {
                return false;
            };
            self.current = Some(found.clone());
        }
        self.heard_at = now;
        true
    }

    /// The relay that the member listens to.
    pub fn current(&self) -> Option<&Relay> {
        self.current.as_ref()
    }

    /// When a relay was last heard; the start of time if none was.
    pub fn heard_at(&self) -> MonotonicTime {
        self.heard_at
    }

    /// Whether no relay is heard.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        self.current.is_none() || now.since(self.heard_at) > self.silence_limit
    }

    /// Where the next report goes: to all relays of the zone and some others while none is heard,
    /// so that one round trip finds one that lives.
    pub fn target(&self, now: MonotonicTime) -> ReportTarget {
        match &self.current {
            Some(current) if !self.is_silent(now) => ReportTarget::Subscribed(current.clone()),
            _ => ReportTarget::Probe(self.probed()),
        }
    }

    fn probed(&self) -> Vec<Relay> {
        let node = self.node;
        let weight = |relay: &&Relay| Reverse(rendezvous_weight(node.0, relay.number.0));
        let (mut own, mut others): (Vec<&Relay>, Vec<&Relay>) = self
            .relays
            .iter()
            .partition(|relay| relay.zone == self.zone);
        own.sort_by_key(weight);
        others.sort_by_key(weight);
        others.truncate(OTHER_ZONES_PROBED);
        own.into_iter().chain(others).cloned().collect()
    }
}

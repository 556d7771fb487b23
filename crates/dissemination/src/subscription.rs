//! A member's side: which relay it reports to, and what it does when it no longer hears it.

use std::cmp::Reverse;
use std::time::Duration;

use dalestand_routing::staged::rendezvous_weight;
use dalestand_types::{MonotonicTime, ZoneName};

use crate::membership::{NodeNumber, Relay};

/// Relays of other zones that are probed beside those of the own zone.
const OTHER_ZONES_PROBED: usize = 2;

/// Relays of other zones are probed once none was heard for this multiple of the time after which one
/// counts as lost: those of the own zone are given the time to answer first. What a member is sent
/// from another zone passes the links between zones, and after a start that is all entries.
const OTHER_ZONES_AFTER: f64 = 1.5;

/// How often a member of a relay in another zone probes one of its own zone.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);

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
    return_probed_at: MonotonicTime,
    return_probes: usize,
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
            return_probed_at: MonotonicTime::ZERO,
            return_probes: 0,
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
    /// answers to probes that came late, unless the member returns to its own zone.
    pub fn heard(&mut self, now: MonotonicTime, relay: NodeNumber) -> bool {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|current| current.number == relay);
        if !is_current {
            let Some(found) = self.relays.iter().find(|known| known.number == relay) else {
                return false;
            };
            let returns = found.zone == self.zone && self.follows_other_zone();
            if !self.is_silent(now) && !returns {
                return false;
            }
            self.current = Some(found.clone());
        }
        self.heard_at = now;
        true
    }

    /// Whether the member listens to a relay of another zone.
    fn follows_other_zone(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.zone != self.zone)
    }

    /// The relay of the own zone that is to be probed now, where the member listens to one of another
    /// zone. Counts as probed.
    pub fn return_probe(&mut self, now: MonotonicTime) -> Option<Relay> {
        let is_due = now.since(self.return_probed_at) >= RETURN_INTERVAL;
        if !self.follows_other_zone() || !is_due {
            return None;
        }
        let own = self.relays.iter().filter(|relay| relay.zone == self.zone);
        let own: Vec<&Relay> = own.collect();
        let probed = (*own.get(self.return_probes % own.len().max(1))?).clone();
        self.return_probed_at = now;
        self.return_probes += 1;
        Some(probed)
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

    /// Where the next report goes: to all relays of the zone while none is heard, and to some others
    /// if that lasts, so that one round trip finds one that lives.
    pub fn target(&self, now: MonotonicTime) -> ReportTarget {
        match &self.current {
            Some(current) if !self.is_silent(now) => ReportTarget::Subscribed(current.clone()),
            _ => ReportTarget::Probe(self.probed(now)),
        }
    }

    fn probed(&self, now: MonotonicTime) -> Vec<Relay> {
        let node = self.node;
        let weight = |relay: &&Relay| Reverse(rendezvous_weight(node.0, relay.number.0));
        let (mut own, mut others): (Vec<&Relay>, Vec<&Relay>) = self
            .relays
            .iter()
            .partition(|relay| relay.zone == self.zone);
        own.sort_by_key(weight);
        others.sort_by_key(weight);
        let unheard = now.since(self.heard_at);
        let is_long = unheard > self.silence_limit.mul_f64(OTHER_ZONES_AFTER);
        let asks_others = own.is_empty() || self.current.is_none() || is_long;
        others.truncate(if asks_others { OTHER_ZONES_PROBED } else { 0 });
        own.into_iter().chain(others).cloned().collect()
    }
}

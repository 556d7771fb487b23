//! A member's subscription to a relay and its search for another when the relay falls silent.

use std::cmp::Reverse;
use std::time::Duration;

use dalestand_routing::staged::rendezvous_weight;
use dalestand_types::{MonotonicTime, ZoneName};

use crate::membership::{NodeNumber, Relay};

/// Relays of other zones that are probed in addition to those of the member's zone.
const MAX_OTHER_ZONE_PROBES: usize = 2;

/// Relays of other zones are probed after this multiple of the silence limit: relays of the
/// member's own zone get time to answer first, because tables from another zone use bandwidth of
/// the links between zones. After a start these are all entries.
const OTHER_ZONES_SILENCE_FACTOR: f64 = 1.5;

/// How often a member that follows a relay of another zone probes one of its own zone.
const HOME_ZONE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Recipients of the next report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// The relay that the member subscribes to.
    Subscribed(Relay),
    /// Relays to probe; the first that answers becomes the member's relay.
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
    last_heard_at: MonotonicTime,
    home_probed_at: MonotonicTime,
    home_probe_count: usize,
}

impl Subscription {
    /// A member without a relay. A relay counts as lost after a silence of `silence_limit`.
    pub fn new(node: NodeNumber, zone: ZoneName, silence_limit: Duration) -> Self {
        Self {
            node,
            zone,
            silence_limit,
            relays: Vec::new(),
            current: None,
            last_heard_at: MonotonicTime::ZERO,
            home_probed_at: MonotonicTime::ZERO,
            home_probe_count: 0,
        }
    }

    /// Sets the relays of the fleet. The current relay is kept until it falls silent, even if it is no
    /// longer among them.
    pub fn set_relays(&mut self, relays: Vec<Relay>) {
        self.relays = relays;
        let node = self.node;
        self.relays.retain(|relay| relay.number != node);
    }

    /// Known relays other than this node.
    pub fn relays(&self) -> &[Relay] {
        &self.relays
    }

    /// Records a table from `relay`; returns whether the member follows that relay. Tables of other
    /// relays are late answers to probes and are ignored, unless the member returns to its own zone.
    pub fn record_table(&mut self, now: MonotonicTime, relay: NodeNumber) -> bool {
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
        self.last_heard_at = now;
        true
    }

    /// Whether the member follows a relay of another zone.
    fn follows_other_zone(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.zone != self.zone)
    }

    /// The relay of the member's own zone to probe now, if it follows a relay of another zone and a
    /// probe is due. Records the probe as sent.
    pub fn home_zone_probe(&mut self, now: MonotonicTime) -> Option<Relay> {
        let is_due = now.since(self.home_probed_at) >= HOME_ZONE_PROBE_INTERVAL;
        if !self.follows_other_zone() || !is_due {
            return None;
        }
        let own = self.relays.iter().filter(|relay| relay.zone == self.zone);
        let own: Vec<&Relay> = own.collect();
        let probed = (*own.get(self.home_probe_count % own.len().max(1))?).clone();
        self.home_probed_at = now;
        self.home_probe_count += 1;
        Some(probed)
    }

    /// The relay that the member follows.
    pub fn current(&self) -> Option<&Relay> {
        self.current.as_ref()
    }

    /// When the member last received a table of its relay; zero if it never did.
    pub fn last_heard_at(&self) -> MonotonicTime {
        self.last_heard_at
    }

    /// Whether the member currently receives tables of no relay.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        self.current.is_none() || now.since(self.last_heard_at) > self.silence_limit
    }

    /// Recipients of the next report. A member without a relay probes all relays of its zone, and
    /// after a longer silence some of other zones, so that one round trip finds a live one.
    pub fn target(&self, now: MonotonicTime) -> ReportTarget {
        match &self.current {
            Some(current) if !self.is_silent(now) => ReportTarget::Subscribed(current.clone()),
            _ => ReportTarget::Probe(self.probe_targets(now)),
        }
    }

    fn probe_targets(&self, now: MonotonicTime) -> Vec<Relay> {
        let node = self.node;
        let weight = |relay: &&Relay| Reverse(rendezvous_weight(node.0, relay.number.0));
        let (mut own, mut others): (Vec<&Relay>, Vec<&Relay>) = self
            .relays
            .iter()
            .partition(|relay| relay.zone == self.zone);
        own.sort_by_key(weight);
        others.sort_by_key(weight);
        let silence = now.since(self.last_heard_at);
        let is_long = silence > self.silence_limit.mul_f64(OTHER_ZONES_SILENCE_FACTOR);
        let probes_others = own.is_empty() || self.current.is_none() || is_long;
        others.truncate(if probes_others {
            MAX_OTHER_ZONE_PROBES
        } else {
            0
        });
        own.into_iter().chain(others).cloned().collect()
    }
}

//! Faults between hollow nodes: lost datagrams and zones that are cut off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

use dalestand_node::LinkFilter;
use dalestand_types::ZoneName;
use rand::RngExt as _;

/// Losses and cuts of all links.
pub(super) struct FaultyLinks {
    loss: f64,
    zones: RwLock<HashMap<SocketAddr, ZoneName>>,
    cut: RwLock<Option<ZoneName>>,
}

impl FaultyLinks {
    /// Links that lose a share of their datagrams.
    pub(super) fn new(loss: f64) -> Self {
        Self {
            loss,
            zones: RwLock::default(),
            cut: RwLock::new(None),
        }
    }

    /// Says which zone a node stands in.
    pub(super) fn add(&self, address: SocketAddr, zone: ZoneName) {
        let mut zones = self.zones.write().unwrap_or_else(PoisonError::into_inner);
        zones.insert(address, zone);
    }

    /// Cuts a zone off from the others, or heals the cut.
    pub(super) fn cut(&self, zone: Option<ZoneName>) {
        *self.cut.write().unwrap_or_else(PoisonError::into_inner) = zone;
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let cut = self.cut.read().unwrap_or_else(PoisonError::into_inner);
        let Some(cut) = &*cut else {
            return false;
        };
        let zones = self.zones.read().unwrap_or_else(PoisonError::into_inner);
        let inside = |address| zones.get(&address) == Some(cut);
        inside(from) != inside(to)
    }
}

impl LinkFilter for FaultyLinks {
    fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.is_cut(from, to) && (self.loss == 0.0 || !rand::rng().random_bool(self.loss))
    }
}

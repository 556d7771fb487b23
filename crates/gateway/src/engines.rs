//! Cache of engine clients, one per address, so that connections are reused.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_edge::HttpEngine;

/// Number of clients above which those not in use are dropped.
const MAX_CLIENTS: usize = 1_024;

/// The clients of one arbiter.
#[derive(Default)]
pub(crate) struct EngineClients {
    by_address: RefCell<HashMap<SocketAddr, Rc<HttpEngine>>>,
}

impl EngineClients {
    /// Returns the client for `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Rc<HttpEngine> {
        let mut by_address = self.by_address.borrow_mut();
        if by_address.len() >= MAX_CLIENTS && !by_address.contains_key(&address) {
            by_address.retain(|_, client| Rc::strong_count(client) > 1);
        }
        let client = by_address
            .entry(address)
            .or_insert_with(|| Rc::new(HttpEngine::new(address)));
        Rc::clone(client)
    }
}

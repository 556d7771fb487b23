//! HTTP clients of engines, one per address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_edge::{Engine, HttpEngine};

/// Caches a client per engine address, so that connections are reused.
#[derive(Default)]
pub(crate) struct EngineClients {
    clients: HashMap<SocketAddr, Rc<dyn Engine>>,
}

impl EngineClients {
    pub(crate) fn get(&mut self, address: SocketAddr) -> Rc<dyn Engine> {
        let client = self.clients.entry(address);
        Rc::clone(client.or_insert_with(|| Rc::new(HttpEngine::new(address))))
    }

    /// Drops the clients of addresses for which `in_use` is false.
    pub(crate) fn retain(&mut self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.clients.retain(|address, _| in_use(address));
    }
}

//! The machine list as this node last read it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_gateway::Shared;
use dalestand_platform::{HttpMachineList, MachineList as _};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineId, Machine, MachineKind};

/// The machines, by name.
#[derive(Default)]
pub(crate) struct Machines {
    machines: BTreeMap<String, Machine>,
}

impl Machines {
    /// The machine of an engine.
    pub(crate) fn engine(&self, engine: &EngineId) -> Option<&Machine> {
        let machine = self.machines.get(engine.as_str())?;
        (machine.kind == MachineKind::Engine).then_some(machine)
    }

    /// Peer addresses of all nodes.
    pub(crate) fn node_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.machines
            .values()
            .filter(|machine| machine.kind == MachineKind::Node)
            .map(|machine| machine.address)
    }

    /// Whether an address is in use by any machine.
    pub(crate) fn uses(&self, address: &SocketAddr) -> bool {
        self.machines
            .values()
            .any(|machine| machine.address == *address)
    }
}

/// Reads the machine list again and again. A failed read keeps what is known.
pub(crate) async fn poll_machines(
    shared: Arc<Shared>,
    address: SocketAddr,
    interval: Duration,
    machines: Rc<RefCell<Machines>>,
) {
    let list = HttpMachineList::new(address);
    loop {
        match list.machines().await {
            Ok(listed) => {
                let named = listed
                    .into_iter()
                    .map(|machine| (machine.name.clone(), machine));
                machines.borrow_mut().machines = named.collect();
            }
            Err(error) => {
                log_event!(shared.logger, Event::MachineListFailed, "error" => %error);
            }
        }
        actix_rt::time::sleep(interval).await;
    }
}

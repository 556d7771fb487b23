//! The machines as this node knows them: from its own reads of the list, and from changes that
//! other nodes found and spread.
//!
//! The whole list is large, so a node of a large fleet reads it seldom. Together the nodes read it
//! a few times a second, and whoever finds a change tells the others.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_edge::{HttpMachineList, MachineList as _};
use dalestand_gateway::SharedState;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineId, Machine, MachineKind, MachineState, MonotonicTime};
use rand::RngExt as _;

/// Nodes that read the list within one interval, whatever the size of the fleet.
const READERS_AN_INTERVAL: usize = 4;

/// A machine missing from the list is kept this long after it was last heard of: another node may
/// have read a later list.
const KEEP_UNLISTED: Duration = Duration::from_secs(30);

struct Known {
    machine: Machine,
    heard_at: MonotonicTime,
}

/// The machines, by name.
#[derive(Default)]
pub(crate) struct Machines {
    machines: BTreeMap<String, Known>,
    draining: BTreeSet<EngineId>,
    changes: u64,
    is_read: bool,
}

impl Machines {
    /// The machine of an engine.
    pub(crate) fn engine(&self, engine: &EngineId) -> Option<&Machine> {
        let machine = &self.machines.get(engine.as_str())?.machine;
        (machine.kind == MachineKind::Engine).then_some(machine)
    }

    /// Whether an engine bears a drain mark.
    pub(crate) fn is_draining(&self, engine: &EngineId) -> bool {
        self.draining.contains(engine)
    }

    /// Sets or takes off an engine's drain mark.
    pub(crate) fn set_draining(&mut self, engine: EngineId, draining: bool) {
        let changed = if draining {
            self.draining.insert(engine)
        } else {
            self.draining.remove(&engine)
        };
        if changed {
            self.changes += 1;
        }
    }

    /// Peer addresses of all nodes.
    pub(crate) fn node_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.all()
            .filter(|machine| machine.kind == MachineKind::Node)
            .map(|machine| machine.address)
    }

    /// Whether an address is in use by any machine.
    pub(crate) fn uses(&self, address: &SocketAddr) -> bool {
        self.all().any(|machine| machine.address == *address)
    }

    /// Rises with every change.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes a list in and yields the engines that the other nodes may not know. Nothing of the
    /// first list is news, since every node reads it when it starts; nodes are known by the cluster.
    pub(crate) fn take_list(&mut self, now: MonotonicTime, list: Vec<Machine>) -> Vec<Machine> {
        let mut news = Vec::new();
        for machine in list {
            let is_engine = machine.kind == MachineKind::Engine;
            if self.take(now, machine.clone()) && is_engine {
                news.push(machine);
            }
        }
        let before = self.machines.len();
        self.machines
            .retain(|_, known| now.since(known.heard_at) < KEEP_UNLISTED);
        if self.machines.len() < before {
            self.changes += 1;
        }
        if std::mem::replace(&mut self.is_read, true) {
            news
        } else {
            Vec::new()
        }
    }

    /// Takes one machine in; yields whether it is news. A run never goes back to an earlier one,
    /// and a machine that leaves does not stay.
    pub(crate) fn take(&mut self, now: MonotonicTime, machine: Machine) -> bool {
        let known = self.machines.get_mut(&machine.name);
        if let Some(known) = known
            && version(&machine) <= version(&known.machine)
        {
            known.heard_at = now;
            return false;
        }
        self.changes += 1;
        let known = Known {
            machine: machine.clone(),
            heard_at: now,
        };
        self.machines.insert(machine.name, known);
        true
    }

    fn all(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().map(|known| &known.machine)
    }
}

/// Reads the machine list again and again. A failed read keeps what is known.
pub(crate) async fn poll_machines(
    shared: Arc<SharedState>,
    address: SocketAddr,
    interval: Duration,
    machines: Rc<RefCell<Machines>>,
    cluster: Rc<RefCell<Cluster>>,
) {
    let list = HttpMachineList::new(address);
    loop {
        let mut wait = interval;
        match list.machines().await {
            Ok(listed) => {
                let news = machines.borrow_mut().take_list(shared.clock.now(), listed);
                publish(&shared, &mut cluster.borrow_mut(), &news);
                let nodes = cluster.borrow().member_count() + 1;
                wait *= nodes.div_ceil(READERS_AN_INTERVAL) as u32;
            }
            Err(error) => {
                log_event!(shared.logger, Event::MachineListFailed, "error" => %error);
            }
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        actix_rt::time::sleep(wait.mul_f64(jitter)).await;
    }
}

/// Takes in a machine that another node read.
pub(crate) fn take_record(now: MonotonicTime, machines: &RefCell<Machines>, record: &Record) {
    if let Ok(machine) = rmp_serde::from_slice(&record.payload) {
        machines.borrow_mut().take(now, machine);
    }
}

fn publish(shared: &SharedState, cluster: &mut Cluster, news: &[Machine]) {
    for machine in news {
        let published = rmp_serde::to_vec(machine).map(|payload| {
            cluster.publish(Record {
                key: RecordKey::Machine(machine.name.clone()),
                version: version(machine),
                payload: Bytes::from(payload),
            })
        });
        if let Ok(Err(error)) = published {
            log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
        }
    }
}

fn version(machine: &Machine) -> RecordVersion {
    RecordVersion {
        major: machine.incarnation.0,
        minor: u64::from(machine.state == MachineState::Leaving),
    }
}

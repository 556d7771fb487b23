//! The machines known to this node, from its own reads of the machine list and from changes that
//! other nodes publish.
//!
//! The list is large, so the nodes share the work: all together they read it a few times per poll
//! interval, whatever the size of the fleet, and a node that finds a change publishes it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_edge::{HttpMachineList, MachineList as _};
use dalestand_gateway::Shared;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineId, Machine, MachineKind, MachineState, MonotonicTime};
use rand::RngExt as _;

/// Reads of the list per poll interval by the whole fleet.
const READS_PER_INTERVAL: usize = 4;

/// How long a machine that is missing from the list is kept after it was last seen. The list read
/// by this node may be older than the one in which another node found the machine.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

struct KnownMachine {
    machine: Machine,
    last_seen_at: MonotonicTime,
}

/// The known machines by name, and the engines with a drain mark.
#[derive(Default)]
pub(crate) struct Machines {
    machines: BTreeMap<String, KnownMachine>,
    draining: BTreeSet<EngineId>,
    change_count: u64,
    list_read: bool,
}

impl Machines {
    /// The machine of an engine.
    pub(crate) fn engine(&self, engine: &EngineId) -> Option<&Machine> {
        let machine = &self.machines.get(engine.as_str())?.machine;
        (machine.kind == MachineKind::Engine).then_some(machine)
    }

    /// Whether an engine has a drain mark.
    pub(crate) fn is_draining(&self, engine: &EngineId) -> bool {
        self.draining.contains(engine)
    }

    /// Sets or removes an engine's drain mark.
    pub(crate) fn set_draining(&mut self, engine: EngineId, draining: bool) {
        let changed = if draining {
            self.draining.insert(engine)
        } else {
            self.draining.remove(&engine)
        };
        if changed {
            self.change_count += 1;
        }
    }

    /// Peer addresses of all nodes.
    pub(crate) fn node_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.all()
            .filter(|machine| machine.kind == MachineKind::Node)
            .map(|machine| machine.address)
    }

    /// Whether any machine has this address.
    pub(crate) fn uses_address(&self, address: &SocketAddr) -> bool {
        self.all().any(|machine| machine.address == *address)
    }

    /// Counter that increases with every change.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Applies a list and returns the changed engines that other nodes may not know. Returns none
    /// for the first list, since every node reads it at start. Nodes are excluded because the
    /// cluster disseminates them as members.
    pub(crate) fn apply_list(&mut self, now: MonotonicTime, list: Vec<Machine>) -> Vec<Machine> {
        let mut changed = Vec::new();
        for machine in list {
            let is_engine = machine.kind == MachineKind::Engine;
            if self.insert_if_newer(now, machine.clone()) && is_engine {
                changed.push(machine);
            }
        }
        let previous_count = self.machines.len();
        self.machines
            .retain(|_, known| now.since(known.last_seen_at) < UNLISTED_RETENTION);
        if self.machines.len() < previous_count {
            self.change_count += 1;
        }
        if std::mem::replace(&mut self.list_read, true) {
            changed
        } else {
            Vec::new()
        }
    }

    /// Inserts a machine unless a version at least as new is known; returns whether it was
    /// inserted. Within an incarnation, leaving is newer than any other state.
    pub(crate) fn insert_if_newer(&mut self, now: MonotonicTime, machine: Machine) -> bool {
        let known = self.machines.get_mut(&machine.name);
        if let Some(known) = known
            && version(&machine) <= version(&known.machine)
        {
            known.last_seen_at = now;
            return false;
        }
        self.change_count += 1;
        let known = KnownMachine {
            machine: machine.clone(),
            last_seen_at: now,
        };
        self.machines.insert(machine.name, known);
        true
    }

    fn all(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().map(|known| &known.machine)
    }
}

/// Polls the machine list until dropped. A failed read leaves the known machines unchanged.
pub(crate) async fn poll_machines(
    shared: Arc<Shared>,
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
                let changed = machines.borrow_mut().apply_list(shared.clock.now(), listed);
                publish(&shared, &mut cluster.borrow_mut(), &changed);
                let nodes = cluster.borrow().member_count() + 1;
                wait *= nodes.div_ceil(READS_PER_INTERVAL) as u32;
            }
            Err(error) => {
                log_event!(shared.logger, Event::MachineListFailed, "error" => %error);
            }
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        actix_rt::time::sleep(wait.mul_f64(jitter)).await;
    }
}

/// Applies a machine that another node published.
pub(crate) fn apply_record(now: MonotonicTime, machines: &RefCell<Machines>, record: &Record) {
    if let Ok(machine) = rmp_serde::from_slice(&record.payload) {
        machines.borrow_mut().insert_if_newer(now, machine);
    }
}

fn publish(shared: &Shared, cluster: &mut Cluster, changed: &[Machine]) {
    for machine in changed {
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

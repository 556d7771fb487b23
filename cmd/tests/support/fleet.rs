//! A fleet of processes with one group of engines and a recorded history.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dalestand_edge::wire::key_value::{
    GET, GetRequest, GetResponse, RANGE, RangeRequest, WATCH, WatchRequest,
};
use dalestand_edge::wire::machine_list::{MACHINES, MachinesResponse};
use dalestand_edge::{Entry, Listing, WatchBatch};
use dalestand_history::{Event, History, Recorder};
use dalestand_node::StatusResponse;
use dalestand_standin::engine::EngineFaults;
use dalestand_standin::key_value::KeyValueFaults;
use dalestand_standin::machine_list::MachineListFaults;
use dalestand_types::{
    EngineId, EngineOrders, Epoch, GroupId, Incarnation, Machine, MachineKind, MachineState,
    NodeId, Revision, Role, ZoneName,
};

use super::{Node, Process, ctl, eventually, get, post, standin, unique};

/// The fleet's only group.
pub const GROUP: &str = "p@z";

/// Duration of a role change of an engine, in milliseconds.
const ROLE_CHANGE_MS: &str = "400";

/// Default interval between reads of the machine list.
const FAST_MACHINE_POLL_MS: u64 = 100;

/// An engine process.
pub struct EngineProcess {
    pub process: Process,
    pub address: SocketAddr,
}

/// Processes on loopback and the recorder of their events.
pub struct Fleet {
    pub recorder: Recorder,
    pub kv: SocketAddr,
    machines: SocketAddr,
    _standins: Vec<Process>,
    pub engines: BTreeMap<String, EngineProcess>,
    pub nodes: BTreeMap<String, Node>,
    lease_ms: u64,
}

impl Fleet {
    /// Starts a fleet with engines and no nodes.
    pub async fn start(engines: &[&str], lease_ms: u64) -> Self {
        let (kv_process, kv) = standin(&["kv"]);
        let (machines_process, machines) = standin(&["machines"]);
        let mut fleet = Self {
            recorder: Recorder::default(),
            kv,
            machines,
            _standins: vec![kv_process, machines_process],
            engines: BTreeMap::new(),
            nodes: BTreeMap::new(),
            lease_ms,
        };
        for engine in engines {
            fleet.start_engine(engine, 1).await;
        }
        fleet
    }

    /// Starts an engine; kills its previous process, if any.
    pub async fn start_engine(&mut self, name: &str, incarnation: u64) {
        self.engines.remove(name);
        let run = incarnation.to_string();
        let (mut process, address) = standin(&[
            "engine",
            "--name",
            name,
            "--incarnation",
            &run,
            "--role-change-ms",
            ROLE_CHANGE_MS,
            "--log-stdout",
        ]);
        process.record(&self.recorder);
        self.register(name, MachineKind::Engine, address, incarnation)
            .await;
        self.engines
            .insert(name.to_owned(), EngineProcess { process, address });
    }

    /// Starts a node.
    pub async fn start_node(&mut self, name: &str) {
        self.start_node_with_machine_poll(name, FAST_MACHINE_POLL_MS)
            .await;
    }

    /// Starts a fleet with engines and nodes and waits until it serves: every engine has the mixed role, and every
    /// node knows the engines' models.
    pub async fn start_serving(engines: &[&str], nodes: &[&str], lease_ms: u64) -> Self {
        let mut fleet = Self::start(engines, lease_ms).await;
        for node in nodes {
            fleet.start_node(node).await;
        }
        fleet.apply(nodes[0], &fleet.deployment(Role::Mixed, true));
        fleet.wait_for_role(Role::Mixed).await;
        for node in nodes {
            fleet.wait_for_models(node).await;
        }
        fleet
    }

    /// Starts a node that reads the machine list at its start and then every `machine_poll_ms`.
    pub async fn start_node_with_machine_poll(&mut self, name: &str, machine_poll_ms: u64) {
        let (kv, machines, lease_ms) = (self.kv, self.machines, self.lease_ms);
        let node = Node::start(&format!(
            "node = \"{name}\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:0\"\n\
             operator_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
             key_value = \"{kv}\"\nmachine_list = \"{machines}\"\nload_poll_ms = 100\n\
             machine_poll_ms = {machine_poll_ms}\nlease_ms = {lease_ms}\n"
        ));
        self.register(name, MachineKind::Node, node.peers, 1).await;
        self.nodes.insert(name.to_owned(), node);
    }

    /// Marks an engine as leaving in the machine list, and records the event once the lagging list shows it.
    pub async fn mark_leaving(&self, engine: &str, lag_ms: u64) {
        let faults = MachineListFaults {
            lag_ms,
            ..MachineListFaults::default()
        };
        assert_eq!(post(self.machines, "/faults", &faults).await.0, 200);
        let address = self.engines[engine].address;
        let mut machine = machine(engine, MachineKind::Engine, address, 1);
        machine.state = MachineState::Leaving;
        assert_eq!(post(self.machines, MACHINES, &machine).await.0, 200);
        eventually("the list shows the engine as leaving", || async {
            let list: MachinesResponse = get(self.machines, MACHINES).await;
            list.machines.contains(&machine).then_some(())
        })
        .await;
        let engine = EngineId::from(engine);
        self.recorder.record(Event::EngineLeaving { engine });
    }

    async fn register(&self, name: &str, kind: MachineKind, address: SocketAddr, run: u64) {
        let machine = machine(name, kind, address, run);
        let (status, _) = post(self.machines, "/v1/machines", &machine).await;
        assert_eq!(status, 200);
    }

    /// Caller addresses of all nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|node| node.callers).collect()
    }

    /// A deployment file that fixes every engine to `role`.
    pub fn deployment(&self, role: Role, repeatable: bool) -> String {
        let names = self.engines.keys();
        let engines: Vec<String> = names.clone().map(|name| format!("{name:?}")).collect();
        let roles: Vec<String> = names.map(|name| format!("{name} = \"{role}\"")).collect();
        format!(
            "format = 1\nname = \"test\"\ncallers.require_key = false\n\
             [[model]]\nname = \"m\"\nversion = \"1\"\nweights_gib = 1.0\n\
             [[pool]]\nname = \"p\"\nmodels = [\"m\"]\nrepeatable = {repeatable}\n\
             [[group]]\npool = \"p\"\nzone = \"z\"\nengines = [{}]\n\
             fixed_roles = {{ {} }}\n",
            engines.join(", "),
            roles.join(", ")
        )
    }

    /// Applies a deployment file through a node.
    pub fn apply(&self, node: &str, text: &str) {
        let name = format!("dalestand-apply-{}-{:x}.toml", std::process::id(), unique());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).expect("the deployment is written");
        let path = file.to_str().expect("a path in UTF-8");
        let applied = ctl(self.nodes[node].operators, &["apply", path]);
        drop(std::fs::remove_file(&file));
        assert!(applied.status.success(), "{applied:?}");
    }

    /// Reads a key.
    pub async fn key_value_entry(&self, key: &str) -> Option<Entry> {
        let key = key.to_owned();
        let (_, body) = post(self.kv, GET, &GetRequest { key }).await;
        let response: GetResponse = serde_json::from_str(&body).ok()?;
        response.entry
    }

    /// The group's lease holder according to the key-value service.
    pub async fn holder(&self) -> Option<NodeId> {
        let entry = self
            .key_value_entry(&format!("groups/{GROUP}/holder"))
            .await;
        holder_of(&entry?.value)
    }

    /// The group's lease holder according to the status of a node.
    pub async fn holder_by_status(&self) -> String {
        let node = self.nodes.values().next().expect("a node");
        let holder = eventually("a node knows the holder", || async {
            let status: StatusResponse = get(node.operators, "/status").await;
            status.holders.get(&GroupId::from(GROUP)).cloned()
        });
        holder.await.to_string()
    }

    /// Waits until a node other than `former` holds the group's lease and returns its name.
    pub async fn wait_for_holder(&self, former: Option<&str>) -> String {
        let holder = eventually("a node holds the group", || async {
            let holder = self.holder().await?;
            (Some(holder.as_str()) != former).then_some(holder)
        });
        holder.await.to_string()
    }

    /// Waits until every engine has the role and a loaded model.
    pub async fn wait_for_role(&self, role: Role) {
        for engine in self.engines.values() {
            eventually("the engine has the role and a model", || async {
                let state: EngineOrders = get(engine.address, "/v1/orders").await;
                (state.role == Some(role) && !state.models.is_empty()).then_some(())
            })
            .await;
        }
    }

    /// Waits until a node routes to every engine.
    pub async fn wait_for_routes(&self, node: &str) {
        eventually("the node knows every engine", || async {
            let status: StatusResponse = get(self.nodes[node].operators, "/status").await;
            let serving = status.engines.iter().filter(|row| row.accepting);
            (status.ready && serving.count() == self.engines.len()).then_some(())
        })
        .await;
    }

    /// Waits until a node routes to every engine with a model on it.
    pub async fn wait_for_models(&self, node: &str) {
        eventually("the node knows every engine's model", || async {
            let status: StatusResponse = get(self.nodes[node].operators, "/status").await;
            let rows = status.engines.iter();
            let serving = rows.filter(|row| row.accepting && !row.models.is_empty());
            (status.ready && serving.count() == self.engines.len()).then_some(())
        })
        .await;
    }

    /// Number of claim records in the key-value service.
    pub async fn claim_records(&self) -> usize {
        let prefix = "claims/".to_owned();
        let (_, body) = post(self.kv, RANGE, &RangeRequest { prefix }).await;
        let listing: Listing = serde_json::from_str(&body).expect("a listing");
        listing.entries.len()
    }

    /// Waits until a node has a request in flight.
    pub async fn wait_for_request_in_flight(&self, node: &str) {
        eventually("a request is in flight", || async {
            let status: StatusResponse = get(self.nodes[node].operators, "/status").await;
            (status.in_flight > 0).then_some(())
        })
        .await;
    }

    /// Sets the faults of the key-value service.
    pub async fn set_key_value_faults(&self, faults: &KeyValueFaults) {
        assert_eq!(post(self.kv, "/faults", faults).await.0, 200);
    }

    /// Sets the faults of an engine.
    pub async fn set_engine_faults(&self, engine: &str, faults: &EngineFaults) {
        let address = self.engines[engine].address;
        assert_eq!(post(address, "/faults", faults).await.0, 200);
    }

    /// The recorded history, preceded by the lease grants in the key-value service.
    pub async fn history(&self) -> History {
        let recorder = Recorder::default();
        let watch = WatchRequest {
            prefix: "groups/".to_owned(),
            after: Revision(0),
            wait_ms: 1,
        };
        let (_, body) = post(self.kv, WATCH, &watch).await;
        let batch: WatchBatch = serde_json::from_str(&body).expect("a batch of changes");
        for event in batch.events {
            if let Some(node) = event.value.as_deref().and_then(holder_of) {
                recorder.record(Event::LeaseGranted {
                    group: GroupId::from(GROUP),
                    node,
                    epoch: Epoch(event.revision.0),
                });
            }
        }
        let mut history = recorder.history();
        history.events.extend(self.recorder.history().events);
        history
    }

    /// Number of times the group's lease was granted.
    pub async fn leases_granted(&self) -> usize {
        let history = self.history().await;
        let events = history.events.iter();
        events
            .filter(|recorded| matches!(recorded.event, Event::LeaseGranted { .. }))
            .count()
    }
}

fn machine(name: &str, kind: MachineKind, address: SocketAddr, run: u64) -> Machine {
    Machine {
        name: name.to_owned(),
        kind,
        zone: ZoneName::from("z"),
        address,
        incarnation: Incarnation(run),
        state: MachineState::Live,
    }
}

fn holder_of(value: &str) -> Option<NodeId> {
    let record: serde_json::Value = serde_json::from_str(value).ok()?;
    record["node"].as_str().map(NodeId::from)
}

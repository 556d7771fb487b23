//! Assembles the control plane of a node: cluster, machines, configuration, group controllers and
//! operator API. Simulated nodes in experiments run it without serving callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::{Cluster, ClusterConfig, Member};
use dalestand_config::NodeSettings;
use dalestand_edge::KeyValue;
use dalestand_gateway::SharedState;
use dalestand_peer_seal::PeerSeal;
use dalestand_types::Incarnation;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

use crate::admin::{Admin, serve_operators};
use crate::claims::{ChannelGate, ClaimStore, ClaimsDriver, serve_gate};
use crate::cluster_driver::{self, LinkFilter, PeerLink};
use crate::configuration::{self, ConfigurationStore};
use crate::control_driver::ControlDriver;
use crate::drains::Drains;
use crate::lease_service::LeaseService;
use crate::machines::{Machines, poll_machines};
use crate::node::NodeAddresses;
use crate::peer_calls::{PeerClient, serve_peers};
use crate::tenant_demand::TenantDemandExchange;

/// Inputs of [`start_control_plane`].
pub struct ControlPlaneParts {
    pub settings: NodeSettings,
    /// State shared with the caller server.
    pub shared: Arc<SharedState>,
    /// Addresses that the node listens on.
    pub addresses: NodeAddresses,
    /// Listener of the operator API.
    pub operators: TcpListener,
    /// Socket for datagrams of other nodes.
    pub peers: UdpSocket,
    /// Listener for calls of other nodes, on the same port number as `peers`.
    pub peer_calls: TcpListener,
    pub key_value: Rc<dyn KeyValue>,
    /// Faults injected by an experiment.
    pub filter: Option<Arc<dyn LinkFilter>>,
    /// Notified when an operator requests a graceful shutdown.
    pub stop_requested: Rc<Notify>,
}

/// A running control plane.
pub struct ControlPlane {
    shared: Arc<SharedState>,
    link: Rc<PeerLink>,
    cluster: Rc<RefCell<Cluster>>,
    control: Rc<ControlDriver>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlPlane {
    /// Releases all leases, so that other nodes can take over at once.
    pub async fn release_leases(&self) {
        self.control.release_leases().await;
    }

    /// Announces to other nodes that this node leaves.
    pub async fn leave(&self) {
        cluster_driver::leave(&self.shared, &self.link, &self.cluster).await;
    }

    /// Aborts all tasks, as if the process were killed.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a control plane on the current arbiter.
pub fn start_control_plane(parts: ControlPlaneParts) -> ControlPlane {
    let ControlPlaneParts {
        settings,
        shared,
        addresses,
        operators,
        peers,
        peer_calls,
        key_value,
        filter,
        stop_requested,
    } = parts;
    let machines = Rc::new(RefCell::new(Machines::default()));
    let me = Member {
        node: settings.node.clone(),
        incarnation: Incarnation(shared.clock.unix_ms()),
        zone: settings.zone.clone(),
        address: addresses.peers,
        operator_address: addresses.operators,
    };
    let cluster = Cluster::new(me, settings.seeds.clone(), ClusterConfig::default());
    let cluster = Rc::new(RefCell::new(cluster));
    let seal = PeerSeal::new(settings.peer_key.as_deref());
    let link = Rc::new(PeerLink {
        socket: peers,
        address: addresses.peers,
        seal: seal.clone(),
        wake: Rc::new(Notify::new()),
        filter,
    });
    let drains = Rc::new(Drains::new(
        Rc::clone(&key_value),
        Rc::clone(&cluster),
        Rc::clone(&machines),
    ));
    let leases = LeaseService::new(
        Rc::clone(&key_value),
        settings.node.clone(),
        Duration::from_millis(settings.lease_ms),
    );
    let control = ControlDriver::new(
        Arc::clone(&shared),
        leases,
        PeerClient::new(seal.clone()),
        Rc::clone(&cluster),
        Rc::clone(&machines),
        Rc::clone(&drains),
        Duration::from_millis(settings.load_poll_ms),
    );
    let poll = poll_machines(
        Arc::clone(&shared),
        settings.machine_list,
        Duration::from_millis(settings.machine_poll_ms),
        Rc::clone(&machines),
        Rc::clone(&cluster),
    );
    let (announcements, received_announcements) = mpsc::unbounded_channel();
    let drive = cluster_driver::run(
        Arc::clone(&shared),
        Rc::clone(&link),
        Rc::clone(&cluster),
        machines,
        announcements,
    );
    let store = ConfigurationStore::new(
        Arc::clone(&shared),
        Rc::clone(&cluster),
        Rc::clone(&link.wake),
    );
    let store = Rc::new(store);
    let fetch = configuration::fetch_announced(
        Arc::clone(&shared),
        Rc::clone(&link),
        PeerClient::new(seal.clone()),
        Rc::clone(&store),
        received_announcements,
    );
    let watch = configuration::watch(
        Arc::clone(&shared),
        Rc::clone(&key_value),
        Rc::clone(&cluster),
        Rc::clone(&store),
    );
    let (gate, calls) = ChannelGate::new();
    shared.set_claim_gate(Box::new(gate));
    let claims = ClaimsDriver::new(
        Arc::clone(&shared),
        Rc::clone(&cluster),
        ClaimStore::new(Rc::clone(&key_value)),
        PeerClient::new(seal.clone()),
    );
    let tenant_demand = TenantDemandExchange::new(
        Arc::clone(&shared),
        Rc::clone(&cluster),
        PeerClient::new(seal.clone()),
    );
    let serve = serve_peers(
        peer_calls,
        seal,
        Rc::clone(&claims),
        Rc::clone(&control),
        Rc::clone(&store),
        Rc::clone(&tenant_demand),
    );
    let admin = Admin {
        shared: Arc::clone(&shared),
        control: Rc::clone(&control),
        drains,
        configuration: store,
        cluster: Rc::clone(&cluster),
        key_value,
        stop_requested,
    };
    let admin = serve_operators(operators, admin, settings.operator_key_blake3.clone());
    let tasks = vec![
        actix_rt::spawn(poll),
        actix_rt::spawn(drive),
        actix_rt::spawn(fetch),
        actix_rt::spawn(watch),
        actix_rt::spawn(serve_gate(calls, claims)),
        actix_rt::spawn(serve),
        actix_rt::spawn(tenant_demand.run()),
        actix_rt::spawn(Rc::clone(&control).run()),
        actix_rt::spawn(admin),
    ];
    ControlPlane {
        shared,
        link,
        cluster,
        control,
        tasks,
    }
}

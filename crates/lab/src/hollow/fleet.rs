//! The hollow nodes, as the experiment sees them.

use std::net::SocketAddr;
use std::sync::Arc;

use dalestand_config::{LogFormat, NodeSettings};
use dalestand_gateway::Shared;
use dalestand_node::{ApplyRequest, ApplyResponse, NodeAddresses, open_peer_sockets};
use dalestand_telemetry::{Metrics, discard_logger};
use dalestand_types::{MachineKind, NodeId, Revision, ZoneName};
use error_stack::Report;
use tokio::sync::{mpsc, oneshot};

use super::deployment::{node_name, zone};
use super::failed;
use super::link::FaultyLinks;
use super::options::Options;
use super::platform::Platform;
use super::worker::{self, Command, HollowNode};
use crate::LabError;

/// Nodes that the others know from their settings.
const SEEDS: usize = 3;

/// One node as the experiment sees it.
pub(super) struct Watched {
    /// Its zone.
    pub(super) zone: ZoneName,
    /// Its state and metrics.
    pub(super) shared: Arc<Shared>,
    /// Where operators reach it.
    pub(super) operators: SocketAddr,
    /// Whether it has not been killed.
    pub(super) alive: bool,
}

/// All nodes.
pub(super) struct Fleet {
    /// The nodes, by number.
    pub(super) nodes: Vec<Watched>,
    /// Faults of the links.
    pub(super) links: Arc<FaultyLinks>,
    seeds: Vec<SocketAddr>,
    workers: Vec<mpsc::UnboundedSender<Command>>,
    client: awc::Client,
}

struct Sockets {
    operators: std::net::TcpListener,
    peers: std::net::UdpSocket,
    peer_listener: std::net::TcpListener,
    addresses: NodeAddresses,
}

impl Fleet {
    /// Starts all nodes at once.
    pub(super) async fn start(
        options: &Options,
        platform: &Platform,
    ) -> Result<Self, Report<LabError>> {
        let sockets: std::io::Result<Vec<Sockets>> =
            (0..options.nodes).map(|_| open_sockets()).collect();
        let sockets = sockets.map_err(|error| failed(&error))?;
        let peers: Vec<SocketAddr> = sockets.iter().map(|one| one.addresses.peers).collect();
        let mut fleet = Self {
            nodes: Vec::new(),
            links: Arc::new(FaultyLinks::new(options.loss)),
            seeds: peers.iter().copied().take(SEEDS).collect(),
            workers: (0..options.threads).map(|_| worker::start()).collect(),
            client: awc::Client::builder()
                .timeout(std::time::Duration::from_secs(30))
                .finish(),
        };
        for (number, sockets) in sockets.into_iter().enumerate() {
            let zone = zone(options, number);
            fleet.start_node(number, zone, sockets, platform).await?;
        }
        Ok(fleet)
    }

    /// Replaces a node: it stops as planned, and a new one starts in its zone elsewhere.
    pub(super) async fn replace(
        &mut self,
        number: usize,
        platform: &Platform,
    ) -> Result<(), Report<LabError>> {
        let zone = self.nodes[number].zone.clone();
        self.nodes[number].alive = false;
        self.tell(number, Command::Leave(number))?;
        let sockets = open_sockets().map_err(|error| failed(&error))?;
        self.start_node(self.nodes.len(), zone, sockets, platform)
            .await
    }

    async fn start_node(
        &mut self,
        number: usize,
        zone: ZoneName,
        sockets: Sockets,
        platform: &Platform,
    ) -> Result<(), Report<LabError>> {
        let addresses = sockets.addresses;
        self.links.add(addresses.peers, zone.clone());
        let name = node_name(number);
        platform
            .list(
                name.clone(),
                MachineKind::Node,
                zone.clone(),
                addresses.peers,
            )
            .await?;
        let node = NodeId::from(name);
        let metrics = Metrics::new().map_err(|error| failed(&error))?;
        let shared = Shared::new(node.clone(), zone.clone(), discard_logger(), metrics);
        let shared = Arc::new(shared);
        self.nodes.push(Watched {
            zone: zone.clone(),
            shared: Arc::clone(&shared),
            operators: addresses.operators,
            alive: true,
        });
        let settings = NodeSettings {
            node,
            zone,
            caller_listen: addresses.callers,
            operator_listen: addresses.operators,
            peer_listen: addresses.peers,
            key_value: platform.key_value,
            machine_list: platform.machine_list,
            seeds: self.seeds.clone(),
            log_format: LogFormat::Json,
            lease_ms: 6_000,
            machine_poll_ms: 1_000,
            load_poll_ms: 500,
            operator_key_blake3: None,
            peer_key: Some("key of the hollow nodes".to_owned()),
        };
        let started = HollowNode {
            number,
            settings,
            shared,
            operators: sockets.operators,
            peers: sockets.peers,
            peer_listener: sockets.peer_listener,
            addresses,
            filter: Arc::clone(&self.links) as Arc<_>,
        };
        self.tell(number, Command::Start(Box::new(started)))
    }

    /// Kills a node.
    pub(super) fn kill(&mut self, number: usize) -> Result<(), Report<LabError>> {
        self.nodes[number].alive = false;
        self.tell(number, Command::Kill(number))
    }

    /// The nodes that were not killed.
    pub(super) fn live(&self) -> impl Iterator<Item = &Watched> {
        self.nodes.iter().filter(|node| node.alive)
    }

    /// Processor time of all nodes' threads, in nanoseconds.
    pub(super) async fn cpu_time(&self) -> Result<u64, Report<LabError>> {
        let mut sum = 0;
        for worker in &self.workers {
            let (sender, receiver) = oneshot::channel();
            worker
                .send(Command::CpuTime(sender))
                .map_err(|error| failed(&error))?;
            let time = receiver.await.map_err(|error| failed(&error))?;
            sum += time.map_err(|error| failed(&error))?;
        }
        Ok(sum)
    }

    /// Applies a deployment through a node.
    pub(super) async fn apply(
        &self,
        number: usize,
        text: String,
    ) -> Result<Revision, Report<LabError>> {
        let request = ApplyRequest {
            text,
            author: "hollow".to_owned(),
            expected: None,
        };
        let url = format!("http://{}/apply", self.nodes[number].operators);
        let sent = self.client.post(url).send_json(&request).await;
        let mut answer = sent.map_err(|error| failed(&error))?;
        let answer: ApplyResponse = answer.json().await.map_err(|error| failed(&error))?;
        answer
            .revision
            .ok_or_else(|| failed(&answer.error.unwrap_or_else(|| "nothing applied".to_owned())))
    }

    fn tell(&self, number: usize, command: Command) -> Result<(), Report<LabError>> {
        let worker = &self.workers[number % self.workers.len()];
        worker.send(command).map_err(|error| failed(&error))
    }
}

impl Watched {
    /// Revision of the configuration in force.
    pub(super) fn revision(&self) -> Revision {
        let active = self.shared.configuration.load();
        active
            .as_ref()
            .map_or(Revision(0), |active| active.revision)
    }

    /// Live members it knows, itself left out.
    pub(super) fn members(&self) -> usize {
        usize::try_from(self.shared.metrics.members.get()).unwrap_or(0)
    }
}

fn open_sockets() -> std::io::Result<Sockets> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let operators = std::net::TcpListener::bind(any)?;
    operators.set_nonblocking(true)?;
    let (peers, peer_listener) = open_peer_sockets(any)?;
    let addresses = NodeAddresses {
        callers: any,
        operators: operators.local_addr()?,
        peers: peers.local_addr()?,
    };
    Ok(Sockets {
        operators,
        peers,
        peer_listener,
        addresses,
    })
}

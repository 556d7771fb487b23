//! A thread that runs hollow nodes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use dalestand_config::NodeSettings;
use dalestand_edge::HttpKeyValue;
use dalestand_gateway::Shared;
use dalestand_node::{ControlHalf, ControlParts, LinkFilter, NodeAddresses, start_control};
use tokio::sync::{Notify, mpsc, oneshot};

use super::measure::thread_cpu_time;

/// What a hollow node is made of.
pub(super) struct HollowNode {
    /// Its number.
    pub(super) number: usize,
    /// Its settings.
    pub(super) settings: NodeSettings,
    /// Its shared state.
    pub(super) shared: Arc<Shared>,
    /// Socket for operators.
    pub(super) operators: TcpListener,
    /// Socket for peers.
    pub(super) peers: UdpSocket,
    /// Listener for peers.
    pub(super) peer_listener: TcpListener,
    /// Where it listens.
    pub(super) addresses: NodeAddresses,
    /// Faults of its links.
    pub(super) filter: Arc<dyn LinkFilter>,
}

/// What a worker is asked to do.
pub(super) enum Command {
    /// Start a node.
    Start(Box<HollowNode>),
    /// Stop a node as planned.
    Leave(usize),
    /// End a node at once.
    Kill(usize),
    /// Tell the thread's processor time, in nanoseconds.
    CpuTime(oneshot::Sender<std::io::Result<u64>>),
}

/// Starts a worker and yields the way to it.
pub(super) fn start() -> mpsc::UnboundedSender<Command> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(async move {
            let mut nodes = BTreeMap::new();
            while let Some(command) = receiver.recv().await {
                carry_out(&mut nodes, command);
            }
        });
    });
    sender
}

fn carry_out(nodes: &mut BTreeMap<usize, ControlHalf>, command: Command) {
    match command {
        Command::Start(node) => {
            let number = node.number;
            // A socket that cannot be used shows as a node that never joins.
            if let Ok(started) = start_node(*node) {
                nodes.insert(number, started);
            }
        }
        Command::Leave(number) => {
            if let Some(node) = nodes.remove(&number) {
                actix_rt::spawn(async move {
                    node.release_leases().await;
                    node.leave().await;
                    node.kill();
                });
            }
        }
        Command::Kill(number) => {
            if let Some(node) = nodes.remove(&number) {
                node.kill();
            }
        }
        // Whoever asked may have given up.
        Command::CpuTime(answer) => drop(answer.send(thread_cpu_time())),
    }
}

fn start_node(node: HollowNode) -> std::io::Result<ControlHalf> {
    let key_value: SocketAddr = node.settings.key_value;
    Ok(start_control(ControlParts {
        settings: node.settings,
        shared: node.shared,
        addresses: node.addresses,
        operators: tokio::net::TcpListener::from_std(node.operators)?,
        peers: tokio::net::UdpSocket::from_std(node.peers)?,
        peer_calls: tokio::net::TcpListener::from_std(node.peer_listener)?,
        key_value: Rc::new(HttpKeyValue::new(key_value)),
        filter: Some(node.filter),
        stop_asked: Rc::new(Notify::new()),
    }))
}

//! Runs the cluster core over UDP.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Output, RecordKey};
use dalestand_gateway::Shared;
use dalestand_peer_seal::PeerSeal;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::configuration::ConfigurationAnnouncement;
use crate::drains;
use crate::machines::{self, Machines};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);

/// Size of the receive buffer; exceeds the size limit of datagrams.
const RECEIVE_BYTES: usize = 2_048;

/// Decides which datagrams are sent. Experiments and tests use it to inject losses and partitions.
pub trait LinkFilter: Send + Sync {
    /// Whether a datagram from `from` to `to` is sent.
    fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool;
}

/// Socket and keys for communication with other nodes.
pub(crate) struct PeerLink {
    pub(crate) socket: UdpSocket,
    /// Local address of the socket.
    pub(crate) address: SocketAddr,
    /// Authenticates datagrams.
    pub(crate) seal: PeerSeal,
    /// Notified when a published record should be sent without waiting for the next tick.
    pub(crate) wake: Rc<Notify>,
    /// Injected faults.
    pub(crate) filter: Option<Arc<dyn LinkFilter>>,
}

impl PeerLink {
    /// Whether the injected faults let messages to `to` pass.
    pub(crate) fn passes(&self, to: SocketAddr) -> bool {
        let filter = self.filter.as_ref();
        filter.is_none_or(|filter| filter.passes(self.address, to))
    }

    async fn send(&self, shared: &Shared, to: SocketAddr, datagram: Bytes) {
        let mut sealed = Vec::from(datagram);
        self.seal.seal(&mut sealed);
        let bytes = sealed.len() as u64;
        shared.metrics.peer_bytes_sent.inc_by(bytes);
        shared.metrics.peer_datagrams_sent.inc();
        if self.passes(to) {
            // The protocol tolerates lost datagrams.
            drop(self.socket.send_to(&sealed, to).await);
        }
    }
}

/// Runs the cluster core until dropped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    link: Rc<PeerLink>,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
    announcements: UnboundedSender<ConfigurationAnnouncement>,
) {
    let mut random = StdRng::from_rng(&mut rand::rng());
    let mut interval = actix_rt::time::interval(TICK);
    let mut buffer = vec![0_u8; RECEIVE_BYTES];
    let mut listed_change_count = None;
    loop {
        let outputs = tokio::select! {
            _ = interval.tick() => {
                let mut cluster = cluster.borrow_mut();
                let machines = machines.borrow();
                if listed_change_count != Some(machines.change_count()) {
                    listed_change_count = Some(machines.change_count());
                    cluster.set_listed_addresses(machines.node_addresses());
                }
                cluster.tick(shared.clock.now(), &mut random)
            }
            () = link.wake.notified() => {
                cluster.borrow_mut().tick(shared.clock.now(), &mut random)
            }
            received = link.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive(&shared, &link, &cluster, from, &buffer[..length], &mut random)
                }
                // Caused by an earlier send; probes detect peers that are down.
                Err(_) => Vec::new(),
            },
        };
        for output in outputs {
            process_output(&shared, &link, &cluster, &machines, &announcements, output).await;
        }
    }
}

/// Announces to other nodes that this node leaves.
pub(crate) async fn leave(shared: &Shared, link: &PeerLink, cluster: &RefCell<Cluster>) {
    let outputs = cluster.borrow_mut().leave(&mut rand::rng());
    for output in outputs {
        if let Output::Send { to, datagram } = output {
            link.send(shared, to, datagram).await;
        }
    }
}

fn receive(
    shared: &Shared,
    link: &PeerLink,
    cluster: &RefCell<Cluster>,
    from: SocketAddr,
    datagram: &[u8],
    random: &mut StdRng,
) -> Vec<Output> {
    shared
        .metrics
        .peer_bytes_received
        .inc_by(datagram.len() as u64);
    shared.metrics.peer_datagrams_received.inc();
    let datagram = match link.seal.open(datagram) {
        Ok(datagram) => datagram,
        Err(error) => {
            log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
            return Vec::new();
        }
    };
    let now = shared.clock.now();
    let outputs = cluster.borrow_mut().receive(now, from, datagram, random);
    outputs.unwrap_or_else(|error| {
        log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
        Vec::new()
    })
}

async fn process_output(
    shared: &Shared,
    link: &PeerLink,
    cluster: &RefCell<Cluster>,
    machines: &RefCell<Machines>,
    announcements: &UnboundedSender<ConfigurationAnnouncement>,
    output: Output,
) {
    match output {
        Output::Send { to, datagram } => link.send(shared, to, datagram).await,
        Output::RecordChanged(record) => match record.key {
            RecordKey::Machine(_) => {
                machines::apply_record(shared.clock.now(), machines, &record);
            }
            RecordKey::Drain(_) => drains::apply_record(machines, &record),
            RecordKey::Configuration | RecordKey::GroupDigest(_) => {}
        },
        Output::RecordAnnounced { record, from } => {
            let revision = Revision(record.version.major);
            // The receiver is gone once the node stops.
            let _ = announcements.send(ConfigurationAnnouncement { revision, from });
        }
        Output::MemberUp(member) => {
            update_member_gauge(shared, cluster);
            log_event!(shared.logger, Event::MemberUp, "node" => %member.node);
        }
        Output::MemberDown(node) => {
            update_member_gauge(shared, cluster);
            shared.metrics.members_lost.inc();
            log_event!(shared.logger, Event::MemberDown, "node" => %node);
        }
    }
}

fn update_member_gauge(shared: &Shared, cluster: &RefCell<Cluster>) {
    let members = cluster.borrow().member_count();
    shared.metrics.members.set(members as i64);
}

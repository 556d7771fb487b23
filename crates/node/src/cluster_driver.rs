//! Drives the cluster core over UDP.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Output, RecordKey};
use dalestand_gateway::SharedState;
use dalestand_peer_seal::PeerSeal;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::configuration::Offer;
use crate::drains;
use crate::machines::{self, Machines};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);

/// Room for a received datagram; a longer one is not of this protocol.
const RECEIVE_BYTES: usize = 2_048;

/// Decides which datagrams get through. Experiments and tests put losses and cuts in with it.
pub trait LinkFilter: Send + Sync {
    /// Whether a datagram to `to` gets through.
    fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool;
}

/// The way to the other nodes.
pub(crate) struct PeerLink {
    /// The socket.
    pub(crate) socket: UdpSocket,
    /// Where the socket listens.
    pub(crate) address: SocketAddr,
    /// Authenticates datagrams.
    pub(crate) seal: PeerSeal,
    /// Notified when there is news that should not wait for the next tick.
    pub(crate) news: Rc<Notify>,
    /// Faults put in.
    pub(crate) filter: Option<Arc<dyn LinkFilter>>,
}

impl PeerLink {
    /// Whether the faults put in let anything through to a peer.
    pub(crate) fn passes(&self, to: SocketAddr) -> bool {
        let filter = self.filter.as_ref();
        filter.is_none_or(|filter| filter.passes(self.address, to))
    }

    async fn send(&self, shared: &SharedState, to: SocketAddr, datagram: Bytes) {
        let mut sealed = Vec::from(datagram);
        self.seal.seal(&mut sealed);
        let bytes = sealed.len() as u64;
        shared.metrics.peer_bytes_sent.inc_by(bytes);
        shared.metrics.peer_datagrams_sent.inc();
        if self.passes(to) {
            // A lost datagram is made good by later ones.
            drop(self.socket.send_to(&sealed, to).await);
        }
    }
}

/// Runs the cluster core until dropped.
pub(crate) async fn drive(
    shared: Arc<SharedState>,
    link: Rc<PeerLink>,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
    offers: UnboundedSender<Offer>,
) {
    let mut random = StdRng::from_rng(&mut rand::rng());
    let mut interval = actix_rt::time::interval(TICK);
    let mut buffer = vec![0_u8; RECEIVE_BYTES];
    let mut machine_changes = None;
    loop {
        let outputs = tokio::select! {
            _ = interval.tick() => {
                let mut cluster = cluster.borrow_mut();
                let machines = machines.borrow();
                if machine_changes != Some(machines.changes()) {
                    machine_changes = Some(machines.changes());
                    cluster.set_listed_addresses(machines.node_addresses());
                }
                cluster.tick(shared.clock.now(), &mut random)
            }
            () = link.news.notified() => {
                cluster.borrow_mut().tick(shared.clock.now(), &mut random)
            }
            received = link.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive(&shared, &link, &cluster, from, &buffer[..length], &mut random)
                }
                // Errors of earlier sends show here; the peer is found to be down by silence.
                Err(_) => Vec::new(),
            },
        };
        for output in outputs {
            carry_out(&shared, &link, &cluster, &machines, &offers, output).await;
        }
    }
}

/// Tells others that this node leaves as planned.
pub(crate) async fn leave(shared: &SharedState, link: &PeerLink, cluster: &RefCell<Cluster>) {
    let outputs = cluster.borrow_mut().leave(&mut rand::rng());
    for output in outputs {
        if let Output::Send { to, datagram } = output {
            link.send(shared, to, datagram).await;
        }
    }
}

fn receive(
    shared: &SharedState,
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
    let taken = cluster.borrow_mut().receive(now, from, datagram, random);
    taken.unwrap_or_else(|error| {
        log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
        Vec::new()
    })
}

async fn carry_out(
    shared: &SharedState,
    link: &PeerLink,
    cluster: &RefCell<Cluster>,
    machines: &RefCell<Machines>,
    offers: &UnboundedSender<Offer>,
    output: Output,
) {
    match output {
        Output::Send { to, datagram } => link.send(shared, to, datagram).await,
        Output::RecordChanged(record) => match record.key {
            RecordKey::Machine(_) => {
                machines::take_record(shared.clock.now(), machines, &record);
            }
            RecordKey::Drain(_) => drains::take_record(machines, &record),
            RecordKey::Configuration | RecordKey::GroupDigest(_) => {}
        },
        Output::RecordOffered { record, from } => {
            let revision = Revision(record.version.major);
            // Nobody reads offers any more once the node ends.
            let _ = offers.send(Offer { revision, from });
        }
        Output::MemberUp(member) => {
            count_members(shared, cluster);
            log_event!(shared.logger, Event::MemberUp, "node" => %member.node);
        }
        Output::MemberDown(node) => {
            count_members(shared, cluster);
            shared.metrics.members_lost.inc();
            log_event!(shared.logger, Event::MemberDown, "node" => %node);
        }
    }
}

fn count_members(shared: &SharedState, cluster: &RefCell<Cluster>) {
    let members = cluster.borrow().member_count();
    shared.metrics.members.set(members as i64);
}

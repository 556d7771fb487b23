//! Drives the cluster core over UDP.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::{Cluster, Message, Output, decode, encode};
use dalestand_gateway::Shared;
use dalestand_telemetry::{Event, log_event};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::machines::Machines;

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(200);

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Runs the cluster core until dropped.
pub(crate) async fn drive(
    shared: Arc<Shared>,
    socket: UdpSocket,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
) {
    let mut random = StdRng::from_rng(&mut rand::rng());
    let mut interval = actix_rt::time::interval(TICK);
    let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let outputs = tokio::select! {
            _ = interval.tick() => {
                let mut cluster = cluster.borrow_mut();
                cluster.add_seeds(machines.borrow().node_addresses());
                cluster.tick(shared.clock.now(), &mut random)
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&shared, &cluster, &buffer[..length]),
                // Errors of earlier sends show here; the peer is found to be down by silence.
                Err(_) => Vec::new(),
            },
        };
        for output in outputs {
            carry_out(&shared, &socket, &cluster, output).await;
        }
    }
}

fn receive(shared: &Shared, cluster: &RefCell<Cluster>, datagram: &[u8]) -> Vec<Output> {
    match decode(datagram) {
        Ok(message) => cluster.borrow_mut().receive(shared.clock.now(), message),
        Err(error) => {
            log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
            Vec::new()
        }
    }
}

async fn carry_out(
    shared: &Shared,
    socket: &UdpSocket,
    cluster: &RefCell<Cluster>,
    output: Output,
) {
    match output {
        Output::Send { to, message } => send(shared, socket, to, &message).await,
        Output::RecordChanged(_) => {}
        Output::MemberUp(member) => {
            shared
                .metrics
                .members
                .set(cluster.borrow().members().count() as i64);
            log_event!(shared.logger, Event::MemberUp, "node" => %member.node);
        }
        Output::MemberDown(node) => {
            shared
                .metrics
                .members
                .set(cluster.borrow().members().count() as i64);
            log_event!(shared.logger, Event::MemberDown, "node" => %node);
        }
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, to: std::net::SocketAddr, message: &Message) {
    match encode(message) {
        // A lost datagram is made good by later ones.
        Ok(datagram) => drop(socket.send_to(&datagram, to).await),
        Err(error) => {
            log_event!(shared.logger, Event::DatagramUnreadable, "error" => %error);
        }
    }
}

//! Starts the halves of a node and stops them as planned.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_config::NodeSettings;
use dalestand_edge::{HttpKeyValue, KeyValue};
use dalestand_gateway::Shared;
use dalestand_telemetry::{Event, Metrics, log_event};
use error_stack::{Report, ResultExt as _};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::callers::CallerHalf;
use crate::control_plane::{ControlPlaneParts, start_control_plane};
use crate::error::NodeError;
use crate::peer_sockets::open_peer_sockets;

/// How often a stopping node looks whether its requests are over.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Addresses a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// Open sockets of a node.
pub struct Listeners {
    callers: std::net::TcpListener,
    operators: TcpListener,
    peers: UdpSocket,
    peer_calls: TcpListener,
    addresses: NodeAddresses,
}

impl Listeners {
    /// Opens the sockets that the settings name.
    pub async fn open(settings: &NodeSettings) -> Result<Self, Report<NodeError>> {
        let callers = listen(settings.caller_listen).await?;
        let operators = listen(settings.operator_listen).await?;
        let context = || NodeError::Listen(settings.peer_listen.to_string());
        let (peers, peer_calls) =
            open_peer_sockets(settings.peer_listen).change_context_lazy(context)?;
        let peers = UdpSocket::from_std(peers).change_context_lazy(context)?;
        let peer_calls = TcpListener::from_std(peer_calls).change_context_lazy(context)?;
        let addresses = NodeAddresses {
            callers: callers.local_addr().change_context_lazy(context)?,
            operators: operators.local_addr().change_context_lazy(context)?,
            peers: peers.local_addr().change_context_lazy(context)?,
        };
        let callers = callers.into_std().change_context_lazy(context)?;
        Ok(Self {
            callers,
            operators,
            peers,
            peer_calls,
            addresses,
        })
    }

    /// Where the sockets listen.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context_lazy(|| NodeError::Listen(address.to_string()))
}

/// Runs a node until a planned stop (SIGTERM or SIGINT) is over.
pub async fn run(
    settings: NodeSettings,
    listeners: Listeners,
    logger: Logger,
) -> Result<(), Report<NodeError>> {
    let metrics = Metrics::new().change_context(NodeError::Metrics)?;
    let shared = Arc::new(Shared::new(
        settings.node.clone(),
        settings.zone.clone(),
        logger,
        metrics,
    ));
    let addresses = listeners.addresses;
    log_event!(shared.logger, Event::NodeStarted, "node" => %settings.node,
        "callers" => %addresses.callers, "operators" => %addresses.operators,
        "peers" => %addresses.peers);
    let mut terminate = signal(SignalKind::terminate()).change_context(NodeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Signals)?;

    let callers = CallerHalf::start(&shared, listeners.callers)?;
    let stop_requested = Rc::new(Notify::new());
    let node = settings.node.clone();
    let key_value: Rc<dyn KeyValue> = Rc::new(HttpKeyValue::new(settings.key_value));
    let control = start_control_plane(ControlPlaneParts {
        settings,
        shared: Arc::clone(&shared),
        addresses,
        operators: listeners.operators,
        peers: listeners.peers,
        peer_calls: listeners.peer_calls,
        key_value,
        filter: None,
        stop_requested: Rc::clone(&stop_requested),
    });
    log_readiness(Arc::clone(&shared));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = stop_requested.notified() => {}
    }
    shared.begin_stop();
    log_event!(shared.logger, Event::StopStarted, "in_flight" => shared.in_flight());
    // Further signals change nothing.
    actix_rt::spawn(async move { while terminate.recv().await.is_some() {} });
    // Given up before the requests in flight end, so that a long answer here leaves no group
    // without a holder.
    control.release_leases().await;
    while shared.in_flight() > 0 {
        actix_rt::time::sleep(STOP_POLL).await;
    }
    control.leave().await;
    callers.drain(&shared).await;
    callers.stop();
    log_event!(shared.logger, Event::StopCompleted, "node" => %node);
    Ok(())
}

/// Logs readiness once a configuration is in force.
fn log_readiness(shared: Arc<Shared>) {
    actix_rt::spawn(async move {
        while shared.configuration.load().is_none() {
            actix_rt::time::sleep(STOP_POLL).await;
        }
        log_event!(shared.logger, Event::NodeReady, "zone" => %shared.zone);
    });
}

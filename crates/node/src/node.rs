//! Starts the caller server and the control plane of a node and shuts them down gracefully.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_config::NodeSettings;
use dalestand_edge::{HttpKeyValue, KeyValue};
use dalestand_gateway::SharedState;
use dalestand_telemetry::{Event, Metrics, log_event};
use error_stack::{Report, ResultExt as _};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::caller_server::CallerServer;
use crate::control_plane::{ControlPlaneParts, start_control_plane};
use crate::error::NodeError;
use crate::peer_sockets::open_peer_sockets;

/// Interval at which a stopping node checks for requests in flight, and a starting one for a
/// configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    /// Opens the sockets at the addresses in the settings.
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

    /// Local addresses of the sockets.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context_lazy(|| NodeError::Listen(address.to_string()))
}

/// Runs a node until it has shut down gracefully, after SIGTERM, SIGINT or an operator's request.
pub async fn run(
    settings: NodeSettings,
    listeners: Listeners,
    logger: Logger,
) -> Result<(), Report<NodeError>> {
    let metrics = Metrics::new().change_context(NodeError::Metrics)?;
    let shared = Arc::new(SharedState::new(
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

    let callers = CallerServer::start(&shared, listeners.callers)?;
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
    // Further signals are ignored.
    actix_rt::spawn(async move { while terminate.recv().await.is_some() {} });
    // Released before the requests in flight end, so that no group is without a lease holder while
    // a long answer is finished.
    control.release_leases().await;
    while shared.in_flight() > 0 {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    control.leave().await;
    callers.drain(&shared).await;
    callers.stop();
    log_event!(shared.logger, Event::StopCompleted, "node" => %node);
    Ok(())
}

/// Logs that the node is ready once it has an active configuration.
fn log_readiness(shared: Arc<SharedState>) {
    actix_rt::spawn(async move {
        while shared.configuration.load().is_none() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        log_event!(shared.logger, Event::NodeReady, "zone" => %shared.zone);
    });
}

//! Starts the halves of a node and stops them as planned.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use dalestand_cluster::{Cluster, ClusterConfig, Member};
use dalestand_config::NodeSettings;
use dalestand_gateway::{Shared, serve_callers};
use dalestand_http_server::Connections;
use dalestand_platform::{HttpKeyValue, KeyValue};
use dalestand_telemetry::{Event, Metrics, log_event};
use dalestand_types::Incarnation;
use error_stack::{Report, ResultExt as _};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::admin::{Admin, serve_operators};
use crate::cluster_driver;
use crate::configuration;
use crate::control_driver::ControlDriver;
use crate::drains::Drains;
use crate::error::NodeError;
use crate::lease_service::LeaseService;
use crate::machines::{Machines, poll_machines};

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
    addresses: NodeAddresses,
}

impl Listeners {
    /// Opens the sockets that the settings name.
    pub async fn open(settings: &NodeSettings) -> Result<Self, Report<NodeError>> {
        let callers = listen(settings.caller_listen).await?;
        let operators = listen(settings.operator_listen).await?;
        let context = || NodeError::Listen(settings.peer_listen.to_string());
        let peers = UdpSocket::bind(settings.peer_listen)
            .await
            .change_context_lazy(context)?;
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

    let callers = start_callers(Arc::clone(&shared), listeners.callers);
    let stop_asked = Rc::new(Notify::new());
    let sockets = ControlSockets {
        operators: listeners.operators,
        peers: listeners.peers,
        addresses,
    };
    let control = start_control(&settings, &shared, sockets, Rc::clone(&stop_asked));
    log_readiness(Arc::clone(&shared));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = stop_asked.notified() => {}
    }
    shared.begin_stop();
    log_event!(shared.logger, Event::StopBegun, "in_flight" => shared.in_flight());
    // Further signals change nothing.
    actix_rt::spawn(async move { while terminate.recv().await.is_some() {} });
    // Given up before the requests in flight end, so that a long answer here leaves no group
    // without a holder.
    control.release_leases().await;
    while shared.in_flight() > 0 {
        actix_rt::time::sleep(STOP_POLL).await;
    }
    callers.stop();
    log_event!(shared.logger, Event::StopDone, "node" => %settings.node);
    Ok(())
}

fn start_callers(shared: Arc<Shared>, listener: std::net::TcpListener) -> Arbiter {
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve_callers(listener, shared, Connections::default()).await,
                Err(error) => {
                    log_event!(shared.logger, Event::ListenFailed, "error" => %error);
                }
            }
        });
    });
    arbiter
}

/// Sockets of the control half.
struct ControlSockets {
    operators: TcpListener,
    peers: UdpSocket,
    addresses: NodeAddresses,
}

fn start_control(
    settings: &NodeSettings,
    shared: &Arc<Shared>,
    sockets: ControlSockets,
    stop_asked: Rc<Notify>,
) -> Rc<ControlDriver> {
    let machines = Rc::new(RefCell::new(Machines::default()));
    let me = Member {
        node: settings.node.clone(),
        incarnation: Incarnation(shared.clock.unix_ms()),
        zone: settings.zone.clone(),
        address: sockets.addresses.peers,
        operator_address: sockets.addresses.operators,
    };
    let cluster = Cluster::new(me, settings.seeds.clone(), ClusterConfig::default());
    let cluster = Rc::new(RefCell::new(cluster));
    let key_value: Rc<dyn KeyValue> = Rc::new(HttpKeyValue::new(settings.key_value));
    let drains = Rc::new(Drains::new(Rc::clone(&key_value), Rc::clone(&cluster)));
    let leases = LeaseService::new(
        Rc::clone(&key_value),
        settings.node.clone(),
        Duration::from_millis(settings.lease_ms),
    );
    let control = ControlDriver::new(
        Arc::clone(shared),
        leases,
        Rc::clone(&cluster),
        Rc::clone(&machines),
        Rc::clone(&drains),
        Duration::from_millis(settings.load_poll_ms),
    );
    actix_rt::spawn(poll_machines(
        Arc::clone(shared),
        settings.machine_list,
        Duration::from_millis(settings.machine_poll_ms),
        Rc::clone(&machines),
    ));
    let driver = cluster_driver::drive(
        Arc::clone(shared),
        sockets.peers,
        Rc::clone(&cluster),
        machines,
    );
    actix_rt::spawn(driver);
    let follower = Arc::clone(shared);
    let followed = Rc::clone(&key_value);
    actix_rt::spawn(async move { configuration::follow(follower, &*followed).await });
    actix_rt::spawn(Rc::clone(&control).run());
    let admin = Admin {
        shared: Arc::clone(shared),
        control: Rc::clone(&control),
        drains,
        cluster,
        key_value,
        stop_asked,
    };
    let key_blake3 = settings.operator_key_blake3.clone();
    actix_rt::spawn(serve_operators(sockets.operators, admin, key_blake3));
    control
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

//! Starts the tasks of a forwarding node and runs it until shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_edge::KeyValue;
use dalestand_edge::duty_calls::DutyCalls;
use dalestand_edge::routed::{Dialect, StoreFormat};
use dalestand_edge::unknown_headers::UnknownHeaders;
use dalestand_http_server::{
    Answer, ConnectionType, Connections, Expectation, ServerLimits, listen, serve,
};
use dalestand_telemetry::{Event, log_event};
use dalestand_tunnel::serve_tunnels;
use error_stack::{Report, ResultExt as _};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::context::{Context, ContextParts};
use crate::detour::carrier::Carrier;
use crate::detour::link_paths::ContextPaths;
use crate::detour::trials::try_direct_links;
use crate::dissemination::bulk::send_bulk;
use crate::dissemination::engine_notices::send_notices;
use crate::dissemination::part_evidence::send_part_evidence;
use crate::dissemination::receive::receive_state;
use crate::dissemination::send::send_state;
use crate::dissemination::sums::send_sums;
use crate::dissemination::tables::send_tables;
use crate::duties::scaling::scale_engines;
use crate::duties::usage_messages::send_usage;
use crate::duties::usage_report::report_usage;
use crate::error::ForwardingError;
use crate::fleet::declaration::DeclarationFollower;
use crate::fleet::engine_entries::EngineFollower;
use crate::fleet::follow::{FollowTask, RecoverySignal, WATCH_WAIT, follow};
use crate::fleet::part_recovery::recover_parts;
use crate::fleet::registration::{NodeFollower, OWN_PREFIX, find_relays, keep_registered};
use crate::fleet::run_check::recheck_withheld;
use crate::node::era_store::EraStore;
use crate::node::metered_store::MeteredStore;
use crate::node::metrics::ForwardingMetrics;
use crate::node::metrics::page::serve_metrics;
use crate::node::ready::ready;
use crate::node::reload::reload;
use crate::node::settings::ForwardingSettings;
use crate::node::stop::stop;
use crate::quarantine::fleet_key::load_fingerprint_key;
use crate::quarantine::parts::evidence::expire_part_evidence;
use crate::quarantine::parts::held_entries::persist_held_parts;
use crate::quarantine::stopped_entries::persist_stopped_requests;
use crate::roles::fleet_lease::FleetLease;
use crate::roles::lease_keeper::acquire_and_renew;
use crate::roles::role_control::control_roles;
use crate::serve::caller_watch::{CallerWatch, DepartureLog};
use crate::serve::forward::{decide_expectation, forward};
use crate::streams::share::send_origins;
use crate::streams::stored_versions;

/// Time allowed for a caller to send a request head. Long, so that connections that callers open in advance
/// are not closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which an idle connection is kept open; long for the same reason.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Callers' connections above the limit while those are ending that gave way to new ones. Some of the descriptors that are kept for
/// files.
const MAX_ENDING_CONNECTIONS: usize = 64;

/// How often expired state is removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A sweep that is this late is logged as a pause of the process.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(1_000);

/// Reads the settings again; an error lists every fault.
pub type ReadSettings = Box<dyn Fn() -> Result<ForwardingSettings, String>>;

/// Parts of a forwarding node.
pub struct ForwardingNode {
    /// Settings at the start.
    pub settings: ForwardingSettings,
    /// Reads the settings again on a reload.
    pub read_settings: ReadSettings,
    /// HTTP dialect of callers and engines.
    pub dialect: Rc<dyn Dialect>,
    /// Format of the keys and values in the key-value service.
    pub store_format: Rc<dyn StoreFormat>,
    /// The key-value service.
    pub store: Rc<dyn KeyValue>,
    /// Calls to the platform that one node makes for the fleet; `None` if there are none.
    pub duty_calls: Option<Rc<dyn DutyCalls>>,
    /// Collects unknown headers; shared with the client of the key-value service.
    pub unknown_headers: UnknownHeaders,
    /// Logger of the process.
    pub logger: Logger,
}

/// Runs a node until it has shut down gracefully after SIGTERM or SIGINT.
pub async fn run(node: ForwardingNode) -> Result<(), Report<ForwardingError>> {
    let settings = node.settings;
    let logger = node
        .logger
        .new(slog::o!("node" => settings.node.to_string()));
    let callers = listen_on(settings.caller_listen)?;
    let ready_listener = listen_on(settings.ready_listen)?;
    let peer_address = settings.peer_listen;
    let peer_socket = UdpSocket::bind(peer_address)
        .await
        .change_context_lazy(|| ForwardingError::Listen(peer_address.to_string()))?;
    let mut terminate = signal(SignalKind::terminate()).change_context(ForwardingError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ForwardingError::Signals)?;
    let hangup = signal(SignalKind::hangup()).change_context(ForwardingError::Signals)?;
    log_event!(logger, Event::NodeStarted, "zone" => %settings.zone,
        "callers" => %settings.caller_listen);
    let metrics = ForwardingMetrics::new().change_context(ForwardingError::Metrics)?;
    let parts = ContextParts {
        dialect: node.dialect,
        store_format: node.store_format,
        unknown_headers: node.unknown_headers,
        logger,
        metrics,
    };
    let context = Rc::new(Context::new(settings, parts));
    start_metrics(&context).await;
    let metered = MeteredStore::new(node.store, Rc::clone(&context));
    let store: Rc<dyn KeyValue> = Rc::new(EraStore::new(Rc::new(metered), Rc::clone(&context)));
    let fleet_lease = start_followers(&context, &store);
    // This is the only place that sets it, so it cannot fail.
    let _ = context.quarantine.store.set(Rc::clone(&store));
    start_dissemination(&context, &store, peer_socket);
    if let Some(calls) = node.duty_calls {
        start_duties(&context, &store, &calls, &fleet_lease);
    }
    actix_rt::spawn(sweep(Rc::clone(&context)));
    actix_rt::spawn(reload(Rc::clone(&context), node.read_settings, hangup));
    start_detours(&context).await;
    start_ready(&context, ready_listener);
    let connections = start_callers(&context, callers);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // Ignore further signals.
    actix_rt::spawn(async move { while terminate.recv().await.is_some() {} });
    stop(context, connections).await;
    Ok(())
}

fn listen_on(address: SocketAddr) -> Result<TcpListener, Report<ForwardingError>> {
    listen(address).change_context_lazy(|| ForwardingError::Listen(address.to_string()))
}

fn limits() -> ServerLimits {
    ServerLimits {
        head_timeout: HEAD_TIMEOUT,
        keep_alive: KEEP_ALIVE,
        ..ServerLimits::default()
    }
}

fn start_ready(context: &Rc<Context>, listener: TcpListener) {
    let context = Rc::clone(context);
    actix_rt::spawn(async move {
        let handler = move |request| ready(Rc::clone(&context), request);
        serve(listener, limits(), Connections::default(), handler).await;
    });
}

/// Starts the metrics endpoint; a node that cannot listen on its address serves without it.
async fn start_metrics(context: &Rc<Context>) {
    let Some(address) = context.settings.metrics_listen else {
        return;
    };
    match listen(address) {
        Ok(listener) => {
            actix_rt::spawn(serve_metrics(Rc::clone(context), listener));
        }
        Err(error) => {
            log_event!(context.logger, Event::ListenFailed, "address" => %address,
                "error" => %error);
        }
    }
}

/// Lets connections to engines take paths through other nodes, and carries those of others. A node that cannot listen for
/// them serves without carrying.
async fn start_detours(context: &Rc<Context>) {
    context.link.set_paths(Rc::new(ContextPaths::new(context)));
    actix_rt::spawn(try_direct_links(Rc::clone(context)));
    let address = context.settings.peer_listen;
    match listen(address) {
        Ok(listener) => {
            let carrier = Rc::new(Carrier(Rc::clone(context)));
            let tunnels = context.detours.tunnels.clone();
            actix_rt::spawn(serve_tunnels(listener, tunnels, carrier));
        }
        Err(error) => {
            log_event!(context.logger, Event::ListenFailed, "address" => %address,
                "error" => %error);
        }
    }
}

fn start_callers(context: &Rc<Context>, listener: TcpListener) -> Connections {
    let connections = Connections::default();
    let counted = connections.clone();
    // This is the only place that sets it, so it cannot fail.
    let _ = context.caller_connections.set(connections.clone());
    let (context, expecting) = (Rc::clone(context), Rc::clone(context));
    actix_rt::spawn(async move {
        let limits = ServerLimits {
            max_connections: context.settings.max_caller_connections(),
            max_excess_connections: 0,
            max_ending_connections: MAX_ENDING_CONNECTIONS,
            bodies: context.bodies.clone(),
            expectation: Expectation::new(move |request| decide_expectation(&expecting, request)),
            max_head_bytes: context.max_head_bytes.clone(),
            ..limits()
        };
        let crowded_from = limits.max_connections / 2;
        let open = counted.clone();
        let departures = Rc::<DepartureLog>::default();
        let handler = move |request| {
            let watch = CallerWatch::new(&context, &departures, &request);
            let (context, open) = (Rc::clone(&context), open.clone());
            async move {
                let answer = forward(context, request).await;
                watch.follow(close_if_crowded(answer, open.open() > crowded_from))
            }
        };
        serve(listener, limits, counted, handler).await;
    });
    connections
}

/// Tells the caller to close its connection after the answer while many are open, so that connections at rest do not take
/// the place of new ones.
fn close_if_crowded(mut answer: Answer, is_crowded: bool) -> Answer {
    if is_crowded {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

/// A watch waits for this part of the drain bound. The rest is for the time for its answer, as long
/// again, the listing after an unanswered watch, and the way through relays.
const WATCHES_PER_DRAIN: u32 = 4;

/// A watch of the nodes and the lease holder waits for this part of the lease.
const WATCHES_PER_LEASE: u32 = 3;

/// Longest wait of a watch of engine entries.
fn engine_entry_wait(context: &Context) -> Duration {
    if context.dissemination.watches_closely() {
        context.settings.engine_drain() / WATCHES_PER_DRAIN
    } else {
        WATCH_WAIT
    }
}

/// Longest wait of a watch of nodes and the lease holder.
fn node_entry_wait(context: &Context) -> Duration {
    if context.dissemination.watches_closely() {
        context.settings.lease() / WATCHES_PER_LEASE
    } else {
        WATCH_WAIT
    }
}

/// Longest wait of a watch of the declaration.
fn declaration_wait(context: &Context) -> Duration {
    let is_relay = context.dissemination.role(context.now()).is_relay;
    // All nodes watch it; relays inform the others of a new declaration.
    let wait = if is_relay {
        engine_entry_wait(context)
    } else {
        WATCH_WAIT
    };
    // It is confirmed three times within its validity, as a call may be lost.
    let validity = context.settings.declaration_validity();
    validity.map_or(wait, |validity| wait.min(validity / 3))
}

/// Starts the tasks that follow the key-value service, hold the fleet lease and control engine roles.
fn start_followers(context: &Rc<Context>, store: &Rc<dyn KeyValue>) -> FleetLease {
    let recovery = RecoverySignal::default();
    let start = |prefix: &str, wait: fn(&Context) -> Duration| {
        let waiting = Rc::clone(context);
        FollowTask {
            store: Rc::clone(store),
            prefix: prefix.to_owned(),
            recovery: recovery.clone(),
            watch_wait: Box::new(move || wait(&waiting)),
            logger: context.logger.clone(),
        }
    };
    let declaration = DeclarationFollower(Rc::clone(context));
    let task = start(context.store_format.configuration_key(), declaration_wait);
    // Every node watches the declaration itself, because it changes rarely and must take effect soon. Relays
    // pass it on to nodes whose watch the service refuses.
    let always = watch::channel(true).1;
    actix_rt::spawn(follow(task, declaration, always));
    let engines = EngineFollower::new(Rc::clone(context));
    let task = start(context.store_format.engine_prefix(), engine_entry_wait);
    actix_rt::spawn(follow(
        task,
        engines,
        context.dissemination.subscribe_reads_store(),
    ));
    let fleet_lease = context.fleet_lease.clone();
    let nodes = NodeFollower::new(Rc::clone(context), fleet_lease.clone());
    actix_rt::spawn(follow(
        start(OWN_PREFIX, node_entry_wait),
        nodes,
        context.dissemination.subscribe_reads_store(),
    ));
    actix_rt::spawn(acquire_and_renew(
        Rc::clone(context),
        Rc::clone(store),
        fleet_lease.clone(),
    ));
    actix_rt::spawn(control_roles(Rc::clone(context), fleet_lease.clone()));
    actix_rt::spawn(stored_versions::keep(
        Rc::clone(context),
        Rc::clone(store),
        fleet_lease.clone(),
    ));
    fleet_lease
}

/// Starts the tasks that act for the whole fleet while this node holds the fleet lease.
fn start_duties(
    context: &Rc<Context>,
    store: &Rc<dyn KeyValue>,
    calls: &Rc<dyn DutyCalls>,
    fleet_lease: &FleetLease,
) {
    let (context, store) = (Rc::clone(context), Rc::clone(store));
    if context.settings.scales_engines() {
        let (context, store) = (Rc::clone(&context), Rc::clone(&store));
        let scaling = scale_engines(context, store, Rc::clone(calls), fleet_lease.clone());
        actix_rt::spawn(scaling);
    }
    let reporting = report_usage(context, store, Rc::clone(calls), fleet_lease.clone());
    actix_rt::spawn(reporting);
}

fn start_dissemination(context: &Rc<Context>, store: &Rc<dyn KeyValue>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    // This is the only place that sets it, so it cannot fail.
    let _ = context.permits.socket.set(Rc::clone(&socket));
    actix_rt::spawn(receive_state(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_tables(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_bulk(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_notices(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_sums(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_usage(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_part_evidence(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(send_origins(Rc::clone(context), Rc::clone(&socket)));
    actix_rt::spawn(stored_versions::load(Rc::clone(context), Rc::clone(store)));
    actix_rt::spawn(stored_versions::serve_reads(
        Rc::clone(context),
        Rc::clone(store),
    ));
    actix_rt::spawn(send_state(Rc::clone(context), socket));
    actix_rt::spawn(recover_parts(Rc::clone(context)));
    actix_rt::spawn(recheck_withheld(Rc::clone(context)));
    actix_rt::spawn(find_relays(Rc::clone(context), Rc::clone(store)));
    actix_rt::spawn(persist_stopped_requests(
        Rc::clone(context),
        Rc::clone(store),
    ));
    actix_rt::spawn(persist_held_parts(Rc::clone(context), Rc::clone(store)));
    actix_rt::spawn(load_fingerprint_key(Rc::clone(context), Rc::clone(store)));
    actix_rt::spawn(keep_registered(Rc::clone(context), Rc::clone(store)));
}

/// Removes expired state, logs pauses of the process and new unknown headers; never returns.
async fn sweep(context: Rc<Context>) {
    let mut last = BootInstant::now();
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        let passed = last.elapsed();
        last = BootInstant::now();
        if passed > SWEEP_INTERVAL + MIN_LOGGED_PAUSE {
            log_event!(context.logger, Event::ProcessPauseDetected,
                "for_ms" => passed.as_millis() as u64);
        }
        for header in context.unknown_headers.take_new() {
            log_event!(context.logger, Event::HeaderUnknown, "sender" => ?header.sender,
                "header" => &header.name);
        }
        let now = context.now();
        let is_isolated = context.dissemination.is_isolated(now);
        context.budget.borrow_mut().set_isolated(is_isolated);
        let fleet = context.fleet();
        context.link.sweep(|target| {
            let pool = fleet.pool_of(target)?;
            Some(context.connection_share(pool))
        });
        let is_known = |engine| fleet.engine(engine).is_some();
        context.budget.borrow_mut().sweep(now, is_known);
        context.router.borrow_mut().work.remove_expired(now);
        expire_part_evidence(&context);
    }
}

//! Client that sends requests to engines.

use std::cell::OnceCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, ServiceConfig};
use dalestand_clock::BootInstant;
use dalestand_request_bodies::Body;
use tokio::net::TcpStream;

use crate::carried_calls::CallKey;
use crate::connect::connect;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::error::SendError;
use crate::open::open;
use crate::paths::{AllowedPaths, DirectCall, LinkObservation, LinkPaths, Path};
use crate::rejections::Rejections;
use crate::response::Exchange;
use crate::stray_responses::skip_stray_responses;

/// One run of an engine at an address. A restarted engine is a different target, so that connections
/// to the previous run are not used for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LinkTarget {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Identifies the run.
    pub run: Arc<str>,
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Longest time without an acknowledgement before the connection fails, but for long requests. Also decides when keep-alive probes give up, and
    /// then counts from the last packet before the first probe.
    pub tcp_user_timeout: Duration,
    /// Local address of the connections; chosen by the system if absent.
    pub source: Option<IpAddr>,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(400),
            // Longer than a silence of two seconds that begins just before a keep-alive probe.
            tcp_user_timeout: Duration::from_secs(5),
            source: None,
        }
    }
}

/// When a call is sent on a new connection, which a target with a limit on connections may reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnection {
    /// At once: the target has no such limit.
    AtOnce,
    /// At once, as the call may be sent again; unless the target has recently reset new connections.
    AtOnceIfRoom,
    /// Once the target has accepted it, as the call must not be sent again.
    Accepted,
}

/// Terms on which a call gets a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTerms {
    /// What the call's answer is recognised by: the connection has carried no other call with this key. `None` if the target
    /// answers each call once.
    pub call: Option<CallKey>,
    /// Maximum number of connections in use to the engine.
    pub max_connections: usize,
    /// Number of connections for which the engine has room, whatever the other nodes use.
    pub share: usize,
    /// Whether the engine accepts so few connections that other nodes may use this node's share.
    pub is_scarce: bool,
    /// Paths that the call may take.
    pub paths: AllowedPaths,
    /// When the call is sent on a new connection.
    pub new_connection: NewConnection,
}

/// HTTP client for engines. Clones share one connection pool, which belongs to one thread.
#[derive(Clone)]
pub struct EngineLink {
    pool: Rc<ConnectionPool>,
    limits: LinkLimits,
    config: ServiceConfig,
    paths: Rc<OnceCell<Rc<dyn LinkPaths>>>,
}

impl EngineLink {
    /// A client without connections. Must be called within a running actix arbiter.
    pub fn new(limits: LinkLimits) -> Self {
        Self {
            pool: Rc::default(),
            limits,
            config: ServiceConfig::default(),
            paths: Rc::default(),
        }
    }

    /// Lets `paths` decide how connections are opened. Without it they are opened directly. Only the first call has an effect.
    pub fn set_paths(&self, paths: Rc<dyn LinkPaths>) {
        let _ = self.paths.set(paths);
    }

    /// Sends a request to a target that answers each call once, and waits for the response head. Fails if there is no idle connection to
    /// the target and `max_connections` are in use. Dropping the future closes the connection.
    pub async fn send(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        head: RequestHead,
        body: &Body,
    ) -> Result<Exchange, SendError> {
        let terms = ConnectionTerms {
            call: None,
            max_connections,
            share: max_connections,
            is_scarce: false,
            paths: AllowedPaths::Any,
            new_connection: NewConnection::AtOnce,
        };
        self.send_if(target, terms, head, body, || true, |_| true)
            .await
    }

    /// Like [`send`](Self::send), but checks `is_eligible` once there is a connection: the engine may have
    /// become ineligible while it was opened. Responses that are not the call's own by `is_own` are skipped.
    pub async fn send_if(
        &self,
        target: &LinkTarget,
        terms: ConnectionTerms,
        head: RequestHead,
        body: &Body,
        is_eligible: impl FnOnce() -> bool,
        is_own: impl FnMut(&ResponseHead) -> bool,
    ) -> Result<Exchange, SendError> {
        let mut connection = self.settled_connection(target, terms).await?;
        if !is_eligible() {
            connection.return_to_pool();
            return Err(SendError::NotEligible);
        }
        connection.limit_unacknowledged(body, self.limits.tcp_user_timeout);
        let paths = self.paths.get().filter(|_| connection.path.is_direct());
        let mut call = paths
            .map(|paths| DirectCall::new(paths, target, connection.opened_at, connection.is_kept));
        let received = connection
            .exchange(self.config.clone(), terms.call, head, body)
            .await;
        let received = match received {
            Ok(received) => skip_stray_responses(&mut connection, received, is_own).await,
            Err(error) => Err(error),
        };
        let is_observed = terms.new_connection != NewConnection::AtOnce;
        let is_unsent = matches!(received, Err(SendError::NotSent(_)));
        let is_rejected = is_observed
            && (matches!(received, Err(SendError::ResetWhenNew(_)))
                || (is_unsent && connection.may_be_rejected()));
        match (&received, &mut call) {
            // Bytes that arrive show that the link works.
            (Ok(_) | Err(SendError::Malformed(_)), Some(call)) => call.record_bytes(),
            // The engine is more likely to lack room.
            (Err(_), Some(_)) if is_rejected && self.is_beyond_share(target, terms) => {}
            (Err(_), Some(call)) => call.record_broken(),
            (_, None) => {}
        }
        if is_rejected {
            self.record_rejected(target);
        } else if received.is_ok() && !connection.is_kept {
            self.pool.rejections(target, Rejections::record_accepted);
        }
        let is_broken = !matches!(received, Ok(_) | Err(SendError::Malformed(_)));
        if let (true, Path::Detour(carrier), Some(paths)) =
            (is_broken, connection.path, self.paths.get())
        {
            paths.observe(LinkObservation::DetourBroke(carrier));
            self.pool.discard_detours(carrier);
        }
        match received {
            Err(_) if is_rejected && is_unsent => {
                drop(connection);
                Err(SendError::ConnectionLimitReached(self.pool.in_use(target)))
            }
            received => {
                let (received, skipped) = received?;
                Ok(Exchange::new(connection, received, skipped, call))
            }
        }
    }

    /// Opens a connection and adds it to the pool. Shows whether the target accepts connections.
    pub async fn open(&self, target: &LinkTarget, max_connections: usize) -> Result<(), SendError> {
        let slot = self
            .pool
            .reserve_slot(target, max_connections)
            .map_err(SendError::ConnectionLimitReached)?;
        let paths = self.paths.get();
        let connection = open(target, &self.limits, paths, AllowedPaths::Any).await?;
        PooledConnection::new(connection, slot).return_to_pool();
        Ok(())
    }

    /// Whether a connection to the target is open, so that its process goes on.
    pub fn is_connected(&self, target: &LinkTarget) -> bool {
        self.pool.is_connected(target)
    }

    /// Closes the idle connections to the target if it has ended the most recently used one, as it does when its process
    /// ends; returns whether it has.
    pub fn close_ended(&self, target: &LinkTarget) -> bool {
        self.pool.close_ended(target)
    }

    /// Opens a connection directly, for another node or as a trial; it is not added to the pool.
    pub async fn open_directly(&self, address: SocketAddr) -> Result<TcpStream, SendError> {
        connect(address, &self.limits).await
    }

    /// A connection on which the call may be sent: if the call must not run twice or the engine has recently reset new
    /// connections, one that the engine has accepted.
    async fn settled_connection(
        &self,
        target: &LinkTarget,
        terms: ConnectionTerms,
    ) -> Result<PooledConnection, SendError> {
        loop {
            let connection = self.connection(target, terms).await?;
            if connection.is_kept {
                return Ok(connection);
            }
            let now = BootInstant::now();
            let is_beyond_share = self.is_beyond_share(target, terms);
            let (is_contended, settle_time) = self.pool.rejections(target, |rejections| {
                let settle_time = rejections.settle_time(now, is_beyond_share || terms.is_scarce);
                (rejections.is_contended(now), settle_time)
            });
            let is_used_at_once = match terms.new_connection {
                NewConnection::AtOnce => true,
                NewConnection::AtOnceIfRoom => !is_contended,
                NewConnection::Accepted => false,
            };
            if is_used_at_once {
                return Ok(connection);
            }
            if connection.settles(settle_time).await {
                self.pool.rejections(target, Rejections::record_accepted);
                return Ok(connection);
            }
            // With less than its share, the node has to check whether its own links are at fault.
            let is_suspicious = connection.path.is_direct() && !is_beyond_share;
            connection.discard();
            self.record_rejected(target);
            if let Some(paths) = self.paths.get().filter(|_| is_suspicious) {
                paths.observe(LinkObservation::NewBroke(target));
            }
        }
    }

    /// Whether the connections in use are more than those for which the engine has room, whatever the other nodes use.
    fn is_beyond_share(&self, target: &LinkTarget, terms: ConnectionTerms) -> bool {
        self.pool.in_use(target) > terms.share
    }

    fn record_rejected(&self, target: &LinkTarget) {
        let now = BootInstant::now();
        self.pool
            .rejections(target, |rejections| rejections.record_rejected(now));
    }

    async fn connection(
        &self,
        target: &LinkTarget,
        terms: ConnectionTerms,
    ) -> Result<PooledConnection, SendError> {
        let ConnectionTerms {
            call,
            max_connections,
            share,
            paths: allowed,
            ..
        } = terms;
        let paths = self.paths.get();
        let uses_direct = paths.is_none_or(|paths| paths.trusts_kept());
        let uses_detours =
            allowed == AllowedPaths::Any && paths.is_some_and(|paths| paths.prefers_detour());
        let is_usable = |path: Path| match path {
            Path::Direct => uses_direct,
            Path::Detour(_) => uses_detours,
        };
        if let Some(idle) = self.pool.take_idle(target, call, is_usable) {
            return Ok(idle);
        }
        if let Some(call) = call {
            self.pool.make_room(target, call, share);
        }
        let slot = self
            .pool
            .reserve_accepted_slot(target, max_connections)
            .map_err(SendError::ConnectionLimitReached)?;
        let connection = open(target, &self.limits, paths, allowed).await?;
        Ok(PooledConnection::new(connection, slot))
    }

    /// Closes idle connections that have expired, those beyond this node's `share` of a target's connections that have been idle
    /// for a moment, and those to targets without a share.
    pub fn sweep(&self, share: impl Fn(&LinkTarget) -> Option<usize>) {
        self.pool.sweep(share);
    }
}

//! Client that sends requests to engines.

use std::cell::OnceCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use bytes::Bytes;
use tokio::net::TcpStream;

use crate::connect::connect;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::error::SendError;
use crate::open::open;
use crate::paths::{AllowedPaths, DirectCall, LinkObservation, LinkPaths, Path};
use crate::response::Exchange;

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
    /// Longest time without an acknowledgement before the connection fails. Also decides when keep-alive probes give up, and
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

    /// Sends a request and waits for the response head. Fails if there is no idle connection to
    /// the target and `max_connections` are in use. Dropping the future closes the connection.
    pub async fn send(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<Exchange, SendError> {
        let is_eligible = || true;
        let allowed = AllowedPaths::Any;
        self.send_if(target, max_connections, allowed, head, body, is_eligible)
            .await
    }

    /// Like [`send`](Self::send), but checks `is_eligible` once there is a connection: the engine may have
    /// become ineligible while it was opened.
    pub async fn send_if(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        allowed: AllowedPaths,
        head: RequestHead,
        body: &Bytes,
        is_eligible: impl FnOnce() -> bool,
    ) -> Result<Exchange, SendError> {
        let mut connection = self.connection(target, max_connections, allowed).await?;
        if !is_eligible() {
            connection.return_to_pool();
            return Err(SendError::NotEligible);
        }
        let paths = self.paths.get().filter(|_| connection.path.is_direct());
        let mut call = paths
            .map(|paths| DirectCall::new(paths, target, connection.opened_at, connection.is_kept));
        let received = connection.exchange(self.config.clone(), head, body).await;
        match (&received, &mut call) {
            (Ok(_), Some(call)) => call.record_bytes(),
            (Err(_), Some(call)) => call.record_broken(),
            (_, None) => {}
        }
        if let (Err(_), Path::Detour(carrier), Some(paths)) =
            (&received, connection.path, self.paths.get())
        {
            paths.observe(LinkObservation::DetourBroke(carrier));
            self.pool.discard_detours(carrier);
        }
        Ok(Exchange::new(connection, received?, call))
    }

    /// Opens a connection and adds it to the pool. Shows whether the target accepts connections.
    pub async fn open(&self, target: &LinkTarget, max_connections: usize) -> Result<(), SendError> {
        self.new_connection(target, max_connections, AllowedPaths::Any)
            .await?
            .return_to_pool();
        Ok(())
    }

    /// Opens a connection directly, for another node or as a trial; it is not added to the pool.
    pub async fn open_directly(&self, address: SocketAddr) -> Result<TcpStream, SendError> {
        connect(address, &self.limits).await
    }

    async fn connection(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        allowed: AllowedPaths,
    ) -> Result<PooledConnection, SendError> {
        let paths = self.paths.get();
        let uses_direct = paths.is_none_or(|paths| paths.trusts_kept());
        let uses_detours =
            allowed == AllowedPaths::Any && paths.is_some_and(|paths| paths.prefers_detour());
        let is_usable = |path: Path| match path {
            Path::Direct => uses_direct,
            Path::Detour(_) => uses_detours,
        };
        if let Some(idle) = self.pool.take_idle(target, is_usable) {
            return Ok(idle);
        }
        self.new_connection(target, max_connections, allowed).await
    }

    async fn new_connection(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        allowed: AllowedPaths,
    ) -> Result<PooledConnection, SendError> {
        let slot = self
            .pool
            .reserve_slot(target, max_connections)
            .map_err(SendError::ConnectionLimitReached)?;
        let connection = open(target, &self.limits, self.paths.get(), allowed).await?;
        Ok(PooledConnection::new(connection, slot))
    }

    /// Closes idle connections that have expired and those to targets for which `keep` returns false.
    pub fn sweep(&self, keep: impl Fn(&LinkTarget) -> bool) {
        self.pool.sweep(keep);
    }
}

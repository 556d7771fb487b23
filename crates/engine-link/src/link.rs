//! Client that sends requests to engines.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use bytes::Bytes;

use crate::connect::connect;
use crate::connection::Connection;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::error::SendError;
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
    /// Longest time for which sent data may stay unacknowledged before the connection fails.
    pub tcp_user_timeout: Duration,
    /// Local address of the connections; chosen by the system if absent.
    pub source: Option<IpAddr>,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(400),
            tcp_user_timeout: Duration::from_secs(2),
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
}

impl EngineLink {
    /// A client without connections. Must be called within a running actix arbiter.
    pub fn new(limits: LinkLimits) -> Self {
        Self {
            pool: Rc::default(),
            limits,
            config: ServiceConfig::default(),
        }
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
        self.send_if(target, max_connections, head, body, is_eligible)
            .await
    }

    /// Like [`send`](Self::send), but checks `is_eligible` once there is a connection: the engine may have
    /// become ineligible while it was opened.
    pub async fn send_if(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        head: RequestHead,
        body: &Bytes,
        is_eligible: impl FnOnce() -> bool,
    ) -> Result<Exchange, SendError> {
        let mut connection = self.connection(target, max_connections).await?;
        if !is_eligible() {
            connection.return_to_pool();
            return Err(SendError::NotEligible);
        }
        let received = connection.exchange(self.config.clone(), head, body).await?;
        Ok(Exchange::new(connection, received))
    }

    /// Opens a connection and adds it to the pool. Shows whether the target accepts connections.
    pub async fn open(&self, target: &LinkTarget, max_connections: usize) -> Result<(), SendError> {
        self.new_connection(target, max_connections)
            .await?
            .return_to_pool();
        Ok(())
    }

    async fn connection(
        &self,
        target: &LinkTarget,
        max_connections: usize,
    ) -> Result<PooledConnection, SendError> {
        if let Some(idle) = self.pool.take_idle(target) {
            return Ok(idle);
        }
        self.new_connection(target, max_connections).await
    }

    async fn new_connection(
        &self,
        target: &LinkTarget,
        max_connections: usize,
    ) -> Result<PooledConnection, SendError> {
        let slot = self
            .pool
            .reserve_slot(target, max_connections)
            .map_err(SendError::ConnectionLimitReached)?;
        let limits = &self.limits;
        let stream = connect(target.address, limits).await?;
        Ok(PooledConnection::new(Connection::new(stream), slot))
    }

    /// Closes idle connections that have expired and those to targets for which `keep` returns false.
    pub fn sweep(&self, keep: impl Fn(&LinkTarget) -> bool) {
        self.pool.sweep(keep);
    }
}

//! Sends requests to engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use bytes::Bytes;

use crate::answer::Exchange;
use crate::connect::connect;
use crate::connection::Connection;
use crate::error::SendError;
use crate::pool::{ConnectionPool, PooledConnection};

/// One run of an engine at an address. Another run at the same address is another target, so that
/// no connection to the former one is used for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LinkTarget {
    /// Where it listens.
    pub address: SocketAddr,
    /// Names the run.
    pub run: Arc<str>,
}

/// Bounds on the connections of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for which a peer may leave sent bytes unacknowledged.
    pub tcp_user_timeout: Duration,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(400),
            tcp_user_timeout: Duration::from_secs(2),
        }
    }
}

/// Connections to engines, of one thread.
#[derive(Clone)]
pub struct EngineLink {
    pool: Rc<ConnectionPool>,
    limits: LinkLimits,
    config: ServiceConfig,
}

impl EngineLink {
    /// A link without connections; needs a running arbiter.
    pub fn new(limits: LinkLimits) -> Self {
        Self {
            pool: Rc::default(),
            limits,
            config: ServiceConfig::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. At most `max_connections` are open to
    /// the target at once. Dropped, it ends the exchange.
    pub async fn send(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<Exchange, SendError> {
        let is_open = || true;
        self.send_if(target, max_connections, head, body, is_open)
            .await
    }

    /// The same, unless the engine is closed to the request once there is a connection: to make one takes
    /// up to the limits' `connect_timeout`.
    pub async fn send_if(
        &self,
        target: &LinkTarget,
        max_connections: usize,
        head: RequestHead,
        body: &Bytes,
        is_open: impl FnOnce() -> bool,
    ) -> Result<Exchange, SendError> {
        let mut connection = self.connection(target, max_connections).await?;
        if !is_open() {
            connection.keep();
            return Err(SendError::NotEligible);
        }
        let answer = connection.exchange(self.config.clone(), head, body).await?;
        Ok(Exchange::new(connection, answer))
    }

    /// Opens a connection and keeps it for the next exchange. Whether something listens there.
    pub async fn open(&self, target: &LinkTarget, max_connections: usize) -> Result<(), SendError> {
        self.new_connection(target, max_connections).await?.keep();
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
        let place = self
            .pool
            .take_place(target, max_connections)
            .map_err(SendError::ConnectionLimitReached)?;
        let limits = &self.limits;
        let stream = connect(
            target.address,
            limits.connect_timeout,
            limits.tcp_user_timeout,
        )
        .await?;
        Ok(PooledConnection::new(Connection::new(stream), place))
    }

    /// Closes what was idle for too long, and all that is idle to targets that `keep` leaves out.
    pub fn sweep(&self, keep: impl Fn(&LinkTarget) -> bool) {
        self.pool.sweep(keep);
    }
}

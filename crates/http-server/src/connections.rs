//! Open connections of a server: their count and graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use crate::shared_stream::SharedStream;

/// Interval at which a shutdown checks whether connections, accept loops or unread requests remain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Connections of one server, across all its arbiters.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    /// Number of open connections.
    open: Arc<AtomicUsize>,
    /// Number of connections that were closed on arrival.
    refused: Arc<AtomicUsize>,
    /// Number of connections that were ended in favour of new ones.
    displaced: Arc<AtomicUsize>,
    /// Number of accept loops whose listening sockets are open.
    listening: Arc<AtomicUsize>,
    /// Whether the accept loops must end.
    closing: Arc<watch::Sender<bool>>,
    /// Whether the connections must close.
    draining: Arc<watch::Sender<bool>>,
}

impl Connections {
    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number of connections that were closed on arrival, because too many were open.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a connection that is closed on arrival.
    pub(crate) fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends every accept loop and returns when all listening sockets are closed. Each loop first accepts
    /// the connections in its backlog, which closing the socket would drop.
    pub async fn stop_accepting(&self) {
        self.closing.send_replace(true);
        while self.listening.load(Ordering::SeqCst) > 0 {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Completes when the accept loops must end.
    pub(crate) async fn closing(&self) {
        let mut receiver = self.closing.subscribe();
        // Cannot fail: `self` keeps the sender alive.
        let _ = receiver.wait_for(|closing| *closing).await;
    }

    /// Counts an accept loop as listening until the guard is dropped.
    pub(crate) fn listen(&self) -> ListeningGuard {
        self.listening.fetch_add(1, Ordering::SeqCst);
        ListeningGuard(self.clone())
    }

    /// Closes every connection, after any answer in progress has been written completely. Returns when
    /// all are closed.
    pub async fn drain(&self) {
        self.draining.send_replace(true);
        while self.open() > 0 {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn enter(&self) -> ConnectionGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard(self.clone())
    }

    /// Number of connections that were ended in favour of new ones.
    pub fn displaced(&self) -> usize {
        self.displaced.load(Ordering::Relaxed)
    }

    /// Counts a connection that is ended in favour of a new one.
    pub(crate) fn record_displaced(&self) {
        self.displaced.fetch_add(1, Ordering::Relaxed);
    }

    /// Completes when a connection must close. That is postponed while a request lies unread in its socket, which would be
    /// dropped without an answer.
    pub(crate) async fn draining(&self, stream: Option<SharedStream>) {
        let mut receiver = self.draining.subscribe();
        // Fails only if the sender is dropped, which lives as long as the server.
        let _ = receiver.wait_for(|draining| *draining).await;
        while stream.as_ref().is_some_and(SharedStream::has_unread_bytes) {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Counts an accept loop until dropped.
pub(crate) struct ListeningGuard(Connections);

impl Drop for ListeningGuard {
    fn drop(&mut self) {
        self.0.listening.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a connection until dropped.
pub(crate) struct ConnectionGuard(Connections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

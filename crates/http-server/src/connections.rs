//! Open connections of a server: their count and graceful shutdown.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Interval at which a shutdown checks whether connections or accept loops remain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Connections of one server, across all its arbiters.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    /// Number of open connections.
    open: Arc<AtomicUsize>,
    /// Number of connections that were closed on arrival.
    refused: Arc<AtomicUsize>,
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

    /// Returns a factory of futures, one per connection, that complete when connections must close.
    pub(crate) fn drain_signal(&self) -> impl Fn() -> DrainSignal + 'static {
        let draining = Arc::clone(&self.draining);
        move || {
            let mut receiver = draining.subscribe();
            Box::pin(async move {
                // Fails only if the sender is dropped, which lives as long as the server.
                let _ = receiver.wait_for(|draining| *draining).await;
            })
        }
    }
}

/// Completes when connections must close.
type DrainSignal = std::pin::Pin<Box<dyn Future<Output = ()>>>;

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

//! Open connections of a server: their count, and their orderly end.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// How often the count of open connections is looked at while they end.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Connections of one server, over all arbiters that serve it.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: Arc<AtomicUsize>,
    listening: Arc<AtomicUsize>,
    closing: Arc<watch::Sender<bool>>,
    draining: Arc<watch::Sender<bool>>,
}

impl Connections {
    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Ends every accept loop. Each takes in what waits at its socket before it closes it, since
    /// closing a socket drops the connections that wait there. Yields when all have closed.
    pub async fn stop_accepting(&self) {
        self.closing.send_replace(true);
        while self.listening.load(Ordering::SeqCst) > 0 {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Waits until accepting is to end.
    pub(crate) async fn closing(&self) {
        let mut receiver = self.closing.subscribe();
        // The sender lives as long as the server, so waiting cannot fail before the end.
        let _ = receiver.wait_for(|closing| *closing).await;
    }

    /// Counts an accept loop until the guard is dropped.
    pub(crate) fn listen(&self) -> ListeningGuard {
        self.listening.fetch_add(1, Ordering::SeqCst);
        ListeningGuard(self.clone())
    }

    /// Ends every connection once the answer on it, if there is one, has been written to its last
    /// byte. Yields when all have ended.
    pub async fn drain(&self) {
        self.draining.send_replace(true);
        while self.open() > 0 {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn enter(&self) -> ConnectionGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard(self.clone())
    }

    /// Makes, for each connection, a future that is ready once connections are to end.
    pub(crate) fn drain_signal(&self) -> impl Fn() -> DrainSignal + 'static {
        let draining = Arc::clone(&self.draining);
        move || {
            let mut receiver = draining.subscribe();
            Box::pin(async move {
                // The sender lives as long as the server, so waiting cannot fail before the end.
                let _ = receiver.wait_for(|draining| *draining).await;
            })
        }
    }
}

/// Ready once connections are to end.
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

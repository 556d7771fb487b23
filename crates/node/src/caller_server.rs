//! Serves callers on several arbiters that accept from one socket.
//!
//! An engine emits the tokens of one step for all its requests at once. A single arbiter would
//! delay the ones that it relays last.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::time::timeout;
use dalestand_gateway::{CallerLimits, SharedState, serve_callers};
use dalestand_http_server::Connections;
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};
use tokio::net::TcpListener;

use crate::error::NodeError;

/// Processors per arbiter that serves callers.
const PROCESSORS_PER_ARBITER: usize = 3;

const MAX_ARBITERS: usize = 8;

/// Longest time that a stopping node waits for callers to receive the rest of their answers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a stopping node still answers requests on recently accepted connections, with a
/// refusal, before it closes idle connections.
const LATE_REQUEST_WINDOW: Duration = Duration::from_millis(200);

/// The arbiters that serve callers, and their connections.
pub(crate) struct CallerServer {
    arbiters: Vec<Arbiter>,
    connections: Connections,
}

impl CallerServer {
    /// Starts serving callers on `listener`.
    pub(crate) fn start(
        shared: &Arc<SharedState>,
        listener: std::net::TcpListener,
    ) -> Result<Self, Report<NodeError>> {
        let connections = Connections::default();
        let processors = std::thread::available_parallelism().map_or(1, usize::from);
        let count = (processors / PROCESSORS_PER_ARBITER).clamp(1, MAX_ARBITERS);
        let mut arbiters = Vec::with_capacity(count);
        for _ in 0..count {
            let context = || NodeError::Listen("callers".to_owned());
            let listener = listener.try_clone().change_context_lazy(context)?;
            arbiters.push(start_arbiter(
                Arc::clone(shared),
                listener,
                connections.clone(),
            ));
        }
        Ok(Self {
            arbiters,
            connections,
        })
    }

    /// Stops accepting connections and waits until the answers to all accepted requests are written
    /// completely. The end of an answer may still be in a connection's buffer after its request has
    /// finished.
    pub(crate) async fn drain(&self, shared: &SharedState) {
        self.connections.stop_accepting().await;
        actix_rt::time::sleep(LATE_REQUEST_WINDOW).await;
        if timeout(FLUSH_TIMEOUT, self.connections.drain())
            .await
            .is_err()
        {
            let open = self.connections.open();
            log_event!(shared.logger, Event::StopAbandonedConnections, "connections" => open);
        }
    }

    pub(crate) fn stop(self) {
        for arbiter in self.arbiters {
            arbiter.stop();
        }
    }
}

fn start_arbiter(
    shared: Arc<SharedState>,
    listener: std::net::TcpListener,
    connections: Connections,
) -> Arbiter {
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    let limits = CallerLimits::default();
                    serve_callers(listener, shared, limits, connections).await;
                }
                Err(error) => {
                    log_event!(shared.logger, Event::ListenFailed, "error" => %error);
                }
            }
        });
    });
    arbiter
}

//! The half of a node that serves callers.
//!
//! Several arbiters accept from one socket: the tokens of one step of an engine come in together,
//! and one arbiter alone would delay those it relays last.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::time::timeout;
use dalestand_gateway::{CallerLimits, Shared, serve_callers};
use dalestand_http_server::Connections;
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};
use tokio::net::TcpListener;

use crate::error::NodeError;

/// Processors of the machine for each arbiter that serves callers.
const PROCESSORS_PER_ARBITER: usize = 3;

/// Most arbiters that serve callers.
const MAX_ARBITERS: usize = 8;

/// Longest time a stopping node waits for callers to take the last bytes of their answers.
const FLUSH_LIMIT: Duration = Duration::from_secs(60);

/// Time in which requests on connections that were just taken in are still refused with an answer
/// before idle connections are ended.
const LAST_REQUESTS: Duration = Duration::from_millis(200);

/// Arbiters that serve callers.
pub(crate) struct CallerHalf {
    arbiters: Vec<Arbiter>,
    connections: Connections,
}

impl CallerHalf {
    /// Starts to serve callers on `listener`.
    pub(crate) fn start(
        shared: &Arc<Shared>,
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

    /// Stops to accept, answers what was taken in, and waits until the last byte of every answer
    /// has been written: an answer whose last part was taken from its request may still lie in its
    /// connection's buffer.
    pub(crate) async fn drain(&self, shared: &Shared) {
        self.connections.stop_accepting().await;
        actix_rt::time::sleep(LAST_REQUESTS).await;
        if timeout(FLUSH_LIMIT, self.connections.drain())
            .await
            .is_err()
        {
            let open = self.connections.open();
            log_event!(shared.logger, Event::StopAbandonedConnections, "connections" => open);
        }
    }

    /// Stops the arbiters.
    pub(crate) fn stop(self) {
        for arbiter in self.arbiters {
            arbiter.stop();
        }
    }
}

fn start_arbiter(
    shared: Arc<Shared>,
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

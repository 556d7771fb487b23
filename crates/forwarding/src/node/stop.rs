//! A planned stop: callers are sent elsewhere first, then what is under way ends.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{BootInstant, sleep, timeout};
use dalestand_http_server::Connections;
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;

/// Time in which the platform notices that the node is not ready: two of its questions, one a
/// second, and some more. Until then new callers come and are served.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);

/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Stops as planned; yields when the process may end.
pub(crate) async fn stop(context: Rc<Context>, connections: Connections) {
    let begun = BootInstant::now();
    let grace = context.settings.grace().saturating_sub(GRACE_MARGIN);
    context.begin_stop();
    log_event!(context.logger, Event::StopStarted, "in_flight" => context.in_flight.count(),
        "connections" => connections.open());
    sleep(NOTICE_TIME.min(grace / 3)).await;
    let ended = async {
        connections.stop_accepting().await;
        connections.drain().await;
    };
    let left = grace.saturating_sub(begun.elapsed());
    let in_time = timeout(left, ended).await.is_ok();
    if !in_time {
        log_event!(context.logger, Event::StopAbandonedConnections,
            "in_flight" => context.in_flight.count(), "connections" => connections.open());
    }
    log_event!(context.logger, Event::StopCompleted,
        "took_ms" => begun.elapsed().as_millis() as u64);
}

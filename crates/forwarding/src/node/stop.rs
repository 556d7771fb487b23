//! Graceful shutdown: waits until the platform sends callers elsewhere, then drains the connections.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{BootInstant, sleep, timeout};
use dalestand_http_server::Connections;
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::node::shutdown::ShutdownTimes;
use crate::streams::share::share_own;

/// Time until the platform has noticed that the node is not ready: two probes, one second apart, and a
/// margin. New callers are served until then.
const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(2_300);

/// The process exits this long before the platform would kill it.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Requests are answered this long before the process exits, so that their answers are written by then.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Shuts the node down; returns when the process may exit.
pub(crate) async fn stop(context: Rc<Context>, connections: Connections) {
    let begun = BootInstant::now();
    let grace = context.settings.grace().saturating_sub(GRACE_MARGIN);
    let notice_time = UNREADY_NOTICE_TIME.min(grace / 3);
    context.shutdown.begin(ShutdownTimes {
        noticed_at: begun + notice_time,
        answers_due: begun + grace.saturating_sub(ANSWER_MARGIN),
    });
    // A version that appears later would find no record of the streams that this node began.
    share_own(&context, None);
    log_event!(context.logger, Event::StopStarted, "in_flight" => context.in_flight.count(),
        "connections" => connections.open());
    sleep(notice_time).await;
    let drained = async {
        connections.stop_accepting().await;
        connections.drain().await;
        // Nodes that are cut off from engines close theirs soon, as no new ones are opened.
        context.detours.tunnels.ended().await;
    };
    let left = grace.saturating_sub(begun.elapsed());
    let in_time = timeout(left, drained).await.is_ok();
    if !in_time {
        log_event!(context.logger, Event::StopAbandonedConnections,
            "in_flight" => context.in_flight.count(), "connections" => connections.open(),
            "tunnels" => context.detours.tunnels.open());
    }
    log_event!(context.logger, Event::StopCompleted,
        "took_ms" => begun.elapsed().as_millis() as u64);
}

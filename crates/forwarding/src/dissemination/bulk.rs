//! Sends long answers to nodes that asked.

use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::pacing::pause;
use crate::dissemination::transmit::send_encoded;

/// Bytes after which the sender waits until the link has carried them.
const BURST_BYTES: usize = 16 << 10;

/// Sends what waits, for as long as it is polled.
pub(crate) async fn send_bulk(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let queue = &context.dissemination.bulk;
    let mut burst = 0;
    loop {
        let Some((address, datagram)) = queue.pop() else {
            queue.added.notified().await;
            continue;
        };
        burst += send_encoded(&context, &socket, &[address], &datagram);
        if burst >= BURST_BYTES {
            context.sent(burst);
            context.metrics.bulk_dropped(queue.take_dropped());
            actix_rt::time::sleep(pause(&context.settings, burst)).await;
            burst = 0;
        }
    }
}

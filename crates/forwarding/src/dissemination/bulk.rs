//! Sends long answers to requesting nodes.

use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::pacing::pause_after;
use crate::dissemination::transmit::send_encoded;

/// Bytes after which the sender pauses until the link has carried them.
const BURST_BYTES: usize = 16 << 10;

/// Sends queued datagrams until dropped.
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
            context.record_sent_bytes(burst);
            context.metrics.bulk_dropped(queue.take_dropped());
            actix_rt::time::sleep(pause_after(&context.settings, burst)).await;
            burst = 0;
        }
    }
}

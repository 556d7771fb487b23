//! Sends long answers to requesting nodes.

use std::rc::Rc;

use tokio::net::UdpSocket;

use dalestand_dissemination::{Message, renewed_pages};

use crate::context::Context;
use crate::dissemination::datagram::{AnswerPart, Datagram};
use crate::dissemination::pacing::pause_after;
use crate::dissemination::transmit::{encode, send_encoded};

/// Bytes after which the sender pauses until the link has carried them.
const BURST_BYTES: usize = 16 << 10;

/// The datagrams to send for a part. A page whose entries changed while it was queued is encoded again: an engine that
/// drains meanwhile may be unknown to its recipient.
fn current_datagrams(context: &Context, part: AnswerPart) -> Vec<Rc<Datagram>> {
    let page = match part {
        AnswerPart::Fixed(datagram) => return vec![datagram],
        AnswerPart::Page(page) => page,
    };
    let entries = context.dissemination.entries.borrow();
    if page.is_current(&entries) {
        return vec![page.datagram];
    }
    let renewed = renewed_pages(context.dissemination.node, &entries, page.span);
    let renewed = renewed.into_iter().map(Message::Entries);
    renewed
        .filter_map(|page| encode(context, &page).map(Rc::new))
        .collect()
}

/// Sends queued datagrams until dropped.
pub(crate) async fn send_bulk(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let queue = &context.dissemination.bulk;
    let mut burst = 0;
    loop {
        let Some((address, part)) = queue.pop() else {
            queue.added.notified().await;
            continue;
        };
        for datagram in current_datagrams(&context, part) {
            burst += send_encoded(&context, &socket, &[address], &datagram);
        }
        if burst >= BURST_BYTES {
            context.record_sent_bytes(burst);
            context.metrics.bulk_dropped(queue.take_dropped());
            actix_rt::time::sleep(pause_after(&context.settings, burst)).await;
            burst = 0;
        }
    }
}

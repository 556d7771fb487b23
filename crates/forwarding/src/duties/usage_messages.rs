//! Sends this node's usage counts to the lease holder.

use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_dissemination::{LeaseHolder, Message, UsageReport};
use dalestand_duties::WindowCounts;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::transmit::send;

/// Maximum number of tenants in one datagram, about 1,100 bytes: below the path MTU.
const TENANTS_PER_DATAGRAM: usize = 64;

/// Sends this node's counts to the lease holder periodically; never returns unless usage is not counted.
pub(crate) async fn send_usage(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let Some(timing) = context.usage.timing() else {
        return;
    };
    let mut sent_to: Option<LeaseHolder> = None;
    loop {
        let pause = context.usage.time_to_next_send(context.now(), timing);
        actix_rt::time::sleep(pause).await;
        let now = context.now();
        context.usage.observe_clock(now);
        context.usage.remove_expired(now);
        let Some(holder) = context.dissemination.lease_holder() else {
            continue;
        };
        if sent_to != Some(holder) {
            // A new holder has no counts yet.
            context.usage.counters.borrow_mut().resend_all();
            sent_to = Some(holder);
        }
        let changed = context.usage.counters.borrow_mut().take_changed();
        if holder.node == context.dissemination.node {
            let mut ledger = context.usage.ledger.borrow_mut();
            ledger.merge(context.usage.origin, changed);
        } else {
            send_counts(&context, &socket, holder.address, changed);
        }
    }
}

fn send_counts(
    context: &Context,
    socket: &UdpSocket,
    holder: SocketAddr,
    windows: Vec<WindowCounts>,
) {
    for WindowCounts { window, counts } in windows {
        for counts in counts.chunks(TENANTS_PER_DATAGRAM) {
            let report = UsageReport {
                origin: context.usage.origin,
                windows: vec![WindowCounts {
                    window,
                    counts: counts.to_vec(),
                }],
            };
            let sent_bytes = send(context, socket, &[holder], &Message::Usage(report));
            context.record_sent_bytes(sent_bytes);
        }
    }
}

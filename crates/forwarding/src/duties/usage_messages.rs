//! Sends what this node counted to the holder of the lease.

use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_dissemination::{LeaseHolder, Message, UsageReport};
use dalestand_duties::WindowCounts;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::transmit::send;

/// Tenants in one datagram: some 1,100 bytes, below what a path carries in one packet.
const TENANTS_PER_DATAGRAM: usize = 64;

/// Sends this node's counts to the holder of the lease for as long as it is polled.
pub(crate) async fn send_usage(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let Some(terms) = context.usage.timing() else {
        return;
    };
    let mut sent_to: Option<LeaseHolder> = None;
    loop {
        let pause = context.usage.time_to_next_send(context.now(), terms);
        actix_rt::time::sleep(pause).await;
        let now = context.now();
        context.usage.observe_clock(now);
        context.usage.remove_expired(now);
        let Some(holder) = context.dissemination.lease_holder() else {
            continue;
        };
        if sent_to != Some(holder) {
            // A new holder knows nothing.
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

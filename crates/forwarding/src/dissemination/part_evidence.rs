//! Sends evidence against prompt parts to other nodes, and receives theirs.
//!
//! To make up for lost datagrams and nodes that were disconnected, relays resend the crashes of held parts once a second.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{Message, PartEvidence, ReportTarget};
use dalestand_quarantine::{PartCompletion, PartCrash};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::engine_notices::notice_source;
use crate::dissemination::transmit::send;
use crate::quarantine::parts::evidence::{apply_completions, apply_crashes};
use crate::quarantine::parts::state::QueuedEvidence;

/// Interval between retransmissions.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);

/// How often a relay resends the crashes of held parts.
const FULL_STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Of the oldest and of the newest crashes of a held part, so many are resent: enough that it is held where they are received.
const RESENT_CRASHES: usize = 4;

/// Held parts in one round; successive rounds resend successive parts.
const PARTS_PER_ROUND: usize = 8;

/// Maximum number of prompt parts in a message, about 1 KB, so that it fits a packet.
const MAX_PARTS_PER_MESSAGE: usize = 64;

/// Sends evidence until dropped.
pub(crate) async fn send_part_evidence(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut all_sent_at = BootInstant::now();
    let mut round = 0;
    loop {
        let queue = &context.quarantine.parts.outgoing;
        if queue.is_empty() {
            let changed = tokio::time::timeout(FULL_STATE_INTERVAL, queue.changed.notified());
            // A timeout is no error: the periodic state may be due.
            let _ = changed.await;
        } else {
            actix_rt::time::sleep(RETRANSMIT_INTERVAL).await;
        }
        let is_relay = context.dissemination.role(context.now()).is_relay;
        let mut sent_bytes = if is_relay {
            send_as_relay(&context, &socket)
        } else {
            send_as_member(&context, &socket)
        };
        if is_relay && all_sent_at.elapsed() >= FULL_STATE_INTERVAL {
            all_sent_at = BootInstant::now();
            round += 1;
            sent_bytes += resend_held(&context, &socket, round);
        }
        context.record_sent_bytes(sent_bytes);
    }
}

fn send_as_relay(context: &Context, socket: &UdpSocket) -> usize {
    let queue = &context.quarantine.parts.outgoing;
    let (relays, members) = recipients(context);
    let for_relays = queue.for_relays.borrow_mut().take();
    let for_members = queue.for_members.borrow_mut().take();
    send_queued(context, socket, &relays, for_relays)
        + send_queued(context, socket, &members, for_members)
}

/// The other relays, and this relay's members.
fn recipients(context: &Context) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let dissemination = &context.dissemination;
    let relays = dissemination.exchange_addresses(context.now());
    let members = dissemination.subscribers.borrow().addresses();
    (relays.into_iter().collect(), members)
}

fn send_as_member(context: &Context, socket: &UdpSocket) -> usize {
    let queue = &context.quarantine.parts.outgoing;
    queue.for_members.borrow_mut().clear();
    let target = context
        .dissemination
        .subscription
        .borrow()
        .target(context.now());
    let addresses: Vec<SocketAddr> = match target {
        ReportTarget::Subscribed(relay) => vec![relay.address],
        ReportTarget::Probe(relays) => relays.iter().map(|relay| relay.address).collect(),
    };
    let evidence = queue.for_relays.borrow_mut().take();
    send_queued(context, socket, &addresses, evidence)
}

fn send_queued(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    queued: Vec<QueuedEvidence>,
) -> usize {
    let now = context.evidence_time();
    let ledger = context.quarantine.parts.ledger.borrow();
    let mut crashes = Vec::new();
    let mut completions = Vec::new();
    for evidence in queued {
        match evidence {
            QueuedEvidence::Crash(crash, recorded_at) => {
                crashes.push(crash.aged(now.since(recorded_at)));
            }
            QueuedEvidence::Completion(part) => {
                completions.extend(ledger.completion(now, part));
            }
        }
    }
    drop(ledger);
    send_all(context, socket, addresses, crashes, completions)
}

fn resend_held(context: &Context, socket: &UdpSocket, round: usize) -> usize {
    let now = context.evidence_time();
    let ledger = context.quarantine.parts.ledger.borrow();
    let rounds = ledger.held().len().div_ceil(PARTS_PER_ROUND).max(1);
    let parts = ledger.held().keys();
    let parts = parts
        .skip(round % rounds * PARTS_PER_ROUND)
        .take(PARTS_PER_ROUND);
    let crashes = parts.flat_map(|part| ledger.crash_records(now, *part, RESENT_CRASHES));
    let crashes: Vec<PartCrash> = crashes.collect();
    drop(ledger);
    let (mut addresses, members) = recipients(context);
    addresses.extend(members);
    send_all(context, socket, &addresses, crashes, Vec::new())
}

/// Sends evidence in as many messages as it needs; returns the bytes sent.
fn send_all(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    crashes: Vec<PartCrash>,
    completions: Vec<PartCompletion>,
) -> usize {
    if addresses.is_empty() || (crashes.is_empty() && completions.is_empty()) {
        return 0;
    }
    let node = context.dissemination.node;
    let mut evidence = PartEvidence {
        node,
        crashes: Vec::new(),
        completions,
    };
    let mut size = evidence.completions.len();
    let mut sent_bytes = 0;
    for crash in crashes {
        if size > 0 && size + crash.parts.len() > MAX_PARTS_PER_MESSAGE {
            let full = std::mem::replace(&mut evidence, PartEvidence::empty(node));
            sent_bytes += send(context, socket, addresses, &Message::PartEvidence(full));
            size = 0;
        }
        size += crash.parts.len();
        evidence.crashes.push(crash);
    }
    sent_bytes + send(context, socket, addresses, &Message::PartEvidence(evidence))
}

/// Applies the evidence of another node.
pub(crate) fn handle(context: &Context, evidence: PartEvidence) {
    let source = notice_source(context, evidence.node);
    apply_completions(context, &evidence.completions, source);
    apply_crashes(context, evidence.crashes, source);
}

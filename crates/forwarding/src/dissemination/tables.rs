//! Sends a relay's tables to its members.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{LoadScope, Message, Table};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::TABLE_INTERVAL;
use crate::dissemination::contents::{summed_loads, take_batches_of};
use crate::dissemination::freshness;
use crate::dissemination::pacing::pause_after;
use crate::dissemination::receive::news::answer_parts_requests;
use crate::dissemination::transmit::{LoadHeader, send, send_changes, send_loads, send_news};
use crate::quarantine::evidence::stopped_records;

/// How often tables include the list of relays.
const RELAY_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// How often requests for cached prompt parts are answered.
const PARTS_ANSWER_INTERVAL: Duration = Duration::from_millis(250);

/// Limit on the bytes per second that a member receives, the allowance for control traffic.
const MAX_MEMBER_BYTES_PER_S: f64 = 29_000.0;

/// Sends tables to members until dropped.
pub(crate) async fn send_tables(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut relays_sent_at = BootInstant::now();
    let mut parts_sent_at = BootInstant::now();
    let mut freshness_sent_at = BootInstant::now();
    loop {
        let now = context.now();
        let dissemination = &context.dissemination;
        dissemination.subscribers.borrow_mut().remove_silent(now);
        if parts_sent_at.elapsed() >= PARTS_ANSWER_INTERVAL && dissemination.role(now).is_relay {
            parts_sent_at = BootInstant::now();
            answer_parts_requests(&context);
        }
        let members = dissemination.subscribers.borrow().addresses();
        let has_recipients = !members.is_empty()
            && dissemination.role(now).is_relay
            // Members that receive no tables probe other relays.
            && !dissemination.leaves_members_to_others(now);
        if !has_recipients {
            dissemination.table_news.borrow_mut().take_batches();
            dissemination.changes.borrow_mut().clear_tables();
            send_freshness_if_due(&context, &socket, &mut freshness_sent_at);
            actix_rt::time::sleep(TABLE_INTERVAL).await;
            continue;
        }
        let includes_relays = relays_sent_at.elapsed() >= RELAY_LIST_INTERVAL;
        if includes_relays {
            relays_sent_at = BootInstant::now();
        }
        let sent_bytes = send_table(&context, &socket, &members, includes_relays);
        context.record_sent_bytes(sent_bytes);
        // After the table, so that members know the changes that the digest covers.
        send_freshness_if_due(&context, &socket, &mut freshness_sent_at);
        let member_bytes = sent_bytes as f64 / members.len() as f64;
        let member_pause = Duration::from_secs_f64(member_bytes / MAX_MEMBER_BYTES_PER_S);
        // Exceeding the limit must not delay the next table so much that members consider their
        // relay lost.
        let member_pause = member_pause.min(TABLE_INTERVAL);
        let pause = pause_after(&context.settings, sent_bytes).max(member_pause);
        actix_rt::time::sleep(pause).await;
    }
}

fn send_freshness_if_due(context: &Context, socket: &UdpSocket, sent_at: &mut BootInstant) {
    if sent_at.elapsed() < freshness::interval(context)
        || !context.dissemination.role(context.now()).is_relay
    {
        return;
    }
    *sent_at = BootInstant::now();
    let sent_bytes = freshness::send_freshness(context, socket);
    context.record_sent_bytes(sent_bytes);
}

fn send_table(
    context: &Context,
    socket: &UdpSocket,
    members: &[SocketAddr],
    includes_relays: bool,
) -> usize {
    let dissemination = &context.dissemination;
    let summed = context.router.borrow().work.summed(context.now(), |_| true);
    let loads = summed_loads(context, summed);
    let mut batches = take_batches_of(context, &dissemination.table_news).into_iter();
    let mut changes = dissemination.changes.borrow_mut().for_table().into_iter();
    let table = Table {
        node: dissemination.node,
        node_count: context.node_count() as u32,
        age_ms: loads.age_ms,
        work: loads.first,
        included: dissemination.subscribers.borrow().included_reports(),
        news: batches.next().unwrap_or_default(),
        changes: changes.next().unwrap_or_default(),
        entries_digest: dissemination.entries.borrow().digest(),
        stopped: if includes_relays {
            stopped_records(context)
        } else {
            Vec::new()
        },
        relays: if includes_relays {
            dissemination.relays.borrow().clone()
        } else {
            Vec::new()
        },
        holder: dissemination.lease_holder(),
        declaration: dissemination.offered_declaration_revision(),
    };
    let header = LoadHeader {
        scope: LoadScope::Fleet,
        age_ms: loads.age_ms,
    };
    send(context, socket, members, &Message::Table(table))
        + send_loads(context, socket, members, header, loads.further)
        + send_changes(context, socket, members, changes)
        + send_news(context, socket, members, batches)
}

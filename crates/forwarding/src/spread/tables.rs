//! A relay's tables for its members.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{LoadScope, Message, Table};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::quarantine::evidence::stopped_records;
use crate::spread::TABLE_INTERVAL;
use crate::spread::contents::{summed_loads, taken_news};
use crate::spread::pacing::pause;
use crate::spread::receive::news::answer_parts_requests;
use crate::spread::transmit::{LoadHeader, send, send_changes, send_loads, send_news};

/// How often the relays are named to members.
const RELAYS_INTERVAL: Duration = Duration::from_secs(1);

/// How often nodes that ask for known parts are answered.
const PARTS_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes a second that a member is to receive at most: what the users allow a node for control.
const MEMBER_BYTES_PER_S: f64 = 29_000.0;

/// Sends what a relay knows to its members, for as long as it is polled.
pub(crate) async fn send_tables(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut relays_named = BootInstant::now();
    let mut parts_told = BootInstant::now();
    loop {
        let now = context.now();
        let spread = &context.spread;
        spread.subscribers.borrow_mut().sweep(now);
        if parts_told.elapsed() >= PARTS_INTERVAL && spread.role(now).is_relay {
            parts_told = BootInstant::now();
            answer_parts_requests(&context);
        }
        let members = spread.subscribers.borrow().addresses();
        if members.is_empty() || !spread.role(now).is_relay {
            // Nobody listens.
            spread.table_news.borrow_mut().take_batches();
            spread.changes.borrow_mut().clear_tables();
            actix_rt::time::sleep(TABLE_INTERVAL).await;
            continue;
        }
        let names_relays = relays_named.elapsed() >= RELAYS_INTERVAL;
        if names_relays {
            relays_named = BootInstant::now();
        }
        let sent_bytes = send_table(&context, &socket, &members, names_relays);
        context.sent(sent_bytes);
        let member_bytes = sent_bytes as f64 / members.len() as f64;
        let member_pause = Duration::from_secs_f64(member_bytes / MEMBER_BYTES_PER_S);
        // News beyond what members may receive are no reason to let them wait for loads: on a large
        // site that took tables from 100 ms to 1 s, and members took their relays for lost.
        let member_pause = member_pause.min(TABLE_INTERVAL);
        let pause = pause(&context.settings, sent_bytes).max(member_pause);
        actix_rt::time::sleep(pause).await;
    }
}

fn send_table(
    context: &Context,
    socket: &UdpSocket,
    members: &[SocketAddr],
    names_relays: bool,
) -> usize {
    let spread = &context.spread;
    let summed = context.router.borrow().work.summed(context.now(), |_| true);
    let loads = summed_loads(context, summed);
    let mut batches = taken_news(context, &spread.table_news).into_iter();
    let mut changes = spread.changes.borrow_mut().for_table().into_iter();
    let table = Table {
        node: spread.node,
        node_count: context.node_count() as u32,
        age_ms: loads.age_ms,
        work: loads.first,
        included: spread.subscribers.borrow().included(),
        news: batches.next().unwrap_or_default(),
        changes: changes.next().unwrap_or_default(),
        entries_digest: spread.entries.borrow().digest(),
        stopped: if names_relays {
            stopped_records(context)
        } else {
            Vec::new()
        },
        relays: if names_relays {
            spread.relays.borrow().clone()
        } else {
            Vec::new()
        },
        holder: spread.holder(),
        declaration: spread.declaration_offered(),
    };
    let header = LoadHeader {
        scope: LoadScope::Fleet,
        age_ms: loads.age_ms,
    };
    send(context, socket, members, &Message::Table(table))
        + send_loads(context, socket, members, header, loads.others)
        + send_changes(context, socket, members, changes)
        + send_news(context, socket, members, batches)
}

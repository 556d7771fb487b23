//! Transfer of engine entries from a relay to a member.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    EntriesPage, EntriesRequest, Message, NodeNumber, entries_pages, entries_request,
};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::page_cache::PageCache;
use crate::dissemination::recent_changes::ChangeSource;
use crate::dissemination::transmit::{encode, send as send_message};
use crate::fleet::engine_entries;

/// Link time that one answer may use, because callers' requests wait behind it.
const ENTRIES_LINK_TIME: Duration = Duration::from_millis(50);

/// Limit on the bytes of entries per answer, however fast the link.
const MAX_ENTRIES_BYTES: u32 = 256 << 10;

/// Requests the entries that differ from a relay's, if a request is due.
pub(in crate::dissemination) fn request_if_due(
    context: &Context,
    socket: &UdpSocket,
    (number, relay): (NodeNumber, SocketAddr),
) {
    let now = context.now();
    if !context
        .dissemination
        .entry_sync
        .borrow_mut()
        .try_start_request(now)
    {
        return;
    }
    context.dissemination.record_entries_request(now, number);
    let carried = context.settings.link_bytes(ENTRIES_LINK_TIME);
    let max_bytes = carried.min(MAX_ENTRIES_BYTES);
    let request = {
        let entries = context.dissemination.entries.borrow();
        entries_request(context.dissemination.node, &entries, max_bytes)
    };
    let message = Message::EntriesRequest(request);
    let sent_bytes = send_message(context, socket, &[relay], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Sends a member the entries that differ from its own.
pub(super) fn send(context: &Context, member: SocketAddr, request: EntriesRequest) {
    let dissemination = &context.dissemination;
    if !dissemination.role(context.now()).is_relay || dissemination.bulk.has_pending(member) {
        return;
    }
    let entries = context.dissemination.entries.borrow();
    let table_digest = entries.digest();
    let mut sent = context.dissemination.page_cache.borrow_mut();
    let known = sent
        .take()
        .filter(|sent| sent.matches(table_digest, &request));
    let answer = known.unwrap_or_else(|| {
        let pages = entries_pages(
            context.dissemination.node,
            &entries,
            &request,
            rand::random(),
        );
        let pages = pages.into_iter().map(Message::Entries);
        PageCache {
            request,
            table_digest,
            pages: pages
                .filter_map(|page| encode(context, &page).map(Rc::new))
                .collect(),
        }
    });
    for page in &answer.pages {
        context.dissemination.bulk.push(member, Rc::clone(page));
    }
    *sent = Some(answer);
}

/// Applies a page if it comes from the followed relay, or from one that was asked for it.
pub(super) fn handle_page(context: &Context, page: EntriesPage) {
    let now = context.now();
    if !context.dissemination.takes_entries_from(now, page.node) {
        return;
    }
    let records = context.dissemination.drop_withheld(now, page.records);
    let changes = {
        let mut entries = context.dissemination.entries.borrow_mut();
        entries.apply_range(page.revision, page.first..=page.last, records)
    };
    if !changes.is_empty() {
        context.dissemination.entry_sync.borrow_mut().reset_delay();
    }
    engine_entries::apply_changes(context, changes, ChangeSource::Relay);
}

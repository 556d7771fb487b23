//! Transfer of engine entries from a relay to a member.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    DifferingDigests, EntriesPage, EntriesRequest, EntryTable, Message, PageSpan, RequestTarget,
    entries_pages, entries_request,
};
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::AnnouncedEntries;
use crate::dissemination::datagram::{self, AnswerPart, EncodedPage};
use crate::dissemination::page_cache::PageCache;
use crate::dissemination::recent_changes::ChangeSource;
use crate::dissemination::transmit::{encode, send as send_message};
use crate::fleet::engine_entries;

/// Link time that one answer may use, because callers' requests wait behind it.
const ENTRIES_LINK_TIME: Duration = Duration::from_millis(50);

/// Limit on the bytes of entries per answer, however fast the link.
const MAX_ENTRIES_BYTES: u32 = 256 << 10;

/// Compares this node's entries with those that a relay announced, and requests what differs if a request is due.
pub(in crate::dissemination) fn compare(
    context: &Context,
    socket: &UdpSocket,
    announced: AnnouncedEntries,
) {
    let dissemination = &context.dissemination;
    let own = dissemination.entries.borrow().digest();
    if own == announced.digest {
        dissemination.differing_entries.set(None);
        dissemination.entry_sync.borrow_mut().record_progress();
        return;
    }
    dissemination.differing_entries.set(Some(announced));
    let digests = DifferingDigests {
        own,
        relay: announced.digest,
    };
    request_if_due(context, socket, announced, digests);
}

/// Requests again what differed at the last comparison, if a request is due: the next announcement may be lost.
pub(in crate::dissemination) fn retry_if_due(context: &Context, socket: &UdpSocket) {
    let Some(announced) = context.dissemination.differing_entries.get() else {
        return;
    };
    // A relay that reads the key-value service again compares nothing.
    let age = context.now().since(announced.announced_at);
    if age < context.settings.engine_drain() {
        compare(context, socket, announced);
    } else {
        context.dissemination.differing_entries.set(None);
    }
}

/// Requests the entries that differ, if a request is due. One that follows others without progress goes to another
/// relay.
fn request_if_due(
    context: &Context,
    socket: &UdpSocket,
    announced: AnnouncedEntries,
    digests: DifferingDigests,
) {
    let dissemination = &context.dissemination;
    let now = context.now();
    let target = dissemination
        .entry_sync
        .borrow_mut()
        .next_request(now, digests);
    let Some(target) = target else {
        return;
    };
    let other = match target {
        RequestTarget::Followed => None,
        RequestTarget::Other(index) => dissemination.other_entries_source(announced.relay, index),
    };
    if let Some(other) = &other {
        let differs_for = dissemination.entry_sync.borrow().differs_for(now);
        log_event!(context.logger, Event::EntriesRequestedElsewhere, "relay" => announced.relay.0,
            "asked" => other.number.0, "differs_for_ms" => differs_for.as_millis() as u64);
    }
    let (asked, address) = other.map_or((announced.relay, announced.address), |other| {
        (other.number, other.address)
    });
    dissemination.record_entries_request(now, asked);
    let carried = context.settings.link_bytes(ENTRIES_LINK_TIME);
    let max_bytes = carried.min(MAX_ENTRIES_BYTES);
    let request = {
        let entries = dissemination.entries.borrow();
        entries_request(dissemination.node, &entries, max_bytes)
    };
    let message = Message::EntriesRequest(request);
    let sent_bytes = send_message(context, socket, &[address], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Sends a member the entries that differ from its own.
pub(super) fn send(context: &Context, member: SocketAddr, request: EntriesRequest) {
    let dissemination = &context.dissemination;
    if !dissemination.role(context.now()).is_relay
        || dissemination.bulk.has_pending(member, datagram::ENTRIES)
    {
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
        let pages = pages.into_iter();
        let pages = pages.filter_map(|page| encode_page(context, &entries, page));
        PageCache {
            request,
            table_digest,
            pages: pages.collect(),
        }
    });
    for page in &answer.pages {
        let part = AnswerPart::Page(page.clone());
        context.dissemination.bulk.push(member, part);
    }
    *sent = Some(answer);
}

fn encode_page(context: &Context, entries: &EntryTable, page: EntriesPage) -> Option<EncodedPage> {
    let span = PageSpan::of(&page);
    let datagram = encode(context, &Message::Entries(page))?;
    Some(EncodedPage {
        datagram: Rc::new(datagram),
        span,
        digest: span.digest(entries),
    })
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
        context
            .dissemination
            .entry_sync
            .borrow_mut()
            .record_progress();
    }
    engine_entries::apply_changes(context, changes, ChangeSource::Relay);
}

//! Tells other nodes how current a relay's engine entries are, and repairs those of a relay that the
//! key-value service refuses.
//!
//! Members compare the digest of their entries with their relay's. A relay reads the key-value service; if
//! that refuses it, it knows only the changes that other relays send it, and some datagrams are lost. It
//! then compares its digest with theirs, and requests what differs, as a member does.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{EntriesFreshness, Message};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::AnnouncedEntries;
use crate::dissemination::receive::entries::compare;
use crate::dissemination::transmit::send;

/// Messages of a relay per drain bound.
const MESSAGES_PER_DRAIN: u32 = 8;

/// A relay takes its entries from other relays once its own proof is older than this part of the drain
/// bound. Its own reading proves them more often unless the key-value service refuses it; the rest is for
/// the next message and the transfer.
const STALE_SHARE: f64 = 0.5;

/// How often a relay sends its freshness.
pub(super) fn interval(context: &Context) -> Duration {
    context.settings.engine_drain() / MESSAGES_PER_DRAIN
}

/// Sends this relay's freshness to its members and to the other relays; returns the bytes sent.
pub(super) fn send_freshness(context: &Context, socket: &UdpSocket) -> usize {
    let Some(age) = context.entries_proof.age() else {
        return 0;
    };
    let dissemination = &context.dissemination;
    let freshness = EntriesFreshness {
        node: dissemination.node,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        digest: dissemination.entries.borrow().digest(),
    };
    let mut addresses = dissemination.subscribers.borrow().addresses();
    addresses.extend(dissemination.exchange_addresses(context.now()));
    send(context, socket, &addresses, &Message::Freshness(freshness))
}

/// Applies a relay's freshness: it proves the own entries if they are the same and its proof is later.
///
/// A relay whose own proof is old takes what differs from any other, even if that is no more current: entries are merged by
/// their revisions, and each relay may have read changes that the other missed.
pub(super) fn handle(
    context: &Context,
    socket: &UdpSocket,
    relay: SocketAddr,
    freshness: EntriesFreshness,
) {
    let dissemination = &context.dissemination;
    let age = Duration::from_millis(freshness.age_ms.into());
    let own_age = context.entries_proof.age();
    let is_same = dissemination.entries.borrow().digest() == freshness.digest;
    if is_same {
        if own_age.is_none_or(|own_age| own_age > age) {
            let proved_at = BootInstant::now().minus(age);
            context.entries_proof.confirm(proved_at);
        }
        return;
    }
    let stale_age = context.settings.engine_drain().mul_f64(STALE_SHARE);
    let is_relay = dissemination.role(context.now()).is_relay;
    // Members request what differs from their own relay's entries when it sends a table.
    if is_relay && own_age.is_none_or(|own_age| own_age > stale_age) {
        let announced = AnnouncedEntries {
            relay: freshness.node,
            address: relay,
            digest: freshness.digest,
            announced_at: context.now(),
        };
        compare(context, socket, announced);
    }
}

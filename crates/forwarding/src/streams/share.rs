//! Records the origins of the streams that this node begins, and sends them to relays.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{Message, RecordedStream, RecordedStreams};
use dalestand_stream_origins::{StreamBinding, StreamKey, VersionsServing};
use dalestand_types::PoolName;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::transmit::send;
use crate::fleet::follow::MIN_OUTAGE;
use crate::streams::state::SharingReason;

/// Relays that keep a stream's origin. While one machine in three restarts, at least one of them has it in nine cases
/// of ten, even with loss of messages.
pub(super) const HOLDERS: usize = 3;

/// Origins per message; the message takes 3 KB.
const MAX_PER_MESSAGE: usize = 48;

/// Queued origins; the newest are kept. They are many only when a second version appears, or the node stops.
const MAX_QUEUED: usize = 1_024;

/// Records the origin of a stream whose first event is on its way to the caller, and sends it to relays if streams of
/// the pool may be of several versions.
pub(crate) fn record_origin(context: &Context, attempt: Option<&str>, binding: &StreamBinding) {
    let (Some(attempt), StreamBinding::Origin(origin)) = (attempt, binding) else {
        return;
    };
    let now = context.now();
    let stream = StreamKey::of(attempt);
    let state = &context.streams;
    let mut own = state.own.borrow_mut();
    own.record(now, stream, origin.clone(), now);
    drop(own);
    if state.shared_pools.borrow().contains_key(&origin.pool) {
        queue(context, [stream]);
    }
}

/// Begins or ends sharing of the origins of a pool, after its versions or their history have changed.
pub(crate) fn update_sharing(context: &Context, pool: &PoolName) {
    let state = &context.streams;
    let serving = context.engine_versions().serving(pool);
    let reason = match serving {
        VersionsServing::Sole(_) if is_service_silent(context) => SharingReason::NoService,
        VersionsServing::Sole(_) => {
            state.shared_pools.borrow_mut().remove(pool);
            return;
        }
        VersionsServing::Several => SharingReason::SeveralVersions,
        // Often only until the version of a new engine is known, so that older streams are not worth sending.
        VersionsServing::Unknown => SharingReason::UnknownVersions,
    };
    let mut shared = state.shared_pools.borrow_mut();
    let former = shared.get(pool).copied();
    if reason == SharingReason::UnknownVersions && former.is_some() {
        return;
    }
    shared.insert(pool.clone(), reason);
    drop(shared);
    if reason != SharingReason::UnknownVersions
        && former.is_none_or(|former| former == SharingReason::UnknownVersions)
    {
        share_own(context, Some(pool));
    }
}

/// Whether this node would get no answer from the key-value service, as far as it can tell.
fn is_service_silent(context: &Context) -> bool {
    let is_followed = context.dissemination.watches_closely();
    let age = context.entries_proof.age();
    is_followed && age.is_none_or(|age| age >= MIN_OUTAGE)
}

/// Queues the origins of all streams that this node began, of one pool or of all: a second version has appeared, or the
/// node stops.
pub(crate) fn share_own(context: &Context, pool: Option<&PoolName>) {
    let now = context.now();
    let own = context.streams.own.borrow();
    let streams = own
        .newest(now)
        .filter(|(_, origin, _)| pool.is_none_or(|pool| origin.pool == *pool))
        .map(|(stream, _, _)| stream)
        .take(MAX_QUEUED);
    let streams: Vec<StreamKey> = streams.collect();
    drop(own);
    // The queue drops its first entries when it is full, so the newest come last.
    queue(context, streams.into_iter().rev());
}

fn queue(context: &Context, streams: impl IntoIterator<Item = StreamKey>) {
    let state = &context.streams;
    let mut outgoing = state.outgoing.borrow_mut();
    outgoing.extend(streams);
    let excess = outgoing.len().saturating_sub(MAX_QUEUED);
    outgoing.drain(..excess);
    context.metrics.streams.record_origins("dropped", excess);
    state.queued.notify_one();
}

/// Sends queued origins until dropped. Does not wait for more: a node that ends meanwhile would lose them.
pub(crate) async fn send_origins(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        if context.streams.outgoing.borrow().is_empty() {
            context.streams.queued.notified().await;
        }
        let streams = take_newest(&context);
        let sent_bytes = send_batch(&context, &socket, streams);
        context.record_sent_bytes(sent_bytes);
        // Other tasks go on between the messages of a long queue.
        tokio::task::yield_now().await;
    }
}

/// Takes the newest queued streams, as many as fit into one message.
fn take_newest(context: &Context) -> Vec<StreamKey> {
    let mut outgoing = context.streams.outgoing.borrow_mut();
    let newest = outgoing.len().saturating_sub(MAX_PER_MESSAGE);
    outgoing.drain(newest..).collect()
}

/// Sends origins to their holders; returns the bytes sent.
fn send_batch(context: &Context, socket: &UdpSocket, streams: Vec<StreamKey>) -> usize {
    let now = context.now();
    let dissemination = &context.dissemination;
    let mut by_holder: BTreeMap<_, Vec<RecordedStream>> = BTreeMap::new();
    let own = context.streams.own.borrow();
    for stream in streams {
        let Some((origin, age)) = own.get(now, stream) else {
            continue;
        };
        let recorded = RecordedStream {
            stream,
            origin: origin.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        };
        for holder in dissemination.origin_holders(now, stream, HOLDERS) {
            let streams = by_holder.entry(holder).or_default();
            streams.push(recorded.clone());
        }
    }
    let messages = by_holder.into_iter().map(|(address, streams)| {
        context
            .metrics
            .streams
            .record_origins("sent", streams.len());
        let message = Message::RecordedStreams(RecordedStreams {
            node: dissemination.node,
            streams,
        });
        send(context, socket, &[address], &message)
    });
    messages.sum()
}

/// Keeps the origins that another node sent.
pub(crate) fn handle(context: &Context, recorded: RecordedStreams) {
    let now = context.now();
    let streams = recorded.streams.into_iter().take(MAX_PER_MESSAGE);
    let mut held = context.streams.held.borrow_mut();
    let mut count = 0;
    for recorded in streams {
        let age = Duration::from_millis(recorded.age_ms.into());
        held.record(
            now,
            recorded.stream,
            recorded.origin,
            now.saturating_sub(age),
        );
        count += 1;
    }
    context.metrics.streams.record_origins("received", count);
}

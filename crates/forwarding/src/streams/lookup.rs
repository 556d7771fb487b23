//! Finds the origin of a stream that a caller resumes: in this node's own records, or by asking the relays that keep it.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{BootInstant, timeout_at};
use dalestand_dissemination::{Message, OriginAnswer, OriginRequest, RecordedStream};
use dalestand_stream_origins::{StreamKey, StreamOrigin, VersionsServing};
use dalestand_types::PoolName;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::dissemination::transmit::send;
use crate::streams::share::HOLDERS;
use crate::streams::state::MAX_LOOKUPS;
use crate::streams::stored_versions::{self, VersionsByPool};

/// How long a lookup waits for answers: some round trips between zones, and far less than callers notice.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which a relay that has not answered is asked again: the request or the answer may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(20);

/// Who knew the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This node began the stream.
    Own,
    /// This node keeps the origin for others.
    Held,
    /// Another node answered.
    Peer,
}

/// What a lookup found.
#[derive(Debug)]
pub(crate) enum LookupResult {
    /// The origin, who knew it, and how long ago the stream began.
    Known(StreamOrigin, OriginSource, Duration),
    /// No origin; with what is stored of the versions that have served, if the key-value service has told it.
    Unknown(Option<Rc<VersionsByPool>>),
}

/// A finished lookup.
#[derive(Debug)]
pub(crate) struct Lookup {
    pub(crate) result: LookupResult,
    /// Relays that were asked.
    pub(crate) asked: usize,
    /// Relays that answered.
    pub(crate) answered: usize,
}

/// Looks up the origin of the stream that the attempt `resumed` began: in this node's records, then at the relays that would
/// have it. Reads at the same time which versions are stored, in case no node has a record; if that is one, the relays' answers
/// are needless.
pub(crate) async fn find_origin(
    context: &Context,
    resumed: Option<&str>,
    pools: &[PoolName],
) -> Lookup {
    let stream = resumed.map(StreamKey::of);
    if let Some(result) = stream.and_then(|stream| find_locally(context, stream)) {
        return Lookup {
            result,
            asked: 0,
            answered: 0,
        };
    }
    let holders = stream.map_or_else(Vec::new, |stream| {
        let dissemination = &context.dissemination;
        dissemination.origin_holders(context.now(), stream, HOLDERS)
    });
    let mut read = pin!(stored_versions::read(context));
    let mut stored = None;
    let mut answers = Vec::new();
    if let Some(stream) = stream {
        let mut asked = pin!(ask(context, stream, &holders));
        tokio::select! {
            answered = &mut asked => answers = answered,
            versions = &mut read => {
                stored = Some(versions);
                let versions = stored.iter().flatten();
                if !versions.into_iter().any(|versions| sole_origin(versions, pools).is_some()) {
                    answers = asked.await;
                }
            }
        }
    }
    let known = answers.iter().find_map(|answer| answer.recorded.as_ref());
    let result = match known {
        Some(recorded) => LookupResult::Known(
            recorded.origin.clone(),
            OriginSource::Peer,
            Duration::from_millis(recorded.age_ms.into()),
        ),
        None => LookupResult::Unknown(match stored {
            Some(stored) => stored,
            None => read.await,
        }),
    };
    Lookup {
        result,
        asked: holders.len(),
        answered: answers.len(),
    }
}

/// The pool and version that began every stream of a route that leads to `pools`; `None` if there may be several.
pub(crate) fn sole_origin(stored: &VersionsByPool, pools: &[PoolName]) -> Option<StreamOrigin> {
    let [pool] = pools else {
        return None;
    };
    let software = stored.get(pool)?.sole()?;
    Some(StreamOrigin {
        pool: pool.clone(),
        software: software.clone(),
    })
}

/// The origin of a stream in this node's own records.
fn find_locally(context: &Context, stream: StreamKey) -> Option<LookupResult> {
    let now = context.now();
    let state = &context.streams;
    let tables = [
        (&state.own, OriginSource::Own),
        (&state.held, OriginSource::Held),
    ];
    tables.into_iter().find_map(|(table, source)| {
        let table = table.borrow();
        let (origin, age) = table.get(now, stream)?;
        Some(LookupResult::Known(origin.clone(), source, age))
    })
}

/// Asks all holders at once; returns as soon as one knows the origin, all have answered or the time is over.
async fn ask(context: &Context, stream: StreamKey, holders: &[SocketAddr]) -> Vec<OriginAnswer> {
    let state = &context.streams;
    let is_full = state.lookups.borrow().len() >= MAX_LOOKUPS;
    let Some(socket) = context.permits.socket.get().filter(|_| !is_full) else {
        return Vec::new();
    };
    let number = state.last_lookup.get() + 1;
    state.last_lookup.set(number);
    let (sender, mut received) = mpsc::unbounded_channel();
    state.lookups.borrow_mut().insert(number, sender);
    let _pending = PendingLookup { context, number };
    let request = Message::OriginRequest(OriginRequest {
        node: context.dissemination.node,
        number,
        stream,
        pools: Vec::new(),
    });
    let due = BootInstant::now() + LOOKUP_TIMEOUT;
    let mut answers: Vec<OriginAnswer> = Vec::new();
    let mut answered = HashSet::new();
    while answered.len() < holders.len() && BootInstant::now() < due {
        let silent = holders.iter().filter(|holder| !answered.contains(*holder));
        let silent: Vec<SocketAddr> = silent.copied().collect();
        let sent_bytes = send(context, socket, &silent, &request);
        context.record_sent_bytes(sent_bytes);
        let repeat_at = due.min(BootInstant::now() + REPEAT_DELAY);
        // Ends with an error when it is time to ask again.
        while let Ok(Some((sender, answer))) = timeout_at(repeat_at, received.recv()).await {
            let is_known = answer.recorded.is_some();
            if answered.insert(sender) {
                answers.push(answer);
            }
            if is_known || answered.len() >= holders.len() {
                return answers;
            }
        }
    }
    answers
}

/// Removes a lookup when it has ended.
struct PendingLookup<'a> {
    context: &'a Context,
    number: u64,
}

impl Drop for PendingLookup<'_> {
    fn drop(&mut self) {
        let mut lookups = self.context.streams.lookups.borrow_mut();
        lookups.remove(&self.number);
    }
}

/// Answers another node's lookup.
pub(crate) fn respond(
    context: &Context,
    socket: &UdpSocket,
    sender: SocketAddr,
    request: &OriginRequest,
) {
    let recorded = match find_locally(context, request.stream) {
        Some(LookupResult::Known(origin, _, age)) => Some(RecordedStream {
            stream: request.stream,
            origin,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }),
        Some(LookupResult::Unknown(_)) | None => None,
    };
    let versions: Vec<VersionsServing> = {
        let versions = context.engine_versions();
        let pools = request.pools.iter();
        pools.map(|pool| versions.serving(pool)).collect()
    };
    let answer = OriginAnswer {
        node: context.dissemination.node,
        number: request.number,
        recorded,
        versions,
    };
    let message = Message::OriginAnswer(answer);
    let sent_bytes = send(context, socket, &[sender], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Passes an answer to the lookup that waits for it. Answers that come later are dropped.
pub(crate) fn handle_answer(context: &Context, sender: SocketAddr, answer: OriginAnswer) {
    let lookups = context.streams.lookups.borrow();
    if let Some(lookup) = lookups.get(&answer.number) {
        // The lookup may have ended in the meantime.
        let _ = lookup.send((sender, answer));
    }
}

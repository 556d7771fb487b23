//! Binds a request that resumes a stream to the engines that may go on with it.

use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_stream_origins::{StreamBinding, StreamOrigin};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::serve::answer::Failure;
use crate::serve::progress::Progress;
use crate::serve::request_log::resumed_attempt;
use crate::streams::lookup::{Lookup, LookupResult, OriginSource, find_origin, sole_origin};

/// How a request that resumes a stream was bound, or why it was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeOutcome {
    /// The origin of its stream is known.
    OriginKnown(OriginSource),
    /// One version alone can have begun its stream.
    SoleVersion,
    /// Refused: its stream may be of any of several versions.
    UnknownOrigin,
    /// Refused: its route no longer leads to the pool that began the stream.
    PoolNotRouted,
    /// Refused: no engine of the version takes new work.
    VersionEnded,
}

impl ResumeOutcome {
    /// Label in metrics and log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::OriginKnown(OriginSource::Own) => "own record",
            Self::OriginKnown(OriginSource::Held) => "held record",
            Self::OriginKnown(OriginSource::Peer) => "record of a peer",
            Self::SoleVersion => "sole version",
            Self::UnknownOrigin => "unknown origin",
            Self::PoolNotRouted => "pool not routed",
            Self::VersionEnded => "version ended",
        }
    }
}

/// Binds a request that resumes a stream to the version that began it, or refuses it at once. Other requests remain as
/// they are.
pub(crate) async fn bind_resumed(
    context: &Context,
    progress: &mut Progress,
) -> Result<(), Failure> {
    if progress.facts.last_event.is_none() || !progress.route.kind.is_stream() {
        return Ok(());
    }
    let began = BootInstant::now();
    let resumed = progress.facts.resumes.as_deref();
    let lookup = find_origin(context, resumed, &progress.pools).await;
    let (outcome, origin) = decide(context, &progress.pools, &lookup);
    report(context, progress, &lookup, outcome, origin.as_ref(), began);
    match (outcome, origin) {
        (ResumeOutcome::OriginKnown(_) | ResumeOutcome::SoleVersion, Some(origin)) => {
            progress.pools.retain(|pool| *pool == origin.pool);
            progress.binding = StreamBinding::Origin(origin);
            Ok(())
        }
        (ResumeOutcome::VersionEnded, _) => Err(Failure::StreamVersionEnded),
        _ => Err(Failure::StreamOriginUnknown),
    }
}

/// Decides how to bind the request; with the origin, if there is one.
fn decide(
    context: &Context,
    pools: &[PoolName],
    lookup: &Lookup,
) -> (ResumeOutcome, Option<StreamOrigin>) {
    let (outcome, origin) = match &lookup.result {
        LookupResult::Known(origin, _, _) if !pools.contains(&origin.pool) => {
            return (ResumeOutcome::PoolNotRouted, Some(origin.clone()));
        }
        LookupResult::Known(origin, source, _) => {
            (ResumeOutcome::OriginKnown(*source), origin.clone())
        }
        LookupResult::Unknown(stored) => {
            let stored = stored.as_ref();
            let Some(origin) = stored.and_then(|stored| sole_origin(stored, pools)) else {
                return (ResumeOutcome::UnknownOrigin, None);
            };
            (ResumeOutcome::SoleVersion, origin)
        }
    };
    let fleet = context.fleet();
    let engines = fleet.engines_of_version(&origin.pool, &origin.software);
    if engines.is_empty() {
        return (ResumeOutcome::VersionEnded, Some(origin));
    }
    (outcome, Some(origin))
}

fn report(
    context: &Context,
    progress: &Progress,
    lookup: &Lookup,
    outcome: ResumeOutcome,
    origin: Option<&StreamOrigin>,
    began: BootInstant,
) {
    let age = match lookup.result {
        LookupResult::Known(_, _, age) => Some(age),
        LookupResult::Unknown(_) => None,
    };
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let versions = match &lookup.result {
        LookupResult::Known(..) => None,
        LookupResult::Unknown(Some(stored)) => Some(format!("{stored:?}")),
        LookupResult::Unknown(None) => Some("not told by the key-value service".to_owned()),
    };
    log_event!(context.logger, Event::StreamResumptionDecided,
        "request" => progress.facts.id.as_deref().unwrap_or_default(),
        "resumed_attempt" => resumed_attempt(progress), "last_event" => progress.facts.last_event,
        "route" => &progress.route.name, "outcome" => outcome.label(),
        "pool" => origin.map(|origin| origin.pool.as_str()),
        "software" => origin.map(|origin| origin.software.as_str()),
        "began_ms_ago" => age.map(milliseconds),
        "asked" => lookup.asked, "answered" => lookup.answered, "versions" => versions,
        "took_ms" => milliseconds(began.elapsed()));
    context.metrics.streams.record_resumption(outcome.label());
}

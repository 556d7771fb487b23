//! The crashes and completions of parts known to one node, and the parts that are held for them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::fingerprint::PartFingerprint;
use crate::parts::evidence::{PartEvidence, time_before};
use crate::parts::record::{HeldPartEntry, PartCompletion, PartCrash, SuspectPart};
use crate::parts::selection::{is_explained_by, select};
use crate::unfinished::EngineRunId;

/// Maximum number of parts kept: 0.5 MB where most have a few crashes.
const MAX_PARTS: usize = 2_048;

/// Delay of the first trial of a part that may be held wrongly: by then crashed engines have restarted.
const TRIAL_DELAY_IN_DOUBT: Duration = Duration::from_secs(2);

/// Delay of the first trial of any other. A trial of a part that crashes engines costs one.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Delay of the second trial. Each further one takes ten times as long, so that a crashing part ends three engines in the
/// first two hours and one more in the day.
const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(600);

const TRIAL_DELAY_FACTOR: u32 = 10;

/// Delay of the second trial of a part that may be held wrongly: another part may have crashed the engine of the first.
const SECOND_TRIAL_DELAY_IN_DOUBT: Duration = Duration::from_secs(10);

/// Requests named for each resent or stored crash: enough to show that there were several.
const RESENT_REQUESTS: usize = 2;

/// Of the oldest and of the newest crashes, so many are stored.
const MAX_STORED_CRASHES: usize = 32;

/// How long it is remembered that a part completed, so that late or repeated records of its crashes don't count.
const COMPLETION_RETENTION: Duration = Duration::from_secs(60);

/// A part whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// Number of crashes at which it was present.
    pub crashes: usize,
    /// Number of these that were trials.
    pub trials: u32,
    /// Time of the last one.
    pub last_crash_at: MonotonicTime,
}

/// A part that begins or ceases to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with it are refused from now on.
    Held(PartFingerprint),
    /// Requests with it may run: it has completed or was released.
    Cleared(PartFingerprint),
    /// Requests with it may run: other parts explain its crashes better, or these have expired.
    Explained(PartFingerprint),
}

/// The evidence known to one node.
#[derive(Clone, Debug, Default)]
pub struct PartLedger {
    parts: HashMap<PartFingerprint, PartEvidence>,
    held: BTreeMap<PartFingerprint, HeldPart>,
    explained: HashSet<EngineRunId>,
}

impl PartLedger {
    /// Applies a crash record of this node or another one; returns whether it was new.
    pub fn apply_crash(&mut self, now: MonotonicTime, crash: &PartCrash) -> bool {
        let mut is_new = false;
        for suspect in &crash.parts {
            self.evict_for(suspect.part);
            let evidence = self.parts.entry(suspect.part).or_default();
            is_new |= evidence.add_crash(now, crash, suspect);
        }
        is_new
    }

    /// Applies the completion of a run that began at `begin`; returns whether it is the first one
    /// known of the part, or a crash no longer counts.
    pub fn apply_completion(&mut self, part: PartFingerprint, begin: MonotonicTime) -> bool {
        let evidence = self.parts.get_mut(&part);
        evidence.is_some_and(|evidence| evidence.add_completion(begin))
    }

    /// Applies a completion that another node reports; returns the same as [`Self::apply_completion`].
    pub fn apply_reported_completion(
        &mut self,
        now: MonotonicTime,
        completion: &PartCompletion,
    ) -> bool {
        self.apply_completion(completion.part, time_before(now, completion.age_ms))
    }

    /// Whether a later completion than those known of a part would matter: one that began after a crash of it, or shows
    /// that it had completed before.
    pub fn lacks_completion(&self, part: PartFingerprint, begin: MonotonicTime) -> bool {
        self.parts.get(&part).is_some_and(|evidence| {
            evidence.crashes().len() > 0
                && (evidence.completed_begin().is_none()
                    || evidence.crashes().any(|(_, crash)| crash.at < begin))
        })
    }

    /// Whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Updates which parts are held after the evidence has changed; returns the changes.
    pub fn update(&mut self, now: MonotonicTime) -> Vec<PartChange> {
        self.parts.retain(|_, evidence| {
            evidence.expire(now);
            evidence.crashes().len() > 0
                || evidence
                    .completed_begin()
                    .is_some_and(|begin| now.since(begin) < COMPLETION_RETENTION)
        });
        let selection = select(self.parts.iter());
        let held = selection.parts.iter().filter_map(|part| {
            let evidence = self.parts.get(part)?;
            Some((*part, held_part(evidence)?))
        });
        let held: BTreeMap<PartFingerprint, HeldPart> = held.collect();
        let begun = held.keys().filter(|part| !self.held.contains_key(part));
        let begun = begun.map(|part| PartChange::Held(*part));
        let ended = self.held.keys().filter(|part| !held.contains_key(part));
        let ended = ended.map(|part| match self.parts.get(part) {
            Some(evidence) if evidence.crashes().len() > 0 => PartChange::Explained(*part),
            Some(_) => PartChange::Cleared(*part),
            None => PartChange::Explained(*part),
        });
        let changes = begun.chain(ended).collect();
        self.held = held;
        self.explained = selection.explained;
        changes
    }

    /// The held parts.
    pub fn held(&self) -> &BTreeMap<PartFingerprint, HeldPart> {
        &self.held
    }

    /// The held parts among `parts`.
    pub fn held_among<'p>(
        &'p self,
        parts: &'p [PartFingerprint],
    ) -> impl Iterator<Item = PartFingerprint> {
        let parts = if self.held.is_empty() { &[] } else { parts };
        parts
            .iter()
            .copied()
            .filter(|part| self.held.contains_key(part))
    }

    /// The engine runs whose ends held parts explain.
    pub fn explained(&self) -> &HashSet<EngineRunId> {
        &self.explained
    }

    /// Number of crashes that count against a part.
    pub fn crash_count(&self, part: PartFingerprint) -> usize {
        let evidence = self.parts.get(&part);
        evidence.map_or(0, |evidence| evidence.crashes().len())
    }

    /// Number of parts with evidence.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// The most recent requests with a part that any node had observed when an engine ended.
    pub fn arrivals(&self, part: PartFingerprint) -> u16 {
        let evidence = self.parts.get(&part);
        evidence.map_or(0, |evidence| evidence.arrivals)
    }

    /// The latest known completion of a part as a record for other nodes.
    pub fn completion(&self, now: MonotonicTime, part: PartFingerprint) -> Option<PartCompletion> {
        let begin = self.parts.get(&part)?.completed_begin()?;
        Some(PartCompletion {
            part,
            age_ms: age_ms(now, begin),
        })
    }

    /// When a request with these parts, one of them the held `part`, may be tried; `None` if that is not held. Early if the
    /// trial can tell this part from others that may crash engines instead, or if requests with this part had completed.
    pub fn trial_at(
        &self,
        part: PartFingerprint,
        request_parts: &[PartFingerprint],
    ) -> Option<MonotonicTime> {
        let held = self.held.get(&part)?;
        let evidence = self.parts.get(&part)?;
        let delay = match (held.trials, self.is_in_doubt(evidence, request_parts)) {
            (0, true) => TRIAL_DELAY_IN_DOUBT,
            (0, false) => FIRST_TRIAL_DELAY,
            (1, true) => SECOND_TRIAL_DELAY_IN_DOUBT,
            (trials, _) => {
                let factor = TRIAL_DELAY_FACTOR.saturating_pow(trials - 1);
                SECOND_TRIAL_DELAY.saturating_mul(factor)
            }
        };
        Some(held.last_crash_at + delay)
    }

    /// Whether a held part may be held wrongly, as far as a request with these parts can tell, and was not tried yet.
    pub fn may_be_held_wrongly(
        &self,
        part: PartFingerprint,
        request_parts: &[PartFingerprint],
    ) -> bool {
        let is_untried = self.held.get(&part).is_some_and(|held| held.trials == 0);
        let evidence = self.parts.get(&part).filter(|_| is_untried);
        evidence.is_some_and(|evidence| self.is_in_doubt(evidence, request_parts))
    }

    /// Whether parts that a request lacks explain the crashes of a held part, or requests with it had completed before.
    fn is_in_doubt(&self, held: &PartEvidence, request_parts: &[PartFingerprint]) -> bool {
        let others = self.parts.iter();
        let others = others.filter(|(part, _)| !request_parts.contains(part));
        held.completed_begin().is_some()
            || is_explained_by(held, others.map(|(_, evidence)| evidence))
    }

    /// Crashes of a part as records, for nodes that missed them and for the key-value service: the oldest and the newest
    /// `limit` each. They name no other parts.
    pub fn crash_records(
        &self,
        now: MonotonicTime,
        part: PartFingerprint,
        limit: usize,
    ) -> Vec<PartCrash> {
        let Some(evidence) = self.parts.get(&part) else {
            return Vec::new();
        };
        let suspect = SuspectPart {
            part,
            arrivals: evidence.arrivals,
            completed_ms: None,
        };
        let mut crashes: Vec<_> = evidence.crashes().collect();
        crashes.sort_unstable_by_key(|(engine, crash)| (crash.at, *engine));
        let newest = crashes.len().saturating_sub(limit).max(limit);
        let (oldest, others) = crashes.split_at(limit.min(crashes.len()));
        let newest = others.iter().skip(newest - limit);
        let records = oldest.iter().chain(newest).flat_map(|(engine, crash)| {
            crash
                .requests
                .iter()
                .take(RESENT_REQUESTS)
                .map(|request| PartCrash {
                    engine: *engine,
                    age_ms: age_ms(now, crash.at),
                    request: *request,
                    is_trial: crash.is_trial,
                    parts: vec![suspect],
                })
        });
        records.collect()
    }

    /// The stored form of a held part; `None` if it is not held. `unix_time` is the current time since the Unix epoch.
    pub fn entry(
        &self,
        now: MonotonicTime,
        part: PartFingerprint,
        unix_time: Duration,
    ) -> Option<HeldPartEntry> {
        self.held.get(&part)?;
        let records = self.crash_records(now, part, MAX_STORED_CRASHES);
        Some(HeldPartEntry::from_records(&records, unix_time))
    }

    /// Evicts one part if the ledger is full: one that is not held with the fewest crashes, the oldest among those.
    fn evict_for(&mut self, incoming: PartFingerprint) {
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(&incoming) {
            return;
        }
        let others = self.parts.iter();
        let others = others.filter(|(part, _)| !self.held.contains_key(part));
        let evicted = others.min_by_key(|(part, evidence)| {
            (evidence.crashes().len(), evidence.last_crash_at(), **part)
        });
        if let Some(part) = evicted.map(|(part, _)| *part) {
            self.parts.remove(&part);
        }
    }
}

fn held_part(evidence: &PartEvidence) -> Option<HeldPart> {
    let trials = evidence.crashes().filter(|(_, crash)| crash.is_trial);
    Some(HeldPart {
        crashes: evidence.crashes().len(),
        trials: trials.count() as u32,
        last_crash_at: evidence.last_crash_at()?,
    })
}

fn age_ms(now: MonotonicTime, at: MonotonicTime) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

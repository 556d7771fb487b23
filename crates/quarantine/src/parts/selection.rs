//! Chooses the parts to hold so that they explain the crashes.

use std::collections::HashSet;
use std::time::Duration;

use crate::fingerprint::PartFingerprint;
use crate::parts::evidence::{Crash, PartEvidence};
use crate::unfinished::EngineRunId;

/// Number of crashes for which a part is held. Two may be due to chance.
const HOLD_AFTER_CRASHES: usize = 3;

/// Crashes that follow each other faster count once, unless one request was at both: when engines crash together, a power
/// supply or a network is the usual cause.
const SIMULTANEOUS: Duration = Duration::from_millis(40);

/// Time over which a part must have crashed engines, without a completion, if requests with it had completed before. Parts that
/// most requests share complete again within this time unless everything crashes.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// How long before its first crash a completion speaks for a part.
const COMPLETION_VALIDITY: Duration = Duration::from_secs(60);

/// Parts whose score is at least this share of the best one's are about as likely to crash engines.
const CONSIDERED_SHARE: f64 = 0.75;

/// A part with the crashes at which it was present.
struct Candidate<'e> {
    part: PartFingerprint,
    evidence: &'e PartEvidence,
    /// In order of time.
    unexplained: Vec<&'e Crash>,
}

impl<'e> Candidate<'e> {
    fn new(
        part: PartFingerprint,
        evidence: &'e PartEvidence,
        explained: &HashSet<EngineRunId>,
    ) -> Self {
        let crashes = evidence.crashes();
        let unexplained = crashes.filter(|(engine, _)| !explained.contains(engine));
        let mut unexplained: Vec<&Crash> = unexplained.map(|(_, crash)| crash).collect();
        unexplained.sort_unstable_by_key(|crash| crash.at);
        Self {
            part,
            evidence,
            unexplained,
        }
    }

    fn may_be_held(&self) -> bool {
        let (Some(first), Some(last)) = (self.unexplained.first(), self.unexplained.last()) else {
            return false;
        };
        let completed = self.evidence.completed_begin();
        let had_completed =
            completed.is_some_and(|begin| first.at.since(begin) < COMPLETION_VALIDITY);
        let requests = self.unexplained.iter().flat_map(|crash| &crash.requests);
        let requests: HashSet<&u32> = requests.collect();
        separate_crashes(&self.unexplained) >= HOLD_AFTER_CRASHES
            && (!had_completed || last.at.since(first.at) >= DOUBT_TIME)
            && requests.len() > 1
    }

    /// How well the part explains the crashes: their number, reduced by the number of requests with it at each. One request
    /// with a crashing part suffices for a crash, so that there are seldom several, while parts that most requests share are in many.
    fn score(&self) -> f64 {
        let crashes = self.unexplained.len() as f64;
        let runs = self.unexplained.iter().map(|crash| crash.requests.len());
        crashes * crashes / runs.sum::<usize>().max(1) as f64
    }
}

/// Number of crashes, in order of time, that were not simultaneous with the one counted before.
fn separate_crashes(crashes: &[&Crash]) -> usize {
    let mut counted = 0;
    let mut last: Option<&Crash> = None;
    for crash in crashes {
        let is_separate = last.is_none_or(|last| {
            crash.at.since(last.at) >= SIMULTANEOUS || !crash.requests.is_disjoint(&last.requests)
        });
        if is_separate {
            counted += 1;
            last = Some(crash);
        }
    }
    counted
}

/// The parts to hold, and the engine runs whose ends they explain.
#[derive(Debug, Default)]
pub(super) struct Selection {
    /// In order of selection.
    pub(super) parts: Vec<PartFingerprint>,
    pub(super) explained: HashSet<EngineRunId>,
}

/// Selects parts until no other explains enough of the remaining crashes. A function of the evidence, so that nodes with
/// the same evidence hold the same parts.
pub(super) fn select<'e>(
    evidence: impl Iterator<Item = (&'e PartFingerprint, &'e PartEvidence)>,
) -> Selection {
    let suspects = evidence.filter(|(_, one)| one.crashes().len() >= HOLD_AFTER_CRASHES);
    let suspects: Vec<(PartFingerprint, &PartEvidence)> =
        suspects.map(|(part, one)| (*part, one)).collect();
    let mut selection = Selection::default();
    while let Some(chosen) = best_candidate(&suspects, &selection.explained) {
        selection.parts.push(chosen.part);
        let explained = chosen.evidence.crashes().map(|(engine, _)| engine);
        selection.explained.extend(explained);
    }
    selection
}

/// Of the parts that explain the crashes about as well, the one that the fewest requests have.
fn best_candidate<'e>(
    suspects: &[(PartFingerprint, &'e PartEvidence)],
    explained: &HashSet<EngineRunId>,
) -> Option<Candidate<'e>> {
    let candidates = suspects.iter();
    let candidates = candidates.map(|(part, evidence)| Candidate::new(*part, evidence, explained));
    let candidates: Vec<Candidate<'_>> = candidates.filter(Candidate::may_be_held).collect();
    let best = candidates
        .iter()
        .map(Candidate::score)
        .max_by(f64::total_cmp)?;
    let considered = candidates
        .into_iter()
        .filter(|one| one.score() >= best * CONSIDERED_SHARE);
    considered.min_by_key(|one| (one.evidence.arrivals, one.part))
}

/// Whether other parts, each with enough crashes to be held, were present at so many crashes of one part that it could not
/// be held for the rest.
pub(super) fn is_explained_by<'e>(
    one: &PartEvidence,
    others: impl Iterator<Item = &'e PartEvidence>,
) -> bool {
    let others = others.filter(|other| other.crashes().len() >= HOLD_AFTER_CRASHES);
    let explained: HashSet<EngineRunId> = others
        .flat_map(|other| other.crashes().map(|(engine, _)| engine))
        .collect();
    let unexplained = one
        .crashes()
        .filter(|(engine, _)| !explained.contains(engine));
    unexplained.count() < HOLD_AFTER_CRASHES
}

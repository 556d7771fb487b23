//! Short seeded soak runs with engines that fall silent in the middle and go on. A test program of its own, as test programs run
//! one after the other: on a machine that is too busy, silences can't be told from slow engines.

#[path = "support/soak_run.rs"]
mod soak_run;

use dalestand_soak::run::CallerLoad;
use dalestand_soak::schedule::{FaultKind, SILENCE_KINDS};
use rstest::rstest;
use soak_run::assert_no_violations_on;

/// Silences while no engine takes over what another one has begun.
const REFUSED_RESUMPTION_KINDS: [FaultKind; 5] = [
    FaultKind::EnginesSilent,
    FaultKind::EnginesSilent,
    FaultKind::EnginesSilent,
    FaultKind::ResumedStreamsRefused,
    FaultKind::RouteAdded,
];

/// Silences of engines of several software versions.
const TWO_VERSION_KINDS: [FaultKind; 4] = [
    FaultKind::EnginesSilent,
    FaultKind::EnginesSilent,
    FaultKind::SoftwareReleased,
    FaultKind::RouteAdded,
];

/// A run in which fewer requests met a silent engine proves little.
const MIN_MET_SILENCE: usize = 100;

/// Guards against giving up a request at a silent engine before another one has it. The seed decides on the engines: with room,
/// with few slots, or with few connections.
#[rstest]
#[case::with_room(6, &SILENCE_KINDS)]
#[case::that_refuse_resumed_streams(9, &REFUSED_RESUMPTION_KINDS)]
#[case::of_two_versions_with_few_slots(7, &TWO_VERSION_KINDS)]
#[case::with_few_connections(8, &SILENCE_KINDS)]
fn silent_engines_lose_no_request(#[case] seed: u64, #[case] kinds: &[FaultKind]) {
    let report = assert_no_violations_on(seed, kinds, CallerLoad::Silence, (24, 3, 6, 1));
    let silences = report.silences().expect("silences");
    let met_silence: usize = silences.values().map(|counts| counts.met_silence).sum();
    assert!(met_silence >= MIN_MET_SILENCE, "{silences:?}");
}

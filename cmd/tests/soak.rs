//! Short seeded soak runs of real nodes under faults. docs/SOAK.md describes longer runs.

#[path = "support/soak_run.rs"]
mod soak_run;

use dalestand_soak::run::{CallerLoad, RunReport};
use dalestand_soak::schedule::{
    BROKEN_RESPONSE_KINDS, COLD_START_KINDS, CUT_STREAM_KINDS, FAULT_KINDS, FaultKind,
    LEAVING_KINDS, REJOIN_KINDS, RELEASE_KINDS, REPEATED_RESPONSE_KINDS, RETRY_KINDS,
    SUSPENSION_KINDS,
};
use rstest::rstest;
use soak_run::assert_no_violations_on;

/// Planned changes, and requests that crash engines; the checks count none of these as a disruption.
const NON_DISRUPTIVE_KINDS: [FaultKind; 4] = [
    FaultKind::NodeStopped,
    FaultKind::EngineDrained,
    FaultKind::RouteAdded,
    FaultKind::DeadlyRequest,
];

/// Engines that announce a drain or a backoff in their responses, combined with store failures.
const SIGNAL_KINDS: [FaultKind; 4] = [
    FaultKind::EngineDrainedUnlisted,
    FaultKind::EngineBacksOff,
    FaultKind::StoreSilent,
    FaultKind::StoreBusy,
];

/// A store that is restored from backups while nodes and engines stop and start.
const RESTORE_KINDS: [FaultKind; 6] = [
    FaultKind::StoreRestored,
    FaultKind::NodeStopped,
    FaultKind::NodeKilled,
    FaultKind::EngineDrained,
    FaultKind::EngineDrainedUnlisted,
    FaultKind::RouteAdded,
];

/// Rate limits of one engine or all, combined with failures of nodes, engines and the store.
const LIMIT_KINDS: [FaultKind; 6] = [
    FaultKind::EngineLimited,
    FaultKind::AllEnginesLimited,
    FaultKind::NodeKilled,
    FaultKind::NodePaused,
    FaultKind::StoreSilent,
    FaultKind::EngineCrashed,
];

/// Engines that leave while the connections to the store go silent.
const SILENT_STORE_KINDS: [FaultKind; 5] = [
    FaultKind::StoreConnectionsSilent,
    FaultKind::EngineDrained,
    FaultKind::EngineGone,
    FaultKind::EnginesDrainTogether,
    FaultKind::EnginesGoneTogether,
];

/// Engines whose draining entries are overwritten by earlier writes, and planned changes.
const REWRITTEN_ENTRY_KINDS: [FaultKind; 4] = [
    FaultKind::EntryRewritten,
    FaultKind::EnginesDrainTogether,
    FaultKind::NodeStopped,
    FaultKind::RouteAdded,
];

/// A request storm of one tenant and engines that become slow in turn, without node failures.
const HEAVY_LOAD_KINDS: [FaultKind; 2] = [FaultKind::TenantStorm, FaultKind::EngineTurnsSlow];

/// Engines that fail most requests for a while, and nodes that are killed together before, during and after; between them
/// the retry budget fills up again.
const RESTART_KINDS: [FaultKind; 8] = [
    FaultKind::EnginesFail,
    FaultKind::EnginesFail,
    FaultKind::NodesKilledTogether,
    FaultKind::RouteAdded,
    FaultKind::RouteAdded,
    FaultKind::RouteAdded,
    FaultKind::RouteAdded,
    FaultKind::RouteAdded,
];

/// A run that uses less of the retry budget proves little.
const MIN_BUDGET_USE: f64 = 0.5;

/// A run in which fewer requests could have reached a leaving engine proves little.
const MIN_JUDGED_REQUESTS: usize = 200;

/// Seeds that once failed are kept as regression cases, named after the failure.
#[rstest]
#[case::faults_of_all_kinds(1, &FAULT_KINDS)]
#[case::frequent_requests_refused_after_all_nodes_were_killed(119, &FAULT_KINDS)]
#[case::planned_changes_and_requests_that_crash_engines(3, &NON_DISRUPTIVE_KINDS)]
#[case::engine_signals_in_responses(5, &SIGNAL_KINDS)]
#[case::store_restores(7, &RESTORE_KINDS)]
#[case::engine_rate_limits(11, &LIMIT_KINDS)]
fn a_seeded_run_has_no_violations(#[case] seed: u64, #[case] kinds: &[FaultKind]) {
    assert_no_violations(seed, kinds, CallerLoad::Light);
}

/// A run in which engines cut fewer streams proves little.
const MIN_CUT_STREAMS: usize = 20;

/// Guards against streams without a length or chunks that their engines cut inside an event and that callers got as
/// complete.
#[test]
fn a_seeded_run_with_cut_streams_has_no_violations() {
    let report = assert_no_violations(61, &CUT_STREAM_KINDS, CallerLoad::Light);
    let cut_streams = report.cut_streams();
    assert!(cut_streams.cut >= MIN_CUT_STREAMS, "{cut_streams:?}");
}

/// A run in which engines break fewer responses proves little.
const MIN_BROKEN_RESPONSES: u64 = 50;

/// Guards against broken responses of engines that callers get as answers.
#[test]
fn a_seeded_run_with_broken_responses_has_no_violations() {
    let report = assert_no_violations(89, &BROKEN_RESPONSE_KINDS, CallerLoad::Light);
    let broken = report.broken_responses();
    assert!(broken >= MIN_BROKEN_RESPONSES, "{broken}");
}

/// A run in which engines send fewer responses again proves little.
const MIN_REPEATED_RESPONSES: u64 = 100;

/// Guards against late copies of responses that are taken for the responses to later calls.
#[test]
fn a_seeded_run_with_repeated_responses_has_no_violations() {
    let report = assert_no_violations(76, &REPEATED_RESPONSE_KINDS, CallerLoad::Tenants);
    let repeated = report.repeated_responses();
    assert!(repeated >= MIN_REPEATED_RESPONSES, "{repeated}");
}

/// A run in which callers resume fewer streams while several software versions serve proves little.
const MIN_RESUMED_AMONG_SEVERAL: usize = 30;

/// Guards against streams that go on at another software version, in one answer or over a caller's attempts, and against
/// streams that are refused though their version serves.
#[test]
fn a_seeded_run_with_several_software_versions_has_no_violations() {
    let report = assert_no_violations(900, &RELEASE_KINDS, CallerLoad::Light);
    let resumed = report.resumed_streams();
    assert!(
        resumed.among_several >= MIN_RESUMED_AMONG_SEVERAL,
        "{resumed:?}"
    );
}

/// A run in which callers resume fewer streams of a version proves little.
const MIN_RESUMED_OF_A_VERSION: usize = 20;

/// Guards against streams that go on at another software version after all nodes were killed, or at a node that missed a
/// release.
#[test]
fn a_seeded_run_with_nodes_that_miss_releases_has_no_violations() {
    let report = assert_no_violations(38, &REJOIN_KINDS, CallerLoad::Rejoin);
    let resumed = report.resumed_by_version();
    let judging = resumed
        .values()
        .filter(|counts| counts.resumed >= MIN_RESUMED_OF_A_VERSION);
    assert!(judging.count() >= 2, "{resumed:?}");
}

/// Engines with stages in two zones leave in every way.
#[rstest]
#[case::engines_that_leave_in_every_way(1, &LEAVING_KINDS)]
#[case::engines_that_leave_while_connections_to_the_store_are_silent(21, &SILENT_STORE_KINDS)]
#[case::engines_whose_entries_contradict_their_drains(3, &REWRITTEN_ENTRY_KINDS)]
#[case::engines_that_leave_while_all_nodes_start_again(5, &COLD_START_KINDS)]
fn a_seeded_run_with_leaving_engines_has_no_violations(
    #[case] seed: u64,
    #[case] kinds: &[FaultKind],
) {
    let report = assert_no_violations(seed, kinds, CallerLoad::Prompts);
    let judged: usize = report.leaving().values().map(|counts| counts.judged).sum();
    assert!(judged >= MIN_JUDGED_REQUESTS, "{:#?}", report.leaving());
}

/// Tenants compete for the capacity of engines of different speeds, and one of them sends a request storm.
#[rstest]
#[case::tenants_that_compete_for_capacity(41)]
fn a_seeded_run_under_heavy_load_has_no_violations(#[case] seed: u64) {
    assert_no_violations(seed, &HEAVY_LOAD_KINDS, CallerLoad::Tenants);
}

/// Guards against restarted nodes retrying again what their former processes had retried, so that engines get more
/// repeated requests than all nodes together may send.
#[rstest]
#[case::nodes_killed_together(11, &RESTART_KINDS)]
#[case::all_kinds(1, &RETRY_KINDS)]
#[case::engines_suspended_for_longer_than_a_window(9003, &SUSPENSION_KINDS)]
fn a_seeded_run_stays_within_the_retry_budget(#[case] seed: u64, #[case] kinds: &[FaultKind]) {
    let report = assert_no_violations(seed, kinds, CallerLoad::Failures);
    let worst = report.worst_retry_window().expect("retries");
    assert!(worst.used_share() >= MIN_BUDGET_USE, "{worst:?}");
}

/// First tries at cut nodes must be served this often, relative to those at the others: nearly as often.
const MIN_RELATIVE_SHARE: f64 = 0.98;

/// A run in which fewer first tries came to cut nodes proves little.
const MIN_FIRST_TRIES: usize = 100;

/// Guards against nodes that lost their links to all engines and failed nearly every request, while other nodes reached
/// the same engines.
#[rstest]
#[case::links_that_lose_all_packets(5, FaultKind::NodesCutOffSilently)]
#[case::links_that_are_reset(5, FaultKind::NodesCutOffByResets)]
#[case::links_that_take_no_new_connections(5, FaultKind::NodesCutOffForNewConnections)]
fn nodes_cut_off_from_all_engines_serve_their_callers(#[case] seed: u64, #[case] kind: FaultKind) {
    let report = assert_no_violations_on(seed, &[kind], CallerLoad::Light, (40, 6, 12, 2));
    let tries = report.first_tries_in_partitions();
    assert!(tries.cut >= MIN_FIRST_TRIES, "{tries:?}");
    assert!(tries.relative_share() >= MIN_RELATIVE_SHARE, "{tries:?}");
}

fn assert_no_violations(seed: u64, kinds: &[FaultKind], load: CallerLoad) -> RunReport {
    let size = match load {
        CallerLoad::Light | CallerLoad::Tenants | CallerLoad::Silence | CallerLoad::Crowds => {
            (30, 3, 6, 1)
        }
        CallerLoad::Prompts => (30, 8, 18, 2),
        CallerLoad::Rejoin => (30, 7, 16, 4),
        // Several windows of the retry budget.
        CallerLoad::Failures => (40, 9, 18, 1),
    };
    assert_no_violations_on(seed, kinds, load, size)
}

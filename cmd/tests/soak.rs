//! Short seeded soak runs of real nodes under faults. docs/SOAK.md describes longer runs.

use std::time::Duration;

use dalestand_soak::run::{CallerLoad, RunConfig, execute};
use dalestand_soak::schedule::{FAULT_KINDS, FaultKind};
use rstest::rstest;

/// Planned changes, and requests that crash engines; none of these suspends a check.
const CALM_KINDS: [FaultKind; 4] = [
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

/// A request storm of one tenant and engines that become slow in turn, without node failures.
const HARD_LOAD_KINDS: [FaultKind; 2] = [FaultKind::TenantStorm, FaultKind::EngineTurnsSlow];

/// Seeds that once failed are kept as regression cases, named after the failure.
#[rstest]
#[case::faults_of_all_kinds(1, &FAULT_KINDS)]
#[case::requests_that_come_often_refused_after_all_nodes_were_killed(119, &FAULT_KINDS)]
#[case::planned_work_and_deadly_requests(3, &CALM_KINDS)]
#[case::what_engines_say_in_their_answers(5, &SIGNAL_KINDS)]
#[case::a_store_that_is_restored(7, &RESTORE_KINDS)]
#[case::engines_that_take_only_so_many(11, &LIMIT_KINDS)]
fn a_seeded_run_breaks_nothing(#[case] seed: u64, #[case] kinds: &[FaultKind]) {
    breaks_nothing(seed, kinds, CallerLoad::Light);
}

/// Tenants compete for the capacity of engines of different speeds, and one of them sends a request storm.
#[rstest]
#[case::tenants_that_compete_for_room(41)]
fn a_seeded_run_under_hard_load_breaks_nothing(#[case] seed: u64) {
    breaks_nothing(seed, &HARD_LOAD_KINDS, CallerLoad::Tenants);
}

fn breaks_nothing(seed: u64, kinds: &[FaultKind], load: CallerLoad) {
    let folder = std::env::temp_dir().join(format!("dalestand-soak-{}", std::process::id()));
    let config = RunConfig {
        seed,
        kinds: kinds.to_vec(),
        load,
        length: Duration::from_secs(30),
        nodes: 3,
        engines: 6,
        program: env!("CARGO_BIN_EXE_dalestand").into(),
        alternate_program: None,
        folder: folder.join(format!("seed-{seed}")),
    };
    let report = execute(&config).expect("a run");
    assert!(!report.history.attempts.is_empty());
    assert!(
        report.violations.is_empty(),
        "logs in {}: {:#?}",
        config.folder.display(),
        report.violations
    );
    // Logs are needed only after a violation; a failure to remove them is harmless.
    let _ = std::fs::remove_dir_all(&config.folder);
}

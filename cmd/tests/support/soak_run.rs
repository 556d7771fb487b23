//! Executes a soak run in a test.

use std::time::Duration;

use dalestand_soak::run::{CallerLoad, RunConfig, RunReport, execute};
use dalestand_soak::schedule::FaultKind;

/// A run of a size: seconds, nodes, engines and zones.
pub fn assert_no_violations_on(
    seed: u64,
    kinds: &[FaultKind],
    load: CallerLoad,
    (length_s, nodes, engines, zones): (u64, usize, usize, usize),
) -> RunReport {
    let folder = std::env::temp_dir().join(format!("dalestand-soak-{}", std::process::id()));
    // Runs with one seed and different loads or kinds are executed at the same time.
    let first = kinds[0];
    let name = format!("seed-{seed}-{load:?}-{first:?}").to_lowercase();
    let config = RunConfig {
        seed,
        kinds: kinds.to_vec(),
        load,
        length: Duration::from_secs(length_s),
        nodes,
        engines,
        zones,
        program: env!("CARGO_BIN_EXE_dalestand").into(),
        alternate_program: None,
        folder: folder.join(name),
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
    report
}

//! A seeded minute of the soak with crowds of callers that misbehave. A test program of its own, as test programs run one after the
//! other: its memory and its load count.

#[path = "support/soak_run.rs"]
mod soak_run;

use dalestand_soak::run::CallerLoad;
use dalestand_soak::schedule::CROWD_KINDS;
use soak_run::assert_no_violations_on;

/// A run with fewer crowds proves little.
const MIN_CROWDS: usize = 5;

/// Guards against crowds that end a node, take more memory than its machine has, or run what they were refused, while nodes are stopped,
/// killed and paused.
#[test]
fn crowds_beside_restarts_and_changes_end_no_node() {
    let size = (60, 3, 6, 1);
    let report = assert_no_violations_on(9_100, &CROWD_KINDS, CallerLoad::Crowds, size);
    assert!(report.crowds().len() >= MIN_CROWDS, "{:?}", report.faults());
}

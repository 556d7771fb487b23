//! Short seeded soak runs with parts of prompts that crash engines, and with most connections at one node. A test program of its
//! own, as test programs run one after the other: runs that must use much of the retry budget need the machine.

#[path = "support/soak_run.rs"]
mod soak_run;

use dalestand_soak::run::CallerLoad;
use dalestand_soak::schedule::{CRASHING_PART_KINDS, FaultKind};
use rstest::rstest;
use soak_run::assert_no_violations_on;

/// A run in which fewer sound first tries came beside requests with a part that crashes engines proves little.
const MIN_SOUND_TRIES: usize = 20;

/// Guards against requests with a part that crashes engines that nodes pass on because they could not read the fleet's key, and
/// against refusing requests that share other parts.
#[rstest]
#[case::nodes_that_the_store_refused(725)]
#[case::nodes_that_started_while_the_store_was_silent(728)]
fn a_seeded_run_with_crashing_parts_has_no_violations(#[case] seed: u64) {
    let kinds = &CRASHING_PART_KINDS;
    let report = assert_no_violations_on(seed, kinds, CallerLoad::Light, (40, 6, 16, 2));
    let parts = report.crashing_parts();
    assert!(
        parts.iter().any(|part| part.fifth_crash_ms.is_some()),
        "{parts:?}"
    );
    assert!(
        parts.iter().any(|part| part.sound >= MIN_SOUND_TRIES),
        "{parts:?}"
    );
}

/// A run in which fewer first tries came while most connections went to one node proves little.
const MIN_SKEWED_TRIES: usize = 200;

/// Guards against a node that fails the requests of most of its region's new connections.
#[test]
fn a_node_that_gets_most_new_connections_serves_them() {
    let kinds = [FaultKind::EntrySkewed];
    let report = assert_no_violations_on(31, &kinds, CallerLoad::Failures, (30, 6, 18, 2));
    let tries: usize = report.entry_skews().iter().map(|skew| skew.all).sum();
    assert!(tries >= MIN_SKEWED_TRIES, "{:?}", report.entry_skews());
}

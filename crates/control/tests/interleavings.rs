//! Random interleavings of holders, engines and the key-value service under faults.

mod model;

use model::{ENGINES, HOLDERS, Step, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Maximum steps per run.
const STEPS: usize = 300;

/// Longest advance of the clock in one step, in milliseconds; longer than a lease.
const MAX_ADVANCE_MS: u16 = 8_000;

fn step() -> impl Strategy<Value = Step> {
    let index = any::<usize>;
    prop_oneof![
        3 => (1..300_u16).prop_map(Step::Advance),
        2 => (300..MAX_ADVANCE_MS).prop_map(Step::Advance),
        8 => Just(Step::Round),
        6 => (0..HOLDERS).prop_map(Step::Tick),
        16 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::Lose),
        4 => index().prop_map(Step::Delay),
        1 => index().prop_map(Step::Duplicate),
        4 => index().prop_map(Step::ArriveLate),
        1 => (0..HOLDERS).prop_map(Step::Pause),
        2 => (0..HOLDERS).prop_map(Step::Resume),
        5 => (0..ENGINES).prop_map(Step::Finish),
        1 => (0..ENGINES).prop_map(Step::Restart),
        2 => (0..3_usize).prop_map(Step::Desire),
        2 => (0..HOLDERS).prop_map(Step::HandOver),
    ]
}

/// Fixed cases by default. `DALESTAND_SEARCH_CASES` and `DALESTAND_SEARCH_SEED` set the number of cases
/// and the seed for a longer search.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: number("DALESTAND_SEARCH_CASES").unwrap_or(1_000) as u32,
        rng_seed: RngSeed::Fixed(number("DALESTAND_SEARCH_SEED").unwrap_or(0x0da1_e57a)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn orders_never_conflict_and_everything_recovers(
        steps in prop::collection::vec(step(), 0..STEPS)
    ) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
        world.check_history();
        world.check_recovery();
        world.check_history();
    }
}

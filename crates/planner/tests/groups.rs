//! Planning of several groups of one pool on delayed digests.

mod support;

use dalestand_planner::{Composition, RolePlanner};
use dalestand_types::{EngineLoad, GroupDigest, GroupId, MonotonicTime};
use proptest::prelude::*;

use support::{REPORT_MS, cases, config, digest, idle_engine};

/// Three groups of two engines whose planners receive the digests of other groups with a delay.
struct DelayedPool {
    groups: Vec<GroupId>,
    planners: Vec<RolePlanner>,
    engines: Vec<EngineLoad>,
    digests: Vec<Vec<GroupDigest>>,
    delay_seconds: usize,
    changes: Vec<usize>,
}

const GROUP_SIZE: usize = 2;

impl DelayedPool {
    fn new(delay_seconds: usize, weight: f64) -> Self {
        let groups: Vec<GroupId> = ["one", "two", "three"]
            .iter()
            .map(|zone| GroupId::from(format!("pool@{zone}")))
            .collect();
        let planners = groups
            .iter()
            .map(|group| RolePlanner::new(group.clone(), config(weight)));
        Self {
            planners: planners.collect(),
            engines: (0..groups.len() * GROUP_SIZE)
                .map(|number| idle_engine(number, true))
                .collect(),
            digests: Vec::new(),
            delay_seconds,
            changes: vec![0; groups.len()],
            groups,
        }
    }

    /// Advances by one second in which the engines process the given tokens.
    fn advance_second(&mut self, prefill: u64, decode: u64) {
        let second = self.digests.len() as u64 + 1;
        let now = MonotonicTime::from_millis(second * REPORT_MS);
        let size = self.engines.len() as u64;
        for load in &mut self.engines {
            load.sequence = load.sequence.next();
            load.running = 64;
            load.prefill_tokens_total += prefill / size;
            load.decode_tokens_total += decode / size;
        }
        let digests = self.groups.iter().zip(self.engines.chunks(GROUP_SIZE));
        let digests = digests.map(|(group, engines)| digest(group, second, engines, None));
        self.digests.push(digests.collect());
        let newest = self.digests.len() - 1;
        for (own, planner) in self.planners.iter_mut().enumerate() {
            for group in 0..self.groups.len() {
                let delay = if group == own { 0 } else { self.delay_seconds };
                if let Some(received) = newest.checked_sub(delay) {
                    planner.observe(now, &self.digests[received][group]);
                }
            }
        }
        for (own, planner) in self.planners.iter_mut().enumerate() {
            let plan = planner.plan(now);
            for load in &mut self.engines[own * GROUP_SIZE..(own + 1) * GROUP_SIZE] {
                let planned = plan.roles.get(&load.engine).copied();
                if planned.is_some() && planned != load.role {
                    load.role = planned;
                    self.changes[own] += 1;
                }
            }
        }
    }

    fn covers_both_phases(&self) -> bool {
        Composition::of(self.engines.iter().filter_map(|load| load.role)).covers_both_phases()
    }
}

#[test]
fn groups_of_a_pool_are_planned_together_and_change_their_own_engines() {
    let mut pool = DelayedPool::new(1, 0.0);
    for _ in 0..400 {
        pool.advance_second(96_000, 1_800);
    }
    let changed = pool.changes.iter().filter(|changes| **changes > 0).count();
    assert!(changed > 1, "changes by group: {:?}", pool.changes);
}

proptest! {
    #![proptest_config(cases(16))]

    #[test]
    fn delayed_digests_never_leave_a_phase_without_an_engine(
        delay_seconds in 0_usize..9,
        weight in 0.0_f64..0.5,
        phases in prop::collection::vec((0_u64..150_000, 0_u64..20_000, 10_u32..90), 1..6),
    ) {
        let mut pool = DelayedPool::new(delay_seconds, weight);
        for (prefill, decode, seconds) in phases {
            for _ in 0..seconds {
                pool.advance_second(prefill, decode);
                prop_assert!(pool.covers_both_phases());
            }
        }
    }
}

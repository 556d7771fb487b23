//! Properties of the role planner under arbitrary demand.

mod support;

use std::collections::BTreeMap;

use dalestand_planner::{Composition, PlannerConfig, RolePlan, RolePlanner};
use dalestand_types::{
    EngineId, EngineLoad, GroupDigest, GroupId, Incarnation, MonotonicTime, Role, Sequence,
};
use proptest::prelude::*;

use support::{REPORT_MS, cases, config, digest, idle_engine};

const GROUP: &str = "pool@zone";

/// A group of engines that carry out each planned change within `change_seconds`.
struct Group {
    engines: Vec<EngineLoad>,
    out_seconds: Vec<u32>,
    change_seconds: u32,
    /// Index of an engine that accepts no new work.
    drained: Option<usize>,
    last_plan: BTreeMap<EngineId, Role>,
    planner: RolePlanner,
    now_ms: u64,
}

impl Group {
    fn new(size: usize, config: PlannerConfig) -> Self {
        let mixed = config.allowed_roles.contains(&Role::Mixed);
        let engines = (0..size).map(|number| idle_engine(number, mixed)).collect();
        let planner = RolePlanner::new(GroupId::from(GROUP), config);
        Self {
            engines,
            out_seconds: vec![0; size],
            change_seconds: 0,
            drained: None,
            last_plan: BTreeMap::new(),
            planner,
            now_ms: 0,
        }
    }

    /// Advances by one second in which the engines process the given tokens, and plans.
    fn advance_second(&mut self, prefill: u64, decode: u64) -> RolePlan {
        self.now_ms += REPORT_MS;
        let size = self.engines.len() as u64;
        for load in &mut self.engines {
            load.sequence = load.sequence.next();
            load.running = 64;
            load.prefill_tokens_total += prefill / size;
            load.decode_tokens_total += decode / size;
        }
        let digest = self.digest();
        let now = MonotonicTime::from_millis(self.now_ms);
        self.planner.observe(now, &digest);
        self.planner.plan(now)
    }

    /// Carries out the plan for one second.
    fn apply(&mut self, plan: &RolePlan) {
        for (load, out) in self.engines.iter_mut().zip(&mut self.out_seconds) {
            let planned = plan.roles.get(&load.engine).copied();
            if load.role == planned {
                continue;
            }
            if load.role.take().is_some() {
                *out = self.change_seconds;
            }
            if *out == 0 {
                load.role = planned;
            } else {
                *out -= 1;
            }
        }
    }

    fn digest(&self) -> GroupDigest {
        let group = GroupId::from(GROUP);
        digest(&group, self.now_ms, &self.engines, self.drained)
    }

    /// Number of engines that are not in their planned role.
    fn changes_in_progress(&self, plan: &RolePlan) -> usize {
        let changed = |load: &&EngineLoad| plan.roles.get(&load.engine).copied() != load.role;
        self.engines.iter().filter(changed).count()
    }
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn roles_always_cover_both_phases_and_changes_are_bounded(
        size in 2_usize..10,
        weight in 0.0_f64..1.0,
        bound in 1_usize..4,
        mixed in any::<bool>(),
        change_seconds in 0_u32..6,
        phases in prop::collection::vec(
            (0_u64..200_000, prop_oneof![Just(0_u64), 0_u64..40_000], 5_u32..60),
            1..6,
        ),
    ) {
        let allowed_roles = Role::ALL.into_iter().filter(|role| mixed || *role != Role::Mixed);
        let config = PlannerConfig {
            max_changes_at_once: bound,
            allowed_roles: allowed_roles.collect(),
            ..config(weight)
        };
        let mut group = Group::new(size, config);
        group.change_seconds = change_seconds;
        for (prefill, decode, seconds) in phases {
            for _ in 0..seconds {
                let plan = group.advance_second(prefill, decode);
                prop_assert!(Composition::of(plan.roles.values().copied()).covers_both_phases());
                prop_assert!(group.changes_in_progress(&plan) <= bound);
                let serving = group.engines.iter().filter_map(|load| {
                    let planned = plan.roles.get(&load.engine).copied();
                    load.role.filter(|role| planned == Some(*role))
                });
                prop_assert!(Composition::of(serving).covers_both_phases());
                group.apply(&plan);
            }
        }
    }

    #[test]
    fn equal_inputs_give_equal_plans(
        size in 1_usize..10,
        seconds in prop::collection::vec((0_u64..200_000, 0_u64..40_000), 1..40),
    ) {
        let mut one = Group::new(size, config(0.2));
        let mut other = Group::new(size, config(0.2));
        for (prefill, decode) in seconds {
            let plan = one.advance_second(prefill, decode);
            prop_assert_eq!(&plan, &other.advance_second(prefill, decode));
            one.apply(&plan);
            other.apply(&plan);
        }
    }
}

fn changes_over(group: &mut Group, seconds: u32, prefill: u64, decode: u64) -> usize {
    let mut changes = 0;
    for _ in 0..seconds {
        let plan = group.advance_second(prefill, decode);
        changes += group.changes_in_progress(&plan);
        group.apply(&plan);
    }
    changes
}

/// Applies a load of mostly prompts until a plan changes a role, and returns that plan.
fn run_until_change(group: &mut Group) -> RolePlan {
    for _ in 0..240 {
        let plan = group.advance_second(190_000, 2_000);
        if group.changes_in_progress(&plan) > 0 {
            return plan;
        }
    }
    panic!("no role change in four minutes of mostly prompts");
}

#[test]
fn steady_demand_makes_no_changes_after_the_first_plan() {
    let mut group = Group::new(9, config(0.2));
    changes_over(&mut group, 120, 120_000, 10_000);
    assert_eq!(changes_over(&mut group, 300, 120_000, 10_000), 0);
}

#[test]
fn roles_follow_a_lasting_shift_of_demand() {
    let mut group = Group::new(9, config(0.0));
    changes_over(&mut group, 60, 20_000, 30_000);
    let changes = changes_over(&mut group, 240, 190_000, 2_000);
    assert!(changes > 0);
    assert!(changes < 10, "{changes} changes for one shift");
}

#[test]
fn a_higher_change_weight_reduces_the_number_of_changes() {
    let run = |weight| {
        let mut group = Group::new(9, config(weight));
        let mut changes = 0;
        for _ in 0..6 {
            changes += changes_over(&mut group, 60, 190_000, 2_000);
            changes += changes_over(&mut group, 60, 20_000, 30_000);
        }
        changes
    };
    let (few, many) = (run(0.8), run(0.0));
    assert!(few <= many, "{few} changes at weight 0.8, {many} at 0");
    assert_eq!(run(1.0), 0);
}

#[test]
fn an_unfinished_change_blocks_further_changes() {
    let mut group = Group::new(9, config(0.0));
    let plan = run_until_change(&mut group);
    assert_eq!(group.changes_in_progress(&plan), 1);
    // The change never completes, so no other engine may be taken out of service.
    for _ in 0..60 {
        let later = group.advance_second(190_000, 2_000);
        assert_eq!(later.roles, plan.roles);
    }
}

#[test]
fn an_engine_drained_by_an_operator_does_not_block_changes_forever() {
    let mut group = Group::new(9, config(0.0));
    group.drained = Some(8);
    assert!(changes_over(&mut group, 600, 190_000, 2_000) > 0);
}

#[test]
fn an_engine_that_restarts_during_a_change_is_planned_from_the_role_it_reports() {
    let mut group = Group::new(9, config(0.0));
    let plan = run_until_change(&mut group);
    let index = group
        .engines
        .iter()
        .position(|load| plan.roles.get(&load.engine).copied() != load.role)
        .expect("one engine changes");
    group.engines[index].incarnation = Incarnation(2);
    group.engines[index].sequence = Sequence(0);
    let next = group.advance_second(190_000, 2_000);
    assert!(group.changes_in_progress(&next) <= 1);
    assert!(Composition::of(next.roles.values().copied()).covers_both_phases());
}

/// Two prefill and two decode engines whose changes never complete. The demand reverses during the
/// first change.
#[test]
fn the_last_engine_in_service_for_a_phase_is_kept_while_another_is_changing() {
    let mut group = Group::new(
        4,
        PlannerConfig {
            max_changes_at_once: 3,
            allowed_roles: vec![Role::Prefill, Role::Decode],
            ..config(0.0)
        },
    );
    group.change_seconds = u32::MAX;
    // Engines with many requests are ranked last, so that the changing engine is not selected again.
    group.engines[0].waiting = 100;
    group.engines[2].waiting = 50;
    let mut changed = 0;
    for second in 0..240 {
        let (prefill, decode) = if changed == 0 {
            (0, 12_000)
        } else {
            (80_000, 0)
        };
        let plan = group.advance_second(prefill, decode);
        changed = changed.max(group.changes_in_progress(&plan));
        if changed > 0 {
            group.engines[2].waiting = 200;
        }
        group.apply(&plan);
        let serving = group.engines.iter().filter_map(|load| load.role);
        assert!(
            Composition::of(serving).covers_both_phases(),
            "a phase has no engine at second {second}"
        );
    }
    assert!(
        changed >= 2,
        "no second change followed the reversal of the demand"
    );
}

#[test]
fn every_composition_covers_both_phases() {
    let allowed = [Role::Prefill, Role::Decode];
    let all = Composition::all(5, &allowed);
    assert!(all.iter().all(Composition::covers_both_phases));
    assert_eq!(all.len(), 4);
}

/// Number of role changes in ten minutes of a mix that alternates with this period, after five minutes
/// of learning.
fn changes_with_alternating_mix(period_seconds: u32) -> usize {
    let mut group = Group::new(9, config(0.2));
    group.change_seconds = 9;
    let mut changes = 0;
    for second in 0..900 {
        let prompts = second % period_seconds < period_seconds / 2;
        let (prefill, decode) = if prompts {
            (150_000, 3_000)
        } else {
            (20_000, 22_000)
        };
        let before = group.last_plan.clone();
        let plan = group.advance_second(prefill, decode);
        if second >= 300 {
            changes += plan
                .roles
                .iter()
                .filter(|(engine, role)| before.get(*engine) != Some(*role))
                .count();
        }
        group.apply(&plan);
        group.last_plan = plan.roles;
    }
    changes
}

#[test]
fn a_mix_that_alternates_as_fast_as_a_change_takes_is_not_followed() {
    let changes = changes_with_alternating_mix(20);
    assert!(changes <= 4, "{changes} changes in 30 periods");
}

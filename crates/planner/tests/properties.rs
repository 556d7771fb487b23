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

/// A group of engines that obey a plan, each out of service for some seconds.
struct Group {
    engines: Vec<EngineLoad>,
    out_seconds: Vec<u32>,
    change_seconds: u32,
    /// Place of an engine that takes no new work.
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

    /// One second in which each engine did its share of these tokens.
    fn second(&mut self, prefill: u64, decode: u64) -> RolePlan {
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

    fn follow(&mut self, plan: &RolePlan) {
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

    fn changing(&self, plan: &RolePlan) -> usize {
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
                let plan = group.second(prefill, decode);
                prop_assert!(Composition::of(plan.roles.values().copied()).covers());
                prop_assert!(group.changing(&plan) <= bound);
                let serving = group.engines.iter().filter_map(|load| {
                    let planned = plan.roles.get(&load.engine).copied();
                    load.role.filter(|role| planned == Some(*role))
                });
                prop_assert!(Composition::of(serving).covers());
                group.follow(&plan);
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
            let plan = one.second(prefill, decode);
            prop_assert_eq!(&plan, &other.second(prefill, decode));
            one.follow(&plan);
            other.follow(&plan);
        }
    }
}

fn changes_over(group: &mut Group, seconds: u32, prefill: u64, decode: u64) -> usize {
    let mut changes = 0;
    for _ in 0..seconds {
        let plan = group.second(prefill, decode);
        changes += group.changing(&plan);
        group.follow(&plan);
    }
    changes
}

/// Seconds of prompts only, up to the first plan that changes a role.
fn until_a_change(group: &mut Group) -> RolePlan {
    for _ in 0..240 {
        let plan = group.second(190_000, 2_000);
        if group.changing(&plan) > 0 {
            return plan;
        }
    }
    panic!("no change of role in four minutes of prompts only");
}

#[test]
fn steady_demand_makes_no_changes_after_the_first_plan() {
    let mut group = Group::new(9, config(0.2));
    changes_over(&mut group, 120, 120_000, 10_000);
    assert_eq!(changes_over(&mut group, 300, 120_000, 10_000), 0);
}

#[test]
fn a_lasting_shift_is_followed_by_roles() {
    let mut group = Group::new(9, config(0.0));
    changes_over(&mut group, 60, 20_000, 30_000);
    let changes = changes_over(&mut group, 240, 190_000, 2_000);
    assert!(changes > 0);
    assert!(changes < 10, "{changes} changes for one shift");
}

#[test]
fn the_weight_of_changes_bounds_their_number() {
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
fn an_engine_in_mid_change_holds_back_further_changes() {
    let mut group = Group::new(9, config(0.0));
    let plan = until_a_change(&mut group);
    assert_eq!(group.changing(&plan), 1);
    // The engine drains and never comes back: nothing else may be taken out.
    for _ in 0..60 {
        let later = group.second(190_000, 2_000);
        assert_eq!(later.roles, plan.roles);
    }
}

#[test]
fn an_engine_drained_by_an_operator_does_not_hold_back_changes_for_ever() {
    let mut group = Group::new(9, config(0.0));
    group.drained = Some(8);
    assert!(changes_over(&mut group, 600, 190_000, 2_000) > 0);
}

#[test]
fn an_engine_that_crashed_in_mid_change_is_planned_from_the_role_it_came_back_in() {
    let mut group = Group::new(9, config(0.0));
    let plan = until_a_change(&mut group);
    let place = group
        .engines
        .iter()
        .position(|load| plan.roles.get(&load.engine).copied() != load.role)
        .expect("one engine changes");
    group.engines[place].incarnation = Incarnation(2);
    group.engines[place].sequence = Sequence(0);
    let next = group.second(190_000, 2_000);
    assert!(group.changing(&next) <= 1);
    assert!(Composition::of(next.roles.values().copied()).covers());
}

/// Two prompt engines and two output engines whose changes never end; the demand turns round
/// while the first change is under way.
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
    // Engines that hold much are passed over, so that the one in mid change is not turned back.
    group.engines[0].waiting = 100;
    group.engines[2].waiting = 50;
    let mut changed = 0;
    for second in 0..240 {
        let (prefill, decode) = if changed == 0 {
            (0, 12_000)
        } else {
            (80_000, 0)
        };
        let plan = group.second(prefill, decode);
        changed = changed.max(group.changing(&plan));
        if changed > 0 {
            group.engines[2].waiting = 200;
        }
        group.follow(&plan);
        let serving = group.engines.iter().filter_map(|load| load.role);
        assert!(
            Composition::of(serving).covers(),
            "empty at second {second}"
        );
    }
    assert!(
        changed >= 2,
        "the demand turned round without a second change"
    );
}

#[test]
fn a_demand_of_prompts_only_leaves_an_engine_for_output() {
    let allowed = [Role::Prefill, Role::Decode];
    let all = Composition::all(5, &allowed);
    assert!(all.iter().all(Composition::covers));
    assert_eq!(all.len(), 4);
}

/// Changes in ten minutes of a mix that swings with this period, after five minutes to learn it.
fn changes_in_a_swing(period_seconds: u32) -> usize {
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
        let plan = group.second(prefill, decode);
        if second >= 300 {
            changes += plan
                .roles
                .iter()
                .filter(|(engine, role)| before.get(*engine) != Some(*role))
                .count();
        }
        group.follow(&plan);
        group.last_plan = plan.roles;
    }
    changes
}

#[test]
fn a_mix_that_swings_as_fast_as_a_change_lasts_is_not_followed() {
    let changes = changes_in_a_swing(20);
    assert!(changes <= 4, "{changes} changes in 30 swings");
}

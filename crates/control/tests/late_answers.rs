//! A late answer to an earlier call is not taken for the pending one.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_control::{
    Action, DesiredEngine, DesiredModel, EngineCall, GroupController, LeaseGrant,
};
use dalestand_standin::engine::EngineOrderState;
use dalestand_types::{
    EngineId, Epoch, GroupId, Incarnation, ModelName, MonotonicTime, Revision, Role, Version,
};

const EPOCH: Epoch = Epoch(5);

/// Longer than the retry delay after a failed call, shorter than the lease.
const LATER: MonotonicTime = MonotonicTime::from_millis(1_000);

fn controller() -> GroupController {
    let start = MonotonicTime::ZERO;
    let mut controller = GroupController::new(GroupId::from("g"), start);
    let model = DesiredModel {
        model: ModelName::from("m"),
        version: Version::from("1"),
        adapters: Vec::new(),
    };
    let desired = DesiredEngine {
        role: Role::Mixed,
        models: vec![model],
    };
    let desired = BTreeMap::from([(EngineId::from("e"), desired)]);
    controller.set_desired(start, Revision(1), desired, 1);
    assert_eq!(controller.tick(start), vec![Action::AcquireLease]);
    let grant = LeaseGrant {
        lease: 1,
        epoch: EPOCH,
        sent_at: start,
        time_to_live: Duration::from_secs(60),
    };
    controller.lease_acquired(start, grant);
    controller
}

fn only_call(actions: &[Action]) -> EngineCall {
    match actions {
        [
            Action::RaiseEpoch { call }
            | Action::ReadOrders { call }
            | Action::SendOrder { call, .. },
        ] => call.clone(),
        other => panic!("expected one call: {other:?}"),
    }
}

#[test]
fn a_late_answer_does_not_complete_a_pending_order() {
    let mut controller = controller();
    let mut engine = EngineOrderState::new(Incarnation(1), Role::Mixed);
    let first = only_call(&controller.tick(MonotonicTime::ZERO));
    controller.engine_failed(MonotonicTime::ZERO, &first);
    let second = only_call(&controller.tick(LATER));
    let answer = engine.raise_epoch(EPOCH);
    controller.engine_answered(LATER, &second, &answer);
    let actions = controller.tick(LATER);
    assert!(matches!(actions.as_slice(), [Action::SendOrder { .. }]));

    controller.engine_answered(LATER, &first, &answer);
    controller.engine_failed(LATER, &first);
    let much_later = LATER + Duration::from_secs(1);
    assert_eq!(
        controller.tick(much_later),
        vec![],
        "the answer is still pending"
    );
}

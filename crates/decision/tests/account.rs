//! Explanations of decisions contain the figures that operators need.

use dalestand_decision::{
    AttemptOutcome, AttemptRecord, Candidate, Exclusion, NoEngineRecord, RequestRecord,
    RequestTerms, RoleRecord, request_explanation, role_change_explanation,
};
use dalestand_types::{
    AttemptId, EngineId, Epoch, GroupId, ModelName, OrderId, Placement, RequestId, Revision, Role,
    RunState,
};

fn scored(engine: &str, score: f64) -> Candidate {
    Candidate {
        engine: EngineId::from(engine),
        score: Some(score),
        exclusion: None,
        information_age_ms: 480,
    }
}

fn excluded(engine: &str, exclusion: Exclusion) -> Candidate {
    Candidate {
        engine: EngineId::from(engine),
        score: None,
        exclusion: Some(exclusion),
        information_age_ms: 720,
    }
}

fn record() -> RequestRecord {
    RequestRecord {
        request: RequestId(7),
        unix_ms: 0,
        revision: Revision(42),
        model: ModelName::from("caption-llm"),
        tenant: None,
        terms: RequestTerms::default(),
        attempts: Vec::new(),
        no_engine: None,
        refusal: None,
        run_state: None,
    }
}

#[test]
fn an_explanation_names_the_candidates_their_scores_and_the_age_of_information() {
    let mut record = record();
    record.attempts.push(AttemptRecord {
        attempt: AttemptId(1),
        after_ms: 3,
        engine: EngineId::from("engine-2"),
        placement: Placement::PrefillOnly,
        candidates: vec![
            excluded("engine-1", Exclusion::Leaving),
            scored("engine-2", 812.25),
        ],
        outcome: AttemptOutcome::Prefilled,
    });
    record.run_state = Some(RunState::Complete);
    let text = request_explanation(&record);
    for part in [
        "configuration 42",
        "engine-1: left out: leaving or drained, known 720 ms ago",
        "engine-2: score 812.2 ms, known 480 ms ago",
        "prompt on engine engine-2",
        "result: complete",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

#[test]
fn an_explanation_of_a_rejection_names_the_reason_and_the_retry_delay() {
    let mut record = record();
    record.no_engine = Some(NoEngineRecord {
        after_ms: 1,
        reason: "DeadlineUnreachable".to_owned(),
        retry_after_ms: 6_500,
        candidates: vec![
            scored("engine-2", 9_300.0),
            excluded("engine-3", Exclusion::Full),
        ],
    });
    record.run_state = Some(RunState::NotRun);
    let text = request_explanation(&record);
    for part in [
        "DeadlineUnreachable; to come back in 6500 ms",
        "engine-2: score 9300.0 ms",
        "engine-3: left out: full",
        "result: not-run",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

#[test]
fn an_explanation_of_a_role_change_names_order_epoch_configuration_and_reason() {
    let text = role_change_explanation(&RoleRecord {
        engine: EngineId::from("engine-2"),
        group: GroupId::from("caption-llm@duluth-vault"),
        order: OrderId {
            epoch: Epoch(9),
            number: 3,
        },
        unix_ms: 0,
        epoch: Epoch(9),
        revision: Revision(42),
        from: Some(Role::Mixed),
        to: Role::Prefill,
        information_age_ms: 640,
        reason: "expected gain".to_owned(),
    });
    for part in [
        "order 9.3",
        "engine-2",
        "mixed to prefill",
        "epoch 9",
        "configuration 42",
        "640 ms old: expected gain",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

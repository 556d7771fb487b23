//! An at-most-once request is claimed before its first dispatch and is dispatched only if the claim
//! is granted.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use dalestand_gateway::{ClaimEnd, ClaimGate, ClaimOutcome, ClaimRequest, KeptAnswer};
use dalestand_standin::engine::EngineFaults;
use dalestand_types::{FinishReason, RequestId, RunState, Usage};
use rstest::rstest;
use serde_json::json;
use support::{Fixture, FixtureOptions};

const PATH: &str = "/v1/completions";
const KEY: [(&str, &str); 1] = [("idempotency-key", "k")];

/// A gate that always returns the same outcome and records its calls.
struct FixedGate {
    outcome: ClaimOutcome,
    claims: Arc<Mutex<Vec<ClaimRequest>>>,
    ends: Arc<Mutex<Vec<ClaimEnd>>>,
}

#[async_trait::async_trait(?Send)]
impl ClaimGate for FixedGate {
    async fn claim(&self, claim: &ClaimRequest) -> ClaimOutcome {
        self.claims
            .lock()
            .expect("not poisoned")
            .push(claim.clone());
        self.outcome.clone()
    }

    fn finish(&self, _claim: &ClaimRequest, end: ClaimEnd) {
        self.ends.lock().expect("not poisoned").push(end);
    }
}

struct Recorded {
    claims: Arc<Mutex<Vec<ClaimRequest>>>,
    ends: Arc<Mutex<Vec<ClaimEnd>>>,
}

async fn fixture_with(outcome: ClaimOutcome) -> (Fixture, Recorded) {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    let claims = Arc::default();
    let ends = Arc::default();
    let gate = FixedGate {
        outcome,
        claims: Arc::clone(&claims),
        ends: Arc::clone(&ends),
    };
    fixture.shared.set_claim_gate(Box::new(gate));
    (fixture, Recorded { claims, ends })
}

fn stored_answer() -> KeptAnswer {
    KeptAnswer {
        text: "stored text".to_owned(),
        reason: FinishReason::Length,
        usage: Usage::default(),
    }
}

#[rstest]
#[case::in_progress(
    ClaimOutcome::InProgress { retry_after: Duration::from_millis(1_500) }, 409, "unknown", Some("2")
)]
#[case::ran_before(
    ClaimOutcome::Duplicate { first: RequestId(5), run_state: RunState::Unknown, answer: None },
    409, "unknown", None
)]
#[case::key_reused(ClaimOutcome::KeyReused, 422, "not-run", None)]
#[case::claims_unavailable(
    ClaimOutcome::Refused { reason: "no quorum".to_owned(), retry_after: Duration::from_secs(3) },
    503, "not-run", Some("3")
)]
#[actix_rt::test]
async fn nothing_is_dispatched_without_a_grant(
    #[case] outcome: ClaimOutcome,
    #[case] status: u16,
    #[case] run_state: &str,
    #[case] retry_after: Option<&str>,
) {
    let (fixture, _) = fixture_with(outcome).await;
    let reply = fixture
        .post(PATH, &json!({"model": "once", "prompt": "p"}), &KEY)
        .await;
    assert_eq!(reply.status, status, "{}", reply.text());
    assert_eq!(reply.header("x-dalestand-run-state"), Some(run_state));
    assert_eq!(reply.header("retry-after"), retry_after);
    assert_eq!(fixture.accepted().await, 0);
}

#[actix_rt::test]
async fn a_repeated_request_gets_the_first_answer() {
    let (fixture, _) = fixture_with(ClaimOutcome::Duplicate {
        first: RequestId(5),
        run_state: RunState::Complete,
        answer: Some(stored_answer()),
    })
    .await;
    for stream in [false, true] {
        let body = json!({"model": "once", "prompt": "p", "stream": stream});
        let reply = fixture.post(PATH, &body, &KEY).await;
        assert!(reply.text().contains("stored text"), "{}", reply.text());
    }
    assert_eq!(fixture.accepted().await, 0);
}

#[actix_rt::test]
async fn the_end_of_a_granted_request_is_reported() {
    let (fixture, recorded) = fixture_with(ClaimOutcome::Granted).await;
    let body = json!({"model": "once", "prompt": "p", "max_tokens": 3});
    let answer = fixture.post(PATH, &body, &KEY).await.json();
    let text = answer["choices"][0]["text"]
        .as_str()
        .expect("text")
        .to_owned();
    let faults = EngineFaults {
        break_after_accept: 1,
        ..EngineFaults::default()
    };
    fixture.set_faults(0, &faults).await;
    let second = [("idempotency-key", "other")];
    assert_eq!(fixture.post(PATH, &body, &second).await.status, 502);
    let ends = recorded.ends.lock().expect("not poisoned").clone();
    assert_eq!(ends.len(), 2);
    assert_eq!(ends[0].run_state, RunState::Complete);
    assert_eq!(
        ends[0].answer.as_ref().map(|stored| stored.text.clone()),
        Some(text)
    );
    assert_eq!(ends[1].run_state, RunState::Unknown);
    assert_eq!(ends[1].answer, None);
    // Requests that may be repeated are not claimed.
    let body = json!({"model": "m", "prompt": "p"});
    assert_eq!(fixture.post(PATH, &body, &KEY).await.status, 200);
    assert_eq!(recorded.claims.lock().expect("not poisoned").len(), 2);
}

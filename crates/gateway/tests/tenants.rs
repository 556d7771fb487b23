//! A tenant's requests are bounded by its tokens, and those of other tenants are not.

mod support;

use serde_json::{Value, json};
use support::{OTHER_KEY, Reply, SMALL_KEY, Stage, StageOptions};

const PATH: &str = "/v1/completions";

async fn complete(stage: &Stage, key: &str, body: &Value) -> Reply {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    stage.post(PATH, body, &headers).await
}

#[actix_rt::test]
async fn a_tenant_over_its_tokens_is_refused_at_once_and_the_others_are_not() {
    let stage = Stage::start(StageOptions::default()).await;
    // Two prompt tokens and twelve of output, out of twenty.
    let body = json!({"model": "m", "prompt": "two words", "max_tokens": 12});
    assert_eq!(complete(&stage, SMALL_KEY, &body).await.status, 200);
    let refused = complete(&stage, SMALL_KEY, &body).await;
    assert_eq!(refused.status, 429);
    assert_eq!(refused.json()["error"]["code"], "rate_limit_exceeded");
    assert_eq!(refused.header("x-dalestand-run-state"), Some("not-run"));
    let retry_after: u64 = refused
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .expect("when to come back");
    assert!((1..=9).contains(&retry_after), "{retry_after}");
    assert_eq!(stage.accepted().await, 1);
    assert_eq!(complete(&stage, OTHER_KEY, &body).await.status, 200);
}

#[actix_rt::test]
async fn tokens_that_a_request_did_not_use_are_given_back() {
    let stage = Stage::start(StageOptions::default()).await;
    // Each takes fourteen of twenty tokens and uses a few: its answer ends at the first space.
    let body = json!({"model": "m", "prompt": "two words", "max_tokens": 12, "stop": " "});
    for _ in 0..2 {
        assert_eq!(complete(&stage, SMALL_KEY, &body).await.status, 200);
    }
}

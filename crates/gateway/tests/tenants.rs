//! A tenant's token limit applies to its own requests and to no other tenant's.

mod support;

use serde_json::{Value, json};
use support::{Fixture, FixtureOptions, OTHER_KEY, Reply, SMALL_KEY};

const PATH: &str = "/v1/completions";

async fn complete(fixture: &Fixture, key: &str, body: &Value) -> Reply {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    fixture.post(PATH, body, &headers).await
}

#[actix_rt::test]
async fn a_tenant_over_its_token_limit_is_refused_and_others_are_not() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    // Reserves 2 prompt and 12 output tokens of the burst of 20.
    let body = json!({"model": "m", "prompt": "two words", "max_tokens": 12});
    assert_eq!(complete(&fixture, SMALL_KEY, &body).await.status, 200);
    let refused = complete(&fixture, SMALL_KEY, &body).await;
    assert_eq!(refused.status, 429);
    assert_eq!(refused.json()["error"]["code"], "rate_limit_exceeded");
    assert_eq!(refused.header("x-dalestand-run-state"), Some("not-run"));
    let retry_after: u64 = refused
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .expect("a retry time");
    assert!((1..=9).contains(&retry_after), "{retry_after}");
    assert_eq!(fixture.accepted().await, 1);
    assert_eq!(complete(&fixture, OTHER_KEY, &body).await.status, 200);
}

#[actix_rt::test]
async fn unused_tokens_are_returned() {
    let fixture = Fixture::start(FixtureOptions::default()).await;
    // Each reserves 14 of 20 tokens and uses a few, because its answer ends at the first space.
    let body = json!({"model": "m", "prompt": "two words", "max_tokens": 12, "stop": " "});
    for _ in 0..2 {
        assert_eq!(complete(&fixture, SMALL_KEY, &body).await.status, 200);
    }
}

//! A request counts as "not run" only if no byte of it was sent or the engine says so.

use dalestand_edge::{AttemptError, Engine as _, HttpEngine};
use dalestand_types::{AttemptId, GenerationRequest, ModelName, Priority, RequestId, Revision};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

fn request(once: bool) -> GenerationRequest {
    GenerationRequest {
        request: RequestId(1),
        attempt: AttemptId(2),
        model: ModelName::from("m"),
        adapter: None,
        tenant: None,
        prompt: "p".to_owned(),
        max_tokens: 1,
        resume_from: 0,
        priority: Priority(0),
        deadline_ms: None,
        revision: Revision(1),
        incarnation: None,
        once_key: once.then(|| "k".to_owned()),
        import_from: None,
        prefill_only: false,
    }
}

/// The error of a request to an engine that reads it, answers with these bytes and closes.
async fn error_after(answer: &'static [u8], once: bool) -> Option<AttemptError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let read = stream.read(&mut request).await.expect("a request");
        assert!(read > 0);
        stream.write_all(answer).await.expect("the answer is sent");
    });
    HttpEngine::new(address)
        .generate(&request(once))
        .await
        .err()
}

#[rstest]
#[case::closed_before_the_answer(b"")]
#[case::closed_within_the_head(b"HTTP/1.1 200 OK\r\ncontent-")]
#[case::not_http(b"hello\r\n\r\n")]
#[case::server_error(b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n")]
#[case::truncated_refusal(b"HTTP/1.1 429 Full\r\ncontent-length: 90\r\n\r\n{\"reason\":\"full\"")]
#[case::refusal_that_is_shorter_than_its_length(
    b"HTTP/1.1 429 Full\r\ncontent-length: 90\r\n\r\n{\"reason\":\"full\",\"retry_after_ms\":1}"
)]
#[case::truncated_rejection(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 90\r\n\r\nunknown")]
#[case::rejection_in_a_malformed_head(
    b"HTTP/1.1 400 Bad Request\r\nx-more : 1\r\ncontent-length: 0\r\n\r\n"
)]
#[case::rejection_without_a_status(b"HTTP/1.1 000 Bad Request\r\ncontent-length: 0\r\n\r\n")]
#[actix_rt::test]
async fn a_connection_closed_after_the_request_does_not_prove_not_run(
    #[case] answer: &'static [u8],
    #[values(false, true)] once: bool,
) {
    let error = error_after(answer, once).await.expect("an error");
    assert!(!error.proves_not_run(), "{error:?}");
}

#[actix_rt::test]
async fn a_refused_connection_proves_not_run() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = HttpEngine::new(address)
        .generate(&request(true))
        .await
        .err();
    assert!(error.expect("an error").proves_not_run());
}

//! External systems whose responses are broken: none may be taken for a whole one.

use std::net::SocketAddr;

use dalestand_edge::{Engine as _, HttpEngine, HttpMachineList, MachineList as _};
use dalestand_types::{AttemptId, GenerationRequest, ModelName, Priority, RequestId, Revision};
use futures_util::StreamExt as _;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const LIST: &str = "{\"machines\":[]}";

const FRAME: &str = "{\"frame\":\"token\",\"attempt\":\"2\",\"position\":0,\"text\":\"a\"}\n";

/// A system that reads one request on each connection, responds with these bytes and closes.
async fn responding(response: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            actix_rt::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    address
}

/// Guards against a response that is cut off or breaks the rules of HTTP, and is believed since its text can be parsed.
#[rstest]
#[case::cut_off("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n", "")]
#[case::cut_off_within_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5a\r\n", "")]
#[case::cut_off_before_the_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf\r\n",
    "\r\n"
)]
#[case::blank_after_a_name("HTTP/1.1 200 OK\r\nx-more : 1\r\ncontent-length: 15\r\n\r\n", "")]
#[case::identity_coding("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n", "")]
#[actix_rt::test]
async fn a_broken_response_is_no_response(#[case] head: &str, #[case] end: &str) {
    let address = responding(format!("{head}{LIST}{end}")).await;
    let machines = HttpMachineList::new(address).machines().await;
    assert!(machines.is_err(), "{machines:?}");
}

#[actix_rt::test]
async fn a_whole_response_is_read() {
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}",
        LIST.len()
    );
    let address = responding(response).await;
    let machines = HttpMachineList::new(address).machines().await;
    assert_eq!(machines.expect("a list"), []);
}

/// Guards against frames that end with the connection, and look like all that the engine sent.
#[actix_rt::test]
async fn frames_that_are_cut_off_end_with_an_error() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{FRAME}\r\n", FRAME.len());
    let address = responding(format!("{head}{chunk}{chunk}")).await;
    let request = GenerationRequest {
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
        once_key: None,
        import_from: None,
        prefill_only: false,
    };
    let frames = HttpEngine::new(address).generate(&request).await;
    let frames: Vec<_> = frames.expect("frames").collect().await;
    assert!(frames.last().expect("an item").is_err(), "{frames:?}");
}

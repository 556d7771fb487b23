//! Carried connections to engines that answer before they have read the whole of a request.

use std::io::{Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use dalestand_tunnel::{
    FrameDecoder, PROTOCOL_VERSION, TunnelPolicy, TunnelReply, TunnelRequest, Tunnels, open_tunnel,
    serve_tunnels,
};
use futures_util::future::LocalBoxFuture;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(5);

const ANSWER: &[u8] = b"a part of an answer";

/// Far longer than what the buffers of two connections hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// The system reports a reset to a read or to a write; both have to occur.
const TUNNELS: usize = 40;

/// Longest time without an acknowledgement on connections to engines.
const USER_TIMEOUT: Duration = Duration::from_millis(400);

/// Connects to one engine, whoever asks.
struct AnyNode {
    engine: SocketAddr,
    call_limit: Duration,
}

impl TunnelPolicy for AnyNode {
    fn connect(
        &self,
        _source: IpAddr,
        _request: TunnelRequest,
    ) -> LocalBoxFuture<'_, Result<TcpStream, TunnelReply>> {
        Box::pin(async {
            let connected = TcpStream::connect(self.engine).await;
            let stream = connected.map_err(|_| TunnelReply::EngineUnreachable)?;
            let socket = socket2::SockRef::from(&stream);
            let limited = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
            limited.expect("a limit");
            Ok(stream)
        })
    }

    fn call_limit(&self) -> Duration {
        self.call_limit
    }

    fn record_reply(&self, _reply: TunnelReply) {}
}

/// An engine that answers before it has read the whole of a request, and then resets the connection.
fn resetting_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let _ = stream.write_all(ANSWER);
            thread::sleep(Duration::from_millis(20));
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("linger");
        }
    });
    address
}

/// A node that carries connections to the engine at `engine`, for calls of at most `call_limit`; returns its address.
async fn carrier_to(engine: SocketAddr, call_limit: Duration) -> (SocketAddr, Tunnels) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tunnels, policy) = (Tunnels::default(), Rc::new(AnyNode { engine, call_limit }));
    actix_rt::spawn(serve_tunnels(listener, tunnels.clone(), policy));
    (address, tunnels)
}

/// Opens a tunnel.
async fn open(carrier: SocketAddr) -> TcpStream {
    let request = TunnelRequest {
        version: PROTOCOL_VERSION,
        node: "node-1".to_owned(),
        engine: "engine-1".to_owned(),
    };
    let opened = open_tunnel(carrier.ip(), carrier, &request, LIMIT).await;
    opened.expect("a tunnel")
}

/// Sends a long request through `carrier`; returns the bytes of the answer and whether the carrier marked the end of the
/// engine's connection.
async fn upload(carrier: SocketAddr) -> (BytesMut, bool) {
    let (mut reader, mut writer) = open(carrier).await.into_split();
    let upload = actix_rt::spawn(async move {
        let _ = writer.write_all(&vec![b'~'; UPLOAD_BYTES]).await;
        // Keeps the connection open until the answer has been read.
        std::future::pending::<()>().await;
    });
    let (mut frames, mut answer) = (FrameDecoder::default(), BytesMut::new());
    while let Ok(length) = reader.read_buf(frames.buffer()).await {
        frames.decode(&mut answer).expect("frames");
        if length == 0 || frames.has_ended() {
            break;
        }
    }
    upload.abort();
    (answer, frames.has_ended())
}

/// Guards against a carrying node that marks the end of an engine's connection that was reset, as the write of a request met the
/// reset first, so that a part of an answer without a length passes for the whole.
#[actix_rt::test]
async fn a_reset_is_not_carried_as_the_end_of_the_engines_connection() {
    let (carrier, _) = carrier_to(resetting_engine(), LIMIT).await;
    let mut whole = 0;
    for _ in 0..TUNNELS {
        let (answer, has_ended) = upload(carrier).await;
        assert!(!has_ended, "{answer:?}");
        whole += usize::from(answer == ANSWER);
    }
    println!("{whole} of {TUNNELS} carried what the engine had sent");
}

/// An engine that sends a part of its answer at once, and reads on and sends the rest after several times the longest time
/// without an acknowledgement.
fn late_reading_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            stream.write_all(ANSWER).expect("written");
            thread::sleep(USER_TIMEOUT * 4);
            let mut upload = vec![0; UPLOAD_BYTES];
            stream.read_exact(&mut upload).expect("the whole upload");
            stream.write_all(ANSWER).expect("written");
        }
    });
    address
}

/// Guards against a carried connection that is given up although its engine acknowledges all that it has room for.
#[actix_rt::test]
async fn an_engine_that_reads_late_keeps_its_carried_connection() {
    let (carrier, _) = carrier_to(late_reading_engine(), LIMIT).await;
    let (answer, has_ended) = upload(carrier).await;
    assert_eq!((answer, has_ended), (ANSWER.repeat(2)[..].into(), true));
}

/// Sends a long request through `carrier` to an engine that does not read, until the buffers are full.
async fn upload_in_vain(carrier: SocketAddr) -> TcpStream {
    let mut stream = open(carrier).await;
    let body = vec![b'~'; UPLOAD_BYTES];
    let written = timeout(USER_TIMEOUT, stream.write_all(&body)).await;
    assert!(written.is_err(), "the engine does not read");
    stream
}

/// Guards against tunnels that remain while their engine does not read, as the carrying node does not read either.
#[rstest]
#[case::the_node_leaves(LIMIT * 10, true)]
#[case::no_call_lasts_longer(USER_TIMEOUT, false)]
#[actix_rt::test]
async fn a_tunnel_ends_while_its_engine_does_not_read(
    #[case] call_limit: Duration,
    #[case] leaves: bool,
) {
    let engine = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = engine.local_addr().expect("an address");
    let (carrier, tunnels) = carrier_to(address, call_limit).await;
    let stream = upload_in_vain(carrier).await;
    let stays = (!leaves).then_some(stream);
    let ended = timeout(LIMIT, tunnels.ended()).await;
    assert!(ended.is_ok(), "{} tunnels remain", tunnels.open());
    drop(stays);
}

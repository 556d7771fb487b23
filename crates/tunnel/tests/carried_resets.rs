//! Connections to engines that are reset while a node carries them.

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
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(5);

const ANSWER: &[u8] = b"a part of an answer";

/// Far longer than what the buffers of two connections hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// The system reports a reset to a read or to a write; both have to occur.
const TUNNELS: usize = 40;

/// Connects to one engine, whoever asks.
struct AnyNode(SocketAddr);

impl TunnelPolicy for AnyNode {
    fn connect(
        &self,
        _source: IpAddr,
        _request: TunnelRequest,
    ) -> LocalBoxFuture<'_, Result<TcpStream, TunnelReply>> {
        Box::pin(async {
            let connected = TcpStream::connect(self.0).await;
            connected.map_err(|_| TunnelReply::EngineUnreachable)
        })
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

/// Guards against a carrying node that marks the end of an engine's connection that was reset, as the write of a request met the
/// reset first, so that a part of an answer without a length passes for the whole.
#[actix_rt::test]
async fn a_reset_is_not_carried_as_the_end_of_the_engines_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let carrier = listener.local_addr().expect("an address");
    let policy = Rc::new(AnyNode(resetting_engine()));
    actix_rt::spawn(serve_tunnels(listener, Tunnels::default(), policy));
    let request = TunnelRequest {
        version: PROTOCOL_VERSION,
        node: "node-1".to_owned(),
        engine: "engine-1".to_owned(),
    };
    let mut whole = 0;
    for _ in 0..TUNNELS {
        let opened = open_tunnel(carrier.ip(), carrier, &request, LIMIT).await;
        let (mut reader, mut writer) = opened.expect("a tunnel").into_split();
        let upload = actix_rt::spawn(async move {
            let _ = writer.write_all(&vec![b'~'; UPLOAD_BYTES]).await;
        });
        let (mut frames, mut answer) = (FrameDecoder::default(), BytesMut::new());
        while let Ok(length) = reader.read_buf(frames.buffer()).await {
            frames.decode(&mut answer).expect("frames");
            if length == 0 {
                break;
            }
        }
        assert!(!frames.has_ended(), "{answer:?}");
        whole += usize::from(answer == ANSWER);
        upload.abort();
    }
    println!("{whole} of {TUNNELS} carried what the engine had sent");
}

//! Connections that are opened directly or through another node.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_engine_link::{
    Body, Detour, DetourError, EngineLink, LinkLimits, LinkObservation, LinkPaths, LinkTarget,
    RequestHead, SendError,
};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use rstest::rstest;
use tokio::net::TcpStream;

/// What other nodes answer.
#[derive(Clone, Copy, Debug)]
enum Peers {
    /// They open a connection.
    Open,
    /// They do not.
    Fail(DetourError),
}

struct StubPaths {
    peers: Peers,
    prefers_detour: bool,
    confirms: bool,
    asked: Cell<usize>,
    failed_opens: RefCell<usize>,
    /// Connections that broke, and bytes that were received.
    broken: Cell<usize>,
    received: Cell<usize>,
}

impl LinkPaths for StubPaths {
    fn trusts_kept(&self) -> bool {
        !self.prefers_detour
    }

    fn prefers_detour(&self) -> bool {
        self.prefers_detour
    }

    fn open_detour(&self, _: &LinkTarget) -> LocalBoxFuture<'static, Result<Detour, DetourError>> {
        self.asked.set(self.asked.get() + 1);
        let peers = self.peers;
        async move {
            match peers {
                Peers::Open => {
                    // The handshake is over; nothing is sent in these tests.
                    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                    let carrier = listener.local_addr().expect("an address");
                    let stream = TcpStream::connect(carrier).await;
                    Ok(Detour {
                        stream: stream.expect("a connection"),
                        carrier,
                    })
                }
                Peers::Fail(failure) => Err(failure),
            }
        }
        .boxed_local()
    }

    fn confirms_refusal(&self, _: &LinkTarget) -> LocalBoxFuture<'static, bool> {
        let confirms = self.confirms;
        async move { confirms }.boxed_local()
    }

    fn observe(&self, observation: LinkObservation<'_>) {
        match observation {
            LinkObservation::OpenFailed(_) => *self.failed_opens.borrow_mut() += 1,
            LinkObservation::NewBroke(_)
            | LinkObservation::KeptBroke(_)
            | LinkObservation::DetourBroke(_) => self.broken.set(self.broken.get() + 1),
            LinkObservation::Received { .. } => self.received.set(self.received.get() + 1),
            LinkObservation::CallStarted | LinkObservation::CallEnded => {}
        }
    }
}

fn link(peers: Peers, prefers_detour: bool, confirms: bool) -> (EngineLink, Rc<StubPaths>) {
    let paths = Rc::new(StubPaths {
        peers,
        prefers_detour,
        confirms,
        asked: Cell::default(),
        failed_opens: RefCell::default(),
        broken: Cell::default(),
        received: Cell::default(),
    });
    let link = EngineLink::new(LinkLimits::default());
    link.set_paths(Rc::clone(&paths) as Rc<dyn LinkPaths>);
    (link, paths)
}

fn target(address: SocketAddr) -> LinkTarget {
    LinkTarget {
        address,
        run: "engine".into(),
    }
}

/// An address where nothing listens.
fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Guards against a refused connection that passed for its engine's end at a node whose links refuse all: it counted
/// crashes that no engine had, for all nodes.
#[rstest]
#[case::another_node_finds_the_same(Peers::Fail(DetourError::NoListener), false, true)]
#[case::no_other_node_can_tell(Peers::Fail(DetourError::Unavailable), false, false)]
#[case::no_other_node_and_other_engines_answer(Peers::Fail(DetourError::NoPeers), true, true)]
#[case::no_other_node_and_no_engine_answers(Peers::Fail(DetourError::NoPeers), false, false)]
#[actix_rt::test]
async fn a_refused_connection_proves_an_end_only_if_it_is_confirmed(
    #[case] peers: Peers,
    #[case] confirms: bool,
    #[case] is_proof: bool,
    #[values(false, true)] prefers_detour: bool,
) {
    let (link, _) = link(peers, prefers_detour, confirms);
    let opened = link.open(&target(refusing_address()), 1).await;
    let is_reported = matches!(opened, Err(SendError::NoListener(_)));
    assert_eq!(is_reported, is_proof, "{opened:?}");
    assert!(opened.is_err_and(|error| error.is_not_sent()));
}

#[actix_rt::test]
async fn where_no_other_node_can_tell_other_engines_that_answer_confirm_it() {
    let (link, _) = link(Peers::Fail(DetourError::Unavailable), false, true);
    let opened = link.open(&target(refusing_address()), 1).await;
    assert!(
        matches!(opened, Err(SendError::NoListener(_))),
        "{opened:?}"
    );
}

#[actix_rt::test]
async fn a_refused_connection_is_opened_through_another_node_and_is_evidence_of_a_cut() {
    let (link, paths) = link(Peers::Open, false, false);
    let target = target(refusing_address());
    link.open(&target, 1).await.expect("a connection");
    assert_eq!((paths.asked.get(), *paths.failed_opens.borrow()), (1, 1));
}

#[actix_rt::test]
async fn other_nodes_are_not_asked_while_direct_connections_open() {
    let (link, paths) = link(Peers::Open, false, false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target(listener.local_addr().expect("an address"));
    link.open(&target, 1).await.expect("a connection");
    assert_eq!(paths.asked.get(), 0);
}

/// Guards against callers that waited for a whole connect timeout before another node was asked.
#[actix_rt::test]
async fn a_connection_that_hangs_is_opened_through_another_node_soon() {
    // A listener with a full backlog drops further attempts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("listening");
    let address = socket.local_addr().expect("an address").as_socket();
    let address = address.expect("an address");
    let _filler = std::net::TcpStream::connect(address).expect("a connection");
    let (link, paths) = link(Peers::Open, false, false);
    let started = Instant::now();
    link.open(&target(address), 1).await.expect("a connection");
    assert!(
        started.elapsed() < Duration::from_millis(300),
        "{started:?}"
    );
    assert_eq!((paths.asked.get(), *paths.failed_opens.borrow()), (1, 1));
}

/// Guards against a node that takes itself to be cut off from engines since they send what is not a response: bytes that arrive
/// show that the link works.
#[rstest]
#[case::no_field("HTTP/1.1 200 OK\r\nno field\r\n\r\n")]
#[case::no_status("HTTP/1.1 000 OK\r\n\r\n")]
#[case::cut_off("HTTP/1.1 200 OK\r\ncontent-le")]
#[actix_rt::test]
async fn a_malformed_response_is_no_evidence_of_a_cut(#[case] response: &'static str) {
    let (link, paths) = link(Peers::Open, false, false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target(listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = std::io::Read::read(&mut stream, &mut [0; 1_024]);
        let written = std::io::Write::write_all(&mut stream, response.as_bytes());
        written.expect("written");
    });
    let head = RequestHead::default();
    let sent = link.send(&target, 1, head, &Body::default()).await;
    let error = sent.err().expect("no response");
    assert!(matches!(error, SendError::Malformed(_)), "{error}");
    assert_eq!((paths.broken.get(), paths.received.get()), (0, 1));
}

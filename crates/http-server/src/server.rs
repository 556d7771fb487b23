//! Accept loop on the current arbiter.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, ready};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody as _};
use actix_http::{ConnectionType, Extensions, HttpService, Payload, Request, StatusCode};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use actix_service::{IntoServiceFactory as _, Service, ServiceFactory as _, fn_service};
use dalestand_request_bodies::{Displaced, MemoryAccount};
use futures_util::FutureExt as _;
use futures_util::future::poll_immediate;
use tokio::net::TcpListener;

use crate::answer_body::AnswerBody;
use crate::body::declared_length;
use crate::intake::{Intake, LINGER_TIMEOUT, displaced};
use crate::open_connections::OpenConnections;
use crate::shared_stream::SharedStream;
use crate::{Answer, Connections, Expectation, status_answer};

/// Delay before a retry after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An ending accept loop closes its socket once no connection has arrived for this long.
const BACKLOG_QUIET_TIME: Duration = Duration::from_millis(20);

/// Maximum time for which an ending accept loop waits for connections.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Data attached to a connection when it is opened.
pub(crate) struct ConnectionData {
    over_limit: bool,
    /// How much of it is read.
    pub(crate) intake: Intake,
    /// The memory of bodies.
    pub(crate) bodies: MemoryAccount,
    /// Whether an answer on it has said that it closes.
    closes: Rc<Cell<bool>>,
}

/// Whether the request arrived on a connection above the server's limit and must be refused.
pub fn is_over_limit(request: &Request) -> bool {
    let data = request.conn_data::<ConnectionData>();
    data.is_some_and(|data| data.over_limit)
}

/// Limits of one server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Number of connections above that which are still accepted: their requests are marked, see [`is_over_limit`], so that
    /// they can be refused with an answer. Further connections are closed immediately, with what was sent on them unread.
    pub max_excess_connections: usize,
    /// Number of connections above [`max_connections`](Self::max_connections) while those are ending that gave way to new ones.
    pub max_ending_connections: usize,
    /// Maximum size of the head of a request, in bytes. May change while the server runs.
    pub max_head_bytes: Rc<Cell<usize>>,
    /// The memory for request bodies. Servers of one thread may share it.
    pub bodies: MemoryAccount,
    /// Which requests with `Expect: 100-continue` are refused before their bodies are sent.
    pub expectation: Expectation,
    /// Time limit for receiving the head of a request.
    pub head_timeout: Duration,
    /// How long an idle connection is kept open.
    pub keep_alive: Duration,
}

/// Maximum size of a head, where nothing else is set.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Memory for the bodies of a server's requests, where nothing else is set.
const DEFAULT_BODY_MEMORY_BYTES: usize = 64 << 20;

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 16_384,
            max_excess_connections: 256,
            max_ending_connections: 0,
            max_head_bytes: Rc::new(Cell::new(DEFAULT_MAX_HEAD_BYTES)),
            expectation: Expectation::default(),
            bodies: MemoryAccount::new(DEFAULT_BODY_MEMORY_BYTES),
            head_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(75),
        }
    }
}

/// Serves `handler` on `listener` until the returned future is dropped or
/// [`Connections::stop_accepting`] is called.
///
/// Connections run as local tasks of the current arbiter and outlive the accept loop, so that
/// dropping it does not abort requests in flight.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    connections: Connections,
    handler: H,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    let service = fn_service(move |mut request: Request| {
        let handler = Rc::clone(&handler);
        let data = request.conn_data::<ConnectionData>();
        let closes = data.map(|data| Rc::clone(&data.closes)).unwrap_or_default();
        let intake = data.map(|data| data.intake.clone());
        if let Some(intake) = &intake {
            begin_request(intake, &mut request);
        }
        // Boxed, as the futures around it would reserve its size several times in each connection, even in idle ones.
        let answer = Box::pin(async move { handler(request).await });
        async move {
            // The caller ignores what follows such an answer (RFC 9112, 9.6).
            if closes.get() {
                return Ok::<Answer, Infallible>(status_answer(StatusCode::SERVICE_UNAVAILABLE));
            }
            let answer = answer_despite_panic(answer).await;
            let answer = match intake {
                Some(intake) => end_request(intake, answer),
                None => answer,
            };
            closes.set(answer.head().connection_type() == ConnectionType::Close);
            Ok(answer)
        }
    });
    let open_connections = connections.clone();
    let expectation = limits.expectation.clone();
    let (bodies, max_connections) = (limits.bodies.clone(), limits.max_connections);
    let draining = connections.clone();
    // The socket of the connection that is being opened, for the signal that is created for it next.
    let opened: Rc<RefCell<Option<SharedStream>>> = Rc::default();
    let opening = Rc::clone(&opened);
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .keep_alive(limits.keep_alive)
        .client_disconnect_timeout(LINGER_TIMEOUT)
        // A peer that closes its sending side is treated as disconnected: its request is dropped,
        // which cancels the work for it.
        .h1_allow_half_closed(false)
        .on_connect_ext(move |stream: &SharedStream, data: &mut Extensions| {
            opening.replace(Some(stream.clone()));
            data.insert(ConnectionData {
                over_limit: open_connections.open() > max_connections,
                intake: stream.intake().clone(),
                bodies: bodies.clone(),
                closes: Rc::default(),
            });
        })
        .graceful_shutdown_signal(move || {
            let (draining, stream) = (draining.clone(), opened.take());
            async move {
                let intake = stream.as_ref().map(|stream| stream.intake().clone());
                tokio::select! {
                    () = draining.draining(stream) => {}
                    Displaced = displaced(intake.as_ref()) => {}
                }
            }
        })
        .expect(fn_service(move |request: Request| {
            ready(check_expectation(&expectation, request))
        }))
        .h1(service.into_factory());
    let Ok(connection_service) = factory.new_service(()).await else {
        return;
    };
    let connection_service = Rc::new(connection_service);
    let open = OpenConnections::default();
    let accept = |stream: TcpStream| {
        if !make_room(&open, &connections, &limits) {
            connections.record_refused();
            return;
        }
        // Disable Nagle's algorithm: small writes must not wait for earlier acknowledgements.
        let _ = stream.set_nodelay(true);
        let peer = stream.peer_addr().ok();
        let guard = connections.enter();
        let connection_service = Rc::clone(&connection_service);
        let intake = Intake::new(Rc::clone(&limits.max_head_bytes));
        let entry = open.add(intake.clone());
        actix_rt::spawn(async move {
            let (_guard, _entry) = (guard, entry);
            let stream = SharedStream::new(stream, intake);
            serve_connection(&*connection_service, stream, peer).await;
        });
    };
    let _listening = connections.listen();
    let mut closing = pin!(connections.closing());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, _peer)) => accept(stream),
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drain_backlog(&listener, accept).await;
    drop(listener);
}

/// Whether a new connection is accepted. At the limit, another one is ended for it; those that are ending may be above the limit.
fn make_room(open: &OpenConnections, connections: &Connections, limits: &ServerLimits) -> bool {
    let excess = (connections.open() + 1).saturating_sub(limits.max_connections);
    if excess > 0 && excess <= limits.max_ending_connections && open.displace_one() {
        connections.record_displaced();
        return true;
    }
    excess <= limits.max_excess_connections
}

/// The answer of a handler, or an error answer if it panics, as unwinding further would end the connection without an answer.
async fn answer_despite_panic(answer: impl Future<Output = Answer>) -> Answer {
    // State that handlers share is behind cells, whose borrows end with the unwinding.
    let answered = AssertUnwindSafe(answer).catch_unwind().await;
    // The panic hook has reported the panic.
    answered.unwrap_or_else(|_| status_answer(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Accepts the connections in the backlog of a socket that is about to be closed.
async fn drain_backlog(listener: &TcpListener, accept: impl Fn(TcpStream)) {
    let started = Instant::now();
    while started.elapsed() < BACKLOG_DRAIN_TIMEOUT {
        match timeout(BACKLOG_QUIET_TIME, listener.accept()).await {
            Ok(Ok((stream, _peer))) => accept(stream),
            Ok(Err(_)) | Err(_) => return,
        }
    }
    // Connections still arrive; accept those that are in the backlog now.
    while let Some(Ok((stream, _peer))) = poll_immediate(listener.accept()).await {
        accept(stream);
    }
}

async fn serve_connection<S>(service: &S, stream: SharedStream, peer: Option<SocketAddr>)
where
    S: Service<(SharedStream, Option<SocketAddr>)>,
{
    // A connection error affects only its peer; requests on it report their own outcome.
    let _ = service.call((stream, peer)).await;
}

/// Refuses a request whose body is not to be sent. The caller may send it all the same.
fn check_expectation(expectation: &Expectation, request: Request) -> Result<Request, Answer> {
    let checked = expectation.check(&request);
    if checked.is_err()
        && let Some(data) = request.conn_data::<ConnectionData>()
    {
        data.intake.discard();
    }
    checked.map(|()| request)
}

/// Reads no more of a connection than the request's handler takes.
fn begin_request(intake: &Intake, request: &mut Request) {
    let has_body = !matches!(request.payload(), Payload::None);
    if !has_body || declared_length(request) == Some(0) {
        intake.read_ahead();
    } else {
        intake.read_body();
    }
}

/// Reads the next request after the answer. If the body of this one was not read to its end, the rest is discarded, and the
/// connection is closed.
fn end_request(intake: Intake, mut answer: Answer) -> Answer {
    if !intake.is_received() {
        intake.discard();
        answer.head_mut().set_connection_type(ConnectionType::Close);
        return answer;
    }
    if matches!(answer.body().size(), BodySize::None | BodySize::Sized(0)) {
        intake.read_head();
        return answer;
    }
    answer.map_body(|_, body| BoxBody::new(AnswerBody { body, intake }))
}

//! Accept loop on the current arbiter.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Extensions, HttpService, Request};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use actix_service::{IntoServiceFactory as _, ServiceFactory as _, fn_service};
use futures_util::future::poll_immediate;
use tokio::net::TcpListener;

use crate::{Answer, Connections};

/// Pause after a failed accept (such as too many open files), so that it is not retried at once.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// An accept loop that is to end closes its socket after no connection came for this long.
const TAKE_WAITING_QUIET: Duration = Duration::from_millis(20);

/// Longest time in which such a loop takes connections in.
const TAKE_WAITING_LIMIT: Duration = Duration::from_millis(200);

/// Connections above the limit that are still served, so that their requests can be refused with
/// an answer.
const REFUSED_CONNECTIONS: usize = 256;

/// What is known of a connection when it is opened.
struct ConnectionPlace {
    over_limit: bool,
}

/// Whether the request came on a connection above the server's limit and is to be refused.
pub fn is_over_limit(request: &Request) -> bool {
    let place = request.conn_data::<ConnectionPlace>();
    place.is_some_and(|place| place.over_limit)
}

/// Limits of one server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Most connections at once. Requests on some more are marked, see [`is_over_limit`]; beyond
    /// those, connections are closed at once.
    pub max_connections: usize,
    /// Time a caller has to send a request's head.
    pub head_timeout: Duration,
    /// Time an idle connection is kept.
    pub keep_alive: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 16_384,
            head_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(75),
        }
    }
}

/// Serves `handler` on `listener` until the returned future is dropped or accepting is stopped; see
/// [`Connections::stop_accepting`].
///
/// Connections run as local tasks of the current arbiter and outlive the accept loop, so that
/// dropping it takes no request in flight with it.
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
    let service = fn_service(move |request: Request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<Answer, Infallible>(handler(request).await) }
    });
    let counted = connections.clone();
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .keep_alive(limits.keep_alive)
        // A peer that closes its side has gone away: its request is dropped at once, which cancels
        // the work behind it.
        .h1_allow_half_closed(false)
        .on_connect_ext(move |_: &TcpStream, data: &mut Extensions| {
            data.insert(ConnectionPlace {
                over_limit: counted.open() > limits.max_connections,
            });
        })
        .graceful_shutdown_signal(connections.drain_signal())
        .h1(service.into_factory())
        .tcp();
    let Ok(connection_service) = factory.new_service(()).await else {
        return;
    };
    let connection_service = Rc::new(connection_service);
    let accept = |stream: TcpStream| {
        if connections.open() >= limits.max_connections + REFUSED_CONNECTIONS {
            return;
        }
        let guard = connections.enter();
        let connection_service = Rc::clone(&connection_service);
        actix_rt::spawn(async move {
            let _guard = guard;
            serve_connection(&*connection_service, stream).await;
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
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
    take_waiting(&listener, accept).await;
    drop(listener);
}

/// Takes in the connections that wait at a socket which is about to be closed.
async fn take_waiting(listener: &TcpListener, accept: impl Fn(TcpStream)) {
    let started = Instant::now();
    while started.elapsed() < TAKE_WAITING_LIMIT {
        match timeout(TAKE_WAITING_QUIET, listener.accept()).await {
            Ok(Ok((stream, _peer))) => accept(stream),
            Ok(Err(_)) | Err(_) => return,
        }
    }
    // Callers keep coming: take in what waits at this moment.
    while let Some(Ok((stream, _peer))) = poll_immediate(listener.accept()).await {
        accept(stream);
    }
}

async fn serve_connection<S>(service: &S, stream: TcpStream)
where
    S: actix_service::Service<TcpStream>,
{
    // Small frames must not wait for acknowledgements of earlier ones.
    let _ = stream.set_nodelay(true);
    // A failed connection concerns its peer only; requests on it report their own outcome.
    let _ = service.call(stream).await;
}

//! Paths by which connections to engines are opened: directly, or through another node.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;

use crate::link::LinkTarget;

/// How a connection reaches its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// By this machine's own links.
    #[default]
    Direct,
    /// Through the node at this address.
    Detour(std::net::SocketAddr),
}

impl Path {
    pub(crate) fn is_direct(self) -> bool {
        self == Self::Direct
    }
}

/// The paths that a call may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AllowedPaths {
    /// The direct one, or through another node.
    #[default]
    Any,
    /// The direct one only.
    DirectOnly,
}

/// Why no connection was opened through another node. Nothing was sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetourError {
    /// Nothing listens at the engine's address, as a node found that reaches other engines.
    NoListener,
    /// No other node is known.
    NoPeers,
    /// No other node could open a connection.
    Unavailable,
}

/// A connection that another node carries.
pub struct Detour {
    /// Connection to the carrying node, after the handshake.
    pub stream: TcpStream,
    /// Its address.
    pub carrier: std::net::SocketAddr,
}

/// An observation of the direct links to engines.
#[derive(Clone, Copy, Debug)]
pub enum LinkObservation<'a> {
    /// A call was sent.
    CallStarted,
    /// A call has ended.
    CallEnded,
    /// Bytes were received on a connection of this age.
    Received {
        /// Time since the connection was opened.
        connection_age: Duration,
    },
    /// No connection could be opened although another node opened one.
    OpenFailed(&'a LinkTarget),
    /// A new connection broke before its first byte, as when its engine crashes.
    NewBroke(&'a LinkTarget),
    /// A connection that had carried bytes before broke, or a call on it got no answer.
    KeptBroke(&'a LinkTarget),
    /// A connection through the node at this address broke before the head of a response.
    DetourBroke(std::net::SocketAddr),
}

/// Decides by which path connections are opened. Observes the direct ones.
pub trait LinkPaths {
    /// Whether idle direct connections may be used.
    fn trusts_kept(&self) -> bool;

    /// Whether new connections are to be opened through other nodes first.
    fn prefers_detour(&self) -> bool;

    /// Opens a connection through another node.
    fn open_detour(
        &self,
        target: &LinkTarget,
    ) -> LocalBoxFuture<'static, Result<Detour, DetourError>>;

    /// Whether a refused connection shows that the engine has ended, where no other node could tell.
    fn confirms_refusal(&self, target: &LinkTarget) -> LocalBoxFuture<'static, bool>;

    /// Records an observation.
    fn observe(&self, observation: LinkObservation<'_>);
}

/// A call on a direct connection, until dropped.
pub(crate) struct DirectCall {
    paths: Rc<dyn LinkPaths>,
    target: LinkTarget,
    started_at: BootInstant,
    opened_at: BootInstant,
    is_kept: bool,
    has_received: bool,
}

/// A call that ends without a byte after this time counts against its connection: a shorter one may have been cancelled.
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(300);

impl DirectCall {
    pub(crate) fn new(
        paths: &Rc<dyn LinkPaths>,
        target: &LinkTarget,
        opened_at: BootInstant,
        is_kept: bool,
    ) -> Self {
        paths.observe(LinkObservation::CallStarted);
        Self {
            paths: Rc::clone(paths),
            target: target.clone(),
            started_at: BootInstant::now(),
            opened_at,
            is_kept,
            has_received: false,
        }
    }

    pub(crate) fn record_bytes(&mut self) {
        self.has_received = true;
        let connection_age = self.opened_at.elapsed();
        self.paths
            .observe(LinkObservation::Received { connection_age });
    }

    /// Records that the connection broke.
    pub(crate) fn record_broken(&mut self) {
        let observation = if self.is_kept || self.has_received {
            LinkObservation::KeptBroke(&self.target)
        } else {
            LinkObservation::NewBroke(&self.target)
        };
        self.paths.observe(observation);
    }
}

impl Drop for DirectCall {
    fn drop(&mut self) {
        if !self.has_received && self.started_at.elapsed() >= MIN_UNANSWERED_TIME {
            self.paths.observe(LinkObservation::KeptBroke(&self.target));
        }
        self.paths.observe(LinkObservation::CallEnded);
    }
}

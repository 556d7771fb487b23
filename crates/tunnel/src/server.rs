//! Carries tunnels for other nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::frames::{HEADER_BYTES, MAX_FRAME_BYTES};
use crate::protocol::{PROTOCOL_VERSION, TunnelReply, TunnelRequest, read_message, write_message};

/// Tunnels carried at once, for all nodes together. Each takes two descriptors and up to 64 KiB.
const MAX_TUNNELS: usize = 512;

/// Tunnels carried at once for one node.
const MAX_TUNNELS_PER_NODE: usize = 192;

/// Connections whose request has not arrived yet; more are closed.
const MAX_HANDSHAKES: usize = 64;

/// Time limit for the arrival of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a retry after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes for which an engine has room though it does not read: far fewer than the usual buffers.
const MAX_UNREAD_BYTES: usize = 16 * 1024;

/// How often [`Tunnels::ended`] looks.
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Decides on tunnels.
pub trait TunnelPolicy {
    /// Opens the connection to the engine, or says why not. `source` is the address of the asking node. A TCP user timeout
    /// of the connection is removed while an engine that reads late may have no room.
    fn connect(
        &self,
        source: IpAddr,
        request: TunnelRequest,
    ) -> LocalBoxFuture<'_, Result<TcpStream, TunnelReply>>;

    /// Longest time that a call may take, and so an engine may leave one unread.
    fn call_limit(&self) -> Duration;

    /// Records the answer to a request.
    fn record_reply(&self, reply: TunnelReply);
}

/// Totals of carried tunnels since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TunnelCounts {
    /// Bytes copied to engines.
    pub bytes_to_engines: u64,
    /// Bytes copied from engines.
    pub bytes_from_engines: u64,
}

/// The tunnels that this node carries. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Tunnels(Rc<TunnelState>);

#[derive(Debug, Default)]
struct TunnelState {
    by_node: RefCell<HashMap<String, usize>>,
    handshakes: Cell<usize>,
    counts: Cell<TunnelCounts>,
}

/// Counts a tunnel of a node until dropped.
struct TunnelSlot {
    tunnels: Tunnels,
    node: String,
}

impl Tunnels {
    /// Number of tunnels carried now.
    pub fn open(&self) -> usize {
        self.0.by_node.borrow().values().sum()
    }

    /// Totals since the start.
    pub fn counts(&self) -> TunnelCounts {
        self.0.counts.get()
    }

    /// Returns when no tunnel is carried.
    pub async fn ended(&self) {
        while self.open() > 0 {
            actix_rt::time::sleep(END_POLL_INTERVAL).await;
        }
    }

    fn reserve(&self, node: &str) -> Option<TunnelSlot> {
        let open = self.open();
        let mut by_node = self.0.by_node.borrow_mut();
        let of_node = by_node.entry(node.to_owned()).or_default();
        if open >= MAX_TUNNELS || *of_node >= MAX_TUNNELS_PER_NODE {
            return None;
        }
        *of_node += 1;
        Some(TunnelSlot {
            tunnels: self.clone(),
            node: node.to_owned(),
        })
    }

    fn count(&self, change: impl FnOnce(&mut TunnelCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }
}

impl Drop for TunnelSlot {
    fn drop(&mut self) {
        let mut by_node = self.tunnels.0.by_node.borrow_mut();
        if let Some(of_node) = by_node.get_mut(&self.node) {
            *of_node -= 1;
            if *of_node == 0 {
                by_node.remove(&self.node);
            }
        }
    }
}

/// Carries tunnels until dropped.
pub async fn serve_tunnels(listener: TcpListener, tunnels: Tunnels, policy: Rc<dyn TunnelPolicy>) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                let handshakes = &tunnels.0.handshakes;
                if handshakes.get() >= MAX_HANDSHAKES {
                    policy.record_reply(TunnelReply::Busy);
                    continue;
                }
                handshakes.set(handshakes.get() + 1);
                let (tunnels, policy) = (tunnels.clone(), Rc::clone(&policy));
                actix_rt::spawn(async move {
                    let opened = handshake(stream, source.ip(), &tunnels, &*policy).await;
                    let handshakes = &tunnels.0.handshakes;
                    handshakes.set(handshakes.get() - 1);
                    if let Ok(Some(tunnel)) = opened {
                        tunnel.carry().await;
                    }
                });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Two connections between which bytes are copied.
struct Tunnel {
    node: TcpStream,
    engine: TcpStream,
    slot: TunnelSlot,
    call_limit: Duration,
}

async fn handshake(
    mut node: TcpStream,
    source: IpAddr,
    tunnels: &Tunnels,
    policy: &dyn TunnelPolicy,
) -> io::Result<Option<Tunnel>> {
    node.set_nodelay(true)?;
    let request = timeout(REQUEST_TIMEOUT, read_message::<TunnelRequest>(&mut node)).await;
    let opened = match request {
        Ok(Ok(request)) if request.version == PROTOCOL_VERSION => {
            match tunnels.reserve(&request.node) {
                Some(slot) => {
                    let connected = policy.connect(source, request).await;
                    connected.map(|engine| (engine, slot))
                }
                None => Err(TunnelReply::Busy),
            }
        }
        _ => Err(TunnelReply::Malformed),
    };
    let reply = match &opened {
        Ok(_) => TunnelReply::Opened,
        Err(reply) => *reply,
    };
    policy.record_reply(reply);
    write_message(&mut node, &reply).await?;
    Ok(opened.ok().map(|(engine, slot)| Tunnel {
        node,
        engine,
        slot,
        call_limit: policy.call_limit(),
    }))
}

impl Tunnel {
    /// Copies bytes until one side ends. The other side's connection is closed with it: an engine is to cancel what its caller
    /// has left.
    async fn carry(self) {
        let Self {
            mut node,
            mut engine,
            slot,
            call_limit,
        } = self;
        let (mut from_node, mut to_node) = node.split();
        let (mut from_engine, mut to_engine) = engine.split();
        let unanswered_bytes = Cell::new(0);
        let to_engine = async {
            let mut buffer = vec![0; MAX_FRAME_BYTES];
            let mut is_limited = true;
            loop {
                let length = from_node.read(&mut buffer).await?;
                if length == 0 {
                    return Ok::<(), io::Error>(());
                }
                unanswered_bytes.set(unanswered_bytes.get() + length);
                if is_limited && unanswered_bytes.get() > MAX_UNREAD_BYTES {
                    allow_late_reads(to_engine.as_ref());
                    is_limited = false;
                }
                let written = timeout(call_limit, to_engine.write_all(&buffer[..length]));
                tokio::select! {
                    written = written => written??,
                    // While the engine has no room, nothing is read that shows that the node has left.
                    _ = from_node.ready(Interest::ERROR) => return Ok(()),
                }
                let tunnels = &slot.tunnels;
                tunnels.count(|counts| counts.bytes_to_engines += length as u64);
            }
        };
        let to_node = async {
            let mut buffer = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
            loop {
                let length = from_engine.read(&mut buffer[HEADER_BYTES..]).await?;
                unanswered_bytes.set(0);
                let header = (length as u32).to_be_bytes();
                buffer[..HEADER_BYTES].copy_from_slice(&header);
                to_node.write_all(&buffer[..HEADER_BYTES + length]).await?;
                if length == 0 {
                    return Ok::<(), io::Error>(());
                }
                let tunnels = &slot.tunnels;
                tunnels.count(|counts| counts.bytes_from_engines += length as u64);
            }
        };
        // A failed connection ends the tunnel without the frame that marks the engine's end, which shows the failure.
        tokio::select! {
            _ = to_engine => {}
            _ = to_node => {}
        }
    }
}

/// Removes the limit on the time without an acknowledgement, which counts also while an engine acknowledges but does not read.
fn allow_late_reads(engine: &TcpStream) {
    // With the limit a late reader is taken for dead, as before.
    let _ = SockRef::from(engine).set_tcp_user_timeout(None);
}

//! Nodes tell each other what work they have at engines, so that each sees the load of all.
//!
//! Datagrams, since what is lost is soon replaced: a node tells again while it has work.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_planner::StageDemand;
use dalestand_routing::staged::{EngineKey, EngineWork, PeerWork, PromptPart};
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::part_recovery::known_parts;
use crate::placements::{Placement, PlacementState};
use crate::registration::Peers;
use crate::settings::ForwardingSettings;

/// How often work is told while there is some.
const TELL_INTERVAL: Duration = Duration::from_millis(100);

/// How often demand is told.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Changes within this time are told together.
const GATHER: Duration = Duration::from_millis(4);

/// Share of the node's link that notices may take.
const NOTICES_LINK_SHARE: f64 = 0.5;

/// Longest time between two notices: what peers were told counts for little longer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Bytes of a datagram beside what it carries.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Parts told in one datagram, so that it fits a packet.
const MAX_PARTS: usize = 60;

/// Engines told of in one datagram.
const MAX_ENGINES: usize = 128;

/// What one node tells.
#[derive(Debug, Deserialize, Serialize)]
struct WorkNotice {
    /// The node that tells.
    node: u64,
    /// Engine, requests there, those of them that have not begun, prompt tokens not read.
    work: Vec<(u64, u32, u32, u64)>,
    /// Prompts sent to engines, by their parts.
    placed: Vec<Placement>,
    /// Demand by pool: prompt tokens a second worth reading apart, and read where answered.
    demand: Vec<(PoolName, f64, f64)>,
    /// Engines to be avoided, for so many milliseconds.
    avoided: Vec<(u64, u64)>,
    /// Whether the node has just started and asks what its peers know of kept parts.
    asks: bool,
}

impl WorkNotice {
    /// Notices that carry `placed` in datagrams of a bounded size; the first carries the rest too.
    fn split(mut self) -> Vec<Self> {
        let mut placed = std::mem::take(&mut self.placed).into_iter().peekable();
        let node = self.node;
        let mut notices = vec![self];
        let mut parts = 0;
        while let Some(placement) = placed.next() {
            parts += placement.parts.len();
            if let Some(notice) = notices.last_mut() {
                notice.placed.push(placement);
            }
            let next = placed.peek().map_or(0, |next| next.parts.len());
            if next > 0 && parts + next > MAX_PARTS {
                notices.push(Self::empty(node));
                parts = 0;
            }
        }
        notices
    }

    fn empty(node: u64) -> Self {
        Self {
            node,
            work: Vec::new(),
            placed: Vec::new(),
            demand: Vec::new(),
            avoided: Vec::new(),
            asks: false,
        }
    }
}

/// Tells peers of this node's work for as long as it is polled.
pub(crate) async fn tell(context: Rc<Context>, socket: Rc<UdpSocket>, peers: Peers) {
    let node = EngineKey::of(context.settings.node.as_str()).0;
    let mut told: HashSet<u64> = HashSet::new();
    let mut demand_told = Instant::now();
    loop {
        let changed = context.work_changed.notified();
        if tokio::time::timeout(TELL_INTERVAL, changed).await.is_ok() {
            actix_rt::time::sleep(GATHER).await;
        }
        let work = prompt_work(&context, &mut told);
        let placed = context.placements.borrow_mut().take();
        let avoided = take_avoided(&context);
        let demand = if demand_told.elapsed() >= DEMAND_INTERVAL {
            demand_told = Instant::now();
            own_demand(&context)
        } else {
            Vec::new()
        };
        let asks = context.take_question();
        let nothing = work.is_empty() && placed.is_empty() && demand.is_empty();
        if nothing && avoided.is_empty() && !asks {
            continue;
        }
        let notice = WorkNotice {
            node,
            work,
            placed,
            demand,
            avoided,
            asks,
        };
        let sent_bytes = send(&socket, &peers.addresses(), notice);
        context.sent(sent_bytes);
        actix_rt::time::sleep(pause(&context.settings, sent_bytes)).await;
    }
}

/// Time until the next notices may go out after so many bytes, so that they take a bounded share of
/// the node's link: callers' requests go over the same link.
fn pause(settings: &ForwardingSettings, sent_bytes: usize) -> Duration {
    let carried = settings.link_time(sent_bytes);
    carried.mul_f64(1.0 / NOTICES_LINK_SHARE).min(LONGEST_PAUSE)
}

/// Sends a notice to each address; yields the bytes sent.
fn send(socket: &UdpSocket, addresses: &[SocketAddr], notice: WorkNotice) -> usize {
    let mut sent_bytes = 0;
    for notice in notice.split() {
        let Ok(datagram) = rmp_serde::to_vec(&notice) else {
            break;
        };
        for address in addresses {
            // A datagram that cannot be sent counts as lost.
            let _ = socket.try_send_to(&datagram, *address);
            sent_bytes += datagram.len() + DATAGRAM_HEADER_BYTES;
        }
    }
    sent_bytes
}

/// Work at language-model engines; an engine without work is told of once more.
fn prompt_work(context: &Context, told: &mut HashSet<u64>) -> Vec<(u64, u32, u32, u64)> {
    let fleet = context.fleet();
    let router = context.router.borrow();
    let mut work: Vec<(u64, u32, u32, u64)> = router
        .work
        .own_work()
        .filter(|(engine, _)| fleet.memory_tokens(*engine) > 0)
        .map(|(engine, work)| (engine.0, work.requests, work.starting, work.unread_tokens))
        .take(MAX_ENGINES)
        .collect();
    let busy: HashSet<u64> = work.iter().map(|(engine, ..)| *engine).collect();
    let over = told.difference(&busy).take(MAX_ENGINES);
    work.extend(over.map(|engine| (*engine, 0, 0, 0)));
    *told = busy;
    work
}

fn take_avoided(context: &Context) -> Vec<(u64, u64)> {
    let avoided = std::mem::take(&mut *context.avoided.borrow_mut());
    let avoided = avoided.into_iter();
    avoided
        .map(|(engine, time)| (engine.0, time.as_millis() as u64))
        .collect()
}

fn own_demand(context: &Context) -> Vec<(PoolName, f64, f64)> {
    let demand = context.demand.borrow_mut().own(context.now());
    let pools = demand.into_iter();
    pools
        .map(|(pool, demand)| (pool, demand.apart_tokens_per_s, demand.beside_tokens_per_s))
        .collect()
}

fn take_demand(context: &Context, node: u64, told: Vec<(PoolName, f64, f64)>) {
    let now = context.now();
    let mut meter = context.demand.borrow_mut();
    for (pool, apart_tokens_per_s, beside_tokens_per_s) in told {
        let demand = StageDemand {
            apart_tokens_per_s,
            beside_tokens_per_s,
        };
        meter.peer_told(now, node, pool, demand);
    }
}

/// Takes in what peers tell for as long as it is polled.
pub(crate) async fn listen(context: Rc<Context>, socket: Rc<UdpSocket>, peers: Peers) {
    let me = EngineKey::of(context.settings.node.as_str()).0;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            actix_rt::time::sleep(TELL_INTERVAL).await;
            continue;
        };
        let Ok(notice) = rmp_serde::from_slice::<WorkNotice>(&buffer[..length]) else {
            continue;
        };
        let now = context.now();
        if notice.asks {
            let mut answer = WorkNotice::empty(me);
            answer.placed = known_parts(&context, &peers, notice.node);
            send(&socket, &[sender], answer);
        }
        take_placed(&context, &notice.placed);
        take_demand(&context, notice.node, notice.demand);
        let mut router = context.router.borrow_mut();
        for (engine, for_ms) in notice.avoided {
            let until = now + Duration::from_millis(for_ms);
            router.health.avoid_until(EngineKey(engine), until);
        }
        for (engine, requests, starting, unread_tokens) in notice.work {
            let told = PeerWork {
                engine: EngineKey(engine),
                work: EngineWork {
                    requests,
                    starting,
                    unread_tokens,
                },
            };
            router.work.peer_told(now, notice.node, told);
        }
    }
}

/// Notes prompts that peers sent to engines.
fn take_placed(context: &Context, placed: &[Placement]) {
    for placement in placed {
        let engine = EngineKey(placement.engine);
        let memory_tokens = context.memory_tokens(engine);
        let parts = placement.parts.iter().map(|(id, tokens)| PromptPart {
            id: *id,
            tokens: *tokens,
        });
        let parts: Vec<PromptPart> = parts.collect();
        let mut router = context.router.borrow_mut();
        match placement.state {
            PlacementState::Sent => router.parts.sent(engine, memory_tokens, &parts),
            PlacementState::Read => {
                router.parts.sent(engine, memory_tokens, &parts);
                router.parts.read(engine, &parts);
            }
            PlacementState::NotRead => router.parts.not_read(engine, &parts),
        }
    }
}

//! Nodes tell each other what work they have at engines, so that each sees the load of all.
//!
//! Datagrams, since what is lost is soon replaced: a node tells again while it has work.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dalestand_routing::staged::{EngineKey, EngineWork, PeerWork, PromptPart};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::placements::{Placement, PlacementState};
use crate::registration::Peers;

/// How often work is told while there is some.
const TELL_INTERVAL: Duration = Duration::from_millis(100);

/// Changes within this time are told together.
const GATHER: Duration = Duration::from_millis(4);

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Engines told of in one datagram.
const MAX_ENGINES: usize = 128;

/// What one node tells.
#[derive(Debug, Deserialize, Serialize)]
struct WorkNotice {
    /// The node that tells.
    node: u64,
    /// Engine, requests there, prompt tokens not read.
    work: Vec<(u64, u32, u64)>,
    /// Prompts sent to engines, by their parts.
    placed: Vec<Placement>,
}

/// Tells peers of this node's work for as long as it is polled.
pub(crate) async fn tell(context: Rc<Context>, socket: Rc<UdpSocket>, peers: Peers) {
    let node = EngineKey::of(context.settings.node.as_str()).0;
    let mut told: HashSet<u64> = HashSet::new();
    loop {
        let changed = context.work_changed.notified();
        if tokio::time::timeout(TELL_INTERVAL, changed).await.is_ok() {
            actix_rt::time::sleep(GATHER).await;
        }
        let work = prompt_work(&context, &mut told);
        let placed = context.placements.borrow_mut().take();
        if work.is_empty() && placed.is_empty() {
            continue;
        }
        let Ok(datagram) = rmp_serde::to_vec(&WorkNotice { node, work, placed }) else {
            continue;
        };
        for address in peers.addresses() {
            // A datagram that cannot be sent counts as lost.
            let _ = socket.try_send_to(&datagram, address);
        }
    }
}

/// Work at language-model engines; an engine without work is told of once more.
fn prompt_work(context: &Context, told: &mut HashSet<u64>) -> Vec<(u64, u32, u64)> {
    let fleet = context.fleet();
    let router = context.router.borrow();
    let mut work: Vec<(u64, u32, u64)> = router
        .work
        .own_work()
        .filter(|(engine, _)| fleet.memory_tokens(*engine) > 0)
        .map(|(engine, work)| (engine.0, work.requests, work.unread_tokens))
        .take(MAX_ENGINES)
        .collect();
    let busy: HashSet<u64> = work.iter().map(|(engine, ..)| *engine).collect();
    let over = told.difference(&busy).take(MAX_ENGINES);
    work.extend(over.map(|engine| (*engine, 0, 0)));
    *told = busy;
    work
}

/// Takes in what peers tell for as long as it is polled.
pub(crate) async fn listen(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            actix_rt::time::sleep(TELL_INTERVAL).await;
            continue;
        };
        let Ok(notice) = rmp_serde::from_slice::<WorkNotice>(&buffer[..length]) else {
            continue;
        };
        let now = context.now();
        take_placed(&context, &notice.placed);
        let mut router = context.router.borrow_mut();
        for (engine, requests, unread_tokens) in notice.work {
            let told = PeerWork {
                engine: EngineKey(engine),
                work: EngineWork {
                    requests,
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

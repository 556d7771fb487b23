//! A node that starts knows of no kept parts. It asks its peers, and reads from the engines
//! themselves what none of the peers may know: after all nodes were lost, each engine is asked by
//! one node, which tells the others.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine, rendezvous_weight};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::engine_call::call;
use crate::placements::{Placement, PlacementState};
use crate::registration::Peers;

/// How often the start looks whether engines and peers are known.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which engines are asked even if no peer is known.
const PEERS_KNOWN_WITHIN: Duration = Duration::from_millis(60);

/// Parts of fewer tokens are not worth remembering.
const SMALLEST_PART_TOKENS: u32 = 400;

/// Parts told in one placement.
const PARTS_TOLD_AT_ONCE: usize = 50;

/// Recovers the kept parts; ends when all have been asked.
pub(crate) async fn recover_parts(context: Rc<Context>, peers: Peers) {
    while !context.is_ready() {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
    actix_rt::time::sleep(PEERS_KNOWN_WITHIN).await;
    context.ask_peers();
    for (pool, engine) in own_engines(&context, &peers.numbers()) {
        actix_rt::spawn(recover(Rc::clone(&context), pool, engine));
    }
}

/// What this node is to tell a peer that has just started.
pub(crate) fn known_parts(context: &Context, peers: &Peers, asker: u64) -> Vec<Placement> {
    let others = peers.numbers().into_iter().filter(|peer| *peer != asker);
    let others: Vec<u64> = others.collect();
    let router = context.router.borrow();
    let engines = own_engines(context, &others);
    let placements = engines.into_iter().flat_map(|(_, engine)| {
        let mut parts = router.parts.read_parts(engine.key);
        parts.retain(|part| part.tokens >= SMALLEST_PART_TOKENS);
        let chunks = parts.chunks(PARTS_TOLD_AT_ONCE);
        let placement = |parts| Placement::new(engine.key, PlacementState::Read, parts);
        chunks.map(placement).collect::<Vec<_>>()
    });
    placements.collect()
}

/// The engines that fall to this node: each falls to the node of the highest weight.
fn own_engines(context: &Context, others: &[u64]) -> Vec<(PoolName, StagedEngine)> {
    let fleet = context.fleet();
    let node = EngineKey::of(context.settings.node.as_str()).0;
    let is_own = |engine: &StagedEngine| {
        let weight = |node| rendezvous_weight(engine.key.0, node);
        others.iter().all(|other| weight(node) > weight(*other))
    };
    let engines = fleet.engines();
    let prompt_engines = engines.filter(|(_, engine)| engine.memory_tokens > 0);
    prompt_engines
        .filter(|(_, engine)| is_own(engine))
        .map(|(pool, engine)| (pool.clone(), engine.clone()))
        .collect()
}

async fn recover(context: Rc<Context>, pool: PoolName, engine: StagedEngine) {
    let head = context.dialect.kept_parts_request();
    let answered = call(&context, &pool, &engine, head, Bytes::new()).await;
    let Some((status, body)) = answered else {
        log_event!(context.logger, Event::EngineSilent, "engine" => &*engine.run);
        return;
    };
    if !status.is_success() {
        return;
    }
    let kept = context.dialect.read_kept_parts(&body);
    let long = kept
        .into_iter()
        .filter(|(_, tokens)| *tokens >= SMALLEST_PART_TOKENS);
    let parts: Vec<PromptPart> = long.map(|(id, tokens)| PromptPart { id, tokens }).collect();
    log_event!(context.logger, Event::PartsRecovered, "engine" => &*engine.run,
        "parts" => parts.len());
    let mut router = context.router.borrow_mut();
    router.parts.sent(engine.key, engine.memory_tokens, &parts);
    router.parts.read(engine.key, &parts);
    let mut placements = context.placements.borrow_mut();
    for parts in parts.chunks(PARTS_TOLD_AT_ONCE) {
        placements.push(engine.key, PlacementState::Read, parts);
    }
}

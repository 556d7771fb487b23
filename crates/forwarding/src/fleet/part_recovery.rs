//! A node that starts knows of no kept parts. It asks relays. After all nodes were lost no relay
//! knows any: relays read them from the engines themselves, each engine at one relay, which tells
//! the others.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_dissemination::{Placement, PlacementState};
use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine, rendezvous_weight};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;
use futures_util::stream::{self, StreamExt as _};

use crate::context::Context;
use crate::fleet::placements::placement;
use crate::serve::engine_call::call_engine;

/// How often the start looks whether engines and peers are known.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a node that serves knows the relays.
const RELAYS_KNOWN_WITHIN: Duration = Duration::from_millis(60);

/// Parts of fewer tokens are not worth remembering.
const SMALLEST_PART_TOKENS: u32 = 400;

/// Parts told in one placement.
const PARTS_TOLD_AT_ONCE: usize = 50;

/// Parts that a node which has started is told: 55 KB, which the slowest link of today (20 Mbit/s) carries
/// in 22 ms. Parts that were used longer ago are read again when they are asked for.
const PARTS_TOLD: usize = 4_096;

/// Engines that a relay asks at a time. All that fall to it at once, hundreds of a large fleet, would hold
/// up what the relay is wanted for in that moment: telling its members of the engines.
const ASKED_AT_ONCE: usize = 8;

/// Recovers the kept parts; ends when all have been asked.
pub(crate) async fn recover_parts(context: Rc<Context>) {
    while !context.is_ready() {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
    actix_rt::time::sleep(RELAYS_KNOWN_WITHIN).await;
    context.request_parts();
    if !context.dissemination.role(context.now()).is_relay {
        return;
    }
    let asked = own_engines(&context)
        .into_iter()
        .map(|(pool, engine)| recover(Rc::clone(&context), pool, engine));
    stream::iter(asked)
        .buffer_unordered(ASKED_AT_ONCE)
        .for_each(|()| std::future::ready(()))
        .await;
}

/// What this node is to tell a node that has just started.
pub(crate) fn known_parts(context: &Context) -> Vec<Placement> {
    let mut by_engine: HashMap<EngineKey, Vec<PromptPart>> = HashMap::new();
    let router = context.router.borrow();
    let last = router.parts.recently_confirmed(SMALLEST_PART_TOKENS);
    for (engine, part) in last.take(PARTS_TOLD) {
        by_engine.entry(engine).or_default().push(part);
    }
    let placements = by_engine.into_iter().flat_map(|(engine, parts)| {
        let chunks = parts.chunks(PARTS_TOLD_AT_ONCE);
        let read = |parts| placement(engine, PlacementState::Prefilled, parts, 0);
        chunks.map(read).collect::<Vec<_>>()
    });
    placements.collect()
}

/// The engines that fall to this relay: each falls to the relay of the highest weight.
fn own_engines(context: &Context) -> Vec<(PoolName, StagedEngine)> {
    let fleet = context.fleet();
    let node = context.dissemination.node.0;
    let others = context.dissemination.other_relays();
    let is_own = |engine: &StagedEngine| {
        let weight = |node| rendezvous_weight(engine.key.0, node);
        let mut others = others.iter();
        others.all(|other| weight(node) > weight(other.number.0))
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
    let answered = call_engine(&context, &pool, &engine, head, Bytes::new()).await;
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
    router
        .parts
        .record_sent(engine.key, engine.memory_tokens, &parts);
    router.parts.confirm_cached(engine.key, &parts);
    let mut placements = context.placements.borrow_mut();
    for parts in parts.chunks(PARTS_TOLD_AT_ONCE) {
        placements.push_kept(engine.key, parts);
    }
}

//! News of other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{Message, News, NewsBatch, Placement, PlacementState};
use dalestand_routing::staged::{EngineKey, PromptPart};

use crate::context::Context;
use crate::fleet::part_recovery::known_parts;
use crate::quarantine::evidence::apply_records;
use crate::spread::news_queue::NewsQueue;
use crate::spread::transmit::encode;

/// Most nodes that wait for known parts; one that is left out reads some parts again.
const MOST_ASKERS: usize = 1_000;

/// News from a relay: taken in, and passed to members if this node is a relay.
pub(super) fn pass_to_members(context: &Context, all: Vec<News>) {
    for news in all {
        take_news(context, &news);
        context.spread.table_news.borrow_mut().push(news);
    }
}

/// Notes what happened at other nodes.
pub(super) fn take_news(context: &Context, news: &News) {
    if news.origin == context.spread.node {
        return;
    }
    apply_records(context, &news.crashes);
    for placement in &news.placed {
        take_placement(context, placement);
    }
    let now = context.now();
    let mut router = context.router.borrow_mut();
    for change in &news.role_changes {
        let until = now + Duration::from_millis(change.at_most_ms);
        router
            .health
            .begin_role_change(EngineKey(change.engine), until);
    }
}

fn take_placement(context: &Context, placement: &Placement) {
    // An engine that this node does not know gets no requests from it either.
    let fleet = context.fleet();
    let engines: Vec<EngineKey> = fleet.engines_of(placement.engine).collect();
    let parts = placement.parts.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    let parts: Vec<PromptPart> = parts.collect();
    let mut router = context.router.borrow_mut();
    for engine in engines {
        let memory_tokens = fleet.memory_tokens(engine);
        match placement.state {
            PlacementState::Sent => {
                router.parts.record_sent(engine, memory_tokens, &parts);
                let own = PromptPart {
                    id: rand::random(),
                    tokens: placement.own_tokens,
                };
                router.parts.record_sent(engine, memory_tokens, &[own]);
            }
            PlacementState::Read => {
                router.parts.record_sent(engine, memory_tokens, &parts);
                router.parts.confirm_cached(engine, &parts);
            }
            PlacementState::NotRead => {
                router.parts.remove_unconfirmed(engine, &parts);
            }
        }
    }
}

/// Notes that a node which has just started asks for known parts.
pub(super) fn note_parts_request(context: &Context, asker: SocketAddr) {
    let mut askers = context.spread.parts_askers.borrow_mut();
    if askers.len() < MOST_ASKERS && !askers.contains(&asker) {
        askers.push(asker);
    }
}

/// Answers the nodes that asked for known parts, all of them at once: after a start of the whole fleet
/// they are all members of this relay, and to gather the parts for each held it up for 0.3 s.
pub(crate) fn answer_parts_requests(context: &Context) {
    let askers = std::mem::take(&mut *context.spread.parts_askers.borrow_mut());
    if askers.is_empty() {
        return;
    }
    let mut queue = NewsQueue::default();
    queue.push(News {
        placed: known_parts(context),
        ..News::none(context.spread.node)
    });
    let node = context.spread.node;
    for news in queue.take_batches() {
        let message = Message::News(NewsBatch { node, news });
        let Some(datagram) = encode(context, &message).map(Rc::new) else {
            continue;
        };
        for asker in &askers {
            context.spread.bulk.push(*asker, Rc::clone(&datagram));
        }
    }
}

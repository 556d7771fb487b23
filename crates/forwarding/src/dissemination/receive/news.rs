//! Applies news of other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{Message, News, NewsBatch, Placement, PlacementState};
use dalestand_routing::staged::{EngineKey, PromptPart};

use crate::context::Context;
use crate::dissemination::datagram::AnswerPart;
use crate::dissemination::news_queue::NewsQueue;
use crate::dissemination::transmit::encode;
use crate::fleet::part_recovery::known_parts;
use crate::quarantine::evidence::apply_records;

/// Limit on nodes waiting for cached prompt parts. A node beyond it prefills some parts again.
const MAX_WAITING_REQUESTERS: usize = 1_000;

/// Applies news from a relay and forwards it to this relay's members.
pub(super) fn apply_and_forward(context: &Context, all: Vec<News>) {
    for news in all {
        apply_news(context, &news);
        context.dissemination.table_news.borrow_mut().push(news);
    }
}

/// Applies events of another node.
pub(super) fn apply_news(context: &Context, news: &News) {
    if news.origin == context.dissemination.node {
        return;
    }
    apply_records(context, &news.crashes);
    for placement in &news.placed {
        apply_placement(context, placement);
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

fn apply_placement(context: &Context, placement: &Placement) {
    // Unknown engines are skipped: this node sends them no requests.
    let fleet = context.fleet();
    let engines: Vec<EngineKey> = fleet.engines_of(placement.engine).collect();
    let parts = placement.parts.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    let parts: Vec<PromptPart> = parts.collect();
    let mut router = context.router.borrow_mut();
    for engine in engines {
        let kv_cache_tokens = fleet.kv_cache_tokens(engine);
        match placement.state {
            PlacementState::Sent => {
                router.parts.record_sent(engine, kv_cache_tokens, &parts);
                let own = PromptPart {
                    id: rand::random(),
                    tokens: placement.own_tokens,
                };
                router.parts.record_sent(engine, kv_cache_tokens, &[own]);
            }
            PlacementState::Prefilled => {
                router.parts.record_sent(engine, kv_cache_tokens, &parts);
                router.parts.confirm_cached(engine, &parts);
            }
            PlacementState::NotPrefilled => {
                router.parts.remove_unconfirmed(engine, &parts);
            }
        }
    }
}

/// Queues the request of a starting node for the known cached prompt parts.
pub(super) fn queue_parts_request(context: &Context, requester: SocketAddr) {
    let mut requesters = context.dissemination.parts_requesters.borrow_mut();
    if requesters.len() < MAX_WAITING_REQUESTERS && !requesters.contains(&requester) {
        requesters.push(requester);
    }
}

/// Answers all queued requests for cached prompt parts together. The parts are collected once: after
/// a start of the whole fleet all members of this relay request them.
pub(crate) fn answer_parts_requests(context: &Context) {
    let requesters = std::mem::take(&mut *context.dissemination.parts_requesters.borrow_mut());
    if requesters.is_empty() {
        return;
    }
    let mut queue = NewsQueue::default();
    queue.push(News {
        placed: known_parts(context),
        ..News::none(context.dissemination.node)
    });
    let node = context.dissemination.node;
    for news in queue.take_batches() {
        let message = Message::News(NewsBatch { node, news });
        let Some(datagram) = encode(context, &message).map(Rc::new) else {
            continue;
        };
        for requester in &requesters {
            context
                .dissemination
                .bulk
                .push(*requester, AnswerPart::Fixed(Rc::clone(&datagram)));
        }
    }
}

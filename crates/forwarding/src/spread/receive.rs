//! Takes in what other nodes send.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    EngineLoad, EntriesPage, EntriesRequest, Exchange, MESSAGE_VERSION, Message, News, NewsBatch,
    Placement, PlacementState, PoolDemand, Report, Table, entries_pages, entries_request,
};
use dalestand_planner::StageDemand;
use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, PromptPart};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::MonotonicTime;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::fleet::engine_entries;
use crate::fleet::engines::Fleet;
use crate::fleet::part_recovery::known_parts;
use crate::quarantine::evidence::take_all;
use crate::spread::datagram::{kind_label, send, send_news};
use crate::spread::news_queue::NewsQueue;
use crate::spread::recent_changes::ChangeSource;

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Entries that a member asks for at once take its link this long at most: callers' requests wait
/// behind them.
const ENTRIES_LINK_TIME: Duration = Duration::from_millis(50);

/// Most bytes of entries asked for at once, however fast the link.
const MAX_ENTRIES_BYTES: u32 = 256 << 10;

/// Pause after the socket failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Takes in messages for as long as it is polled.
pub(crate) async fn receive_state(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log_event!(context.logger, Event::ListenFailed, "address" => "peers",
                    "error" => %error);
                actix_rt::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]) {
            Ok((MESSAGE_VERSION, message)) => {
                let kind = kind_label(&message);
                context.metrics.datagram(kind, "received", length);
                take(&context, &socket, sender, message);
            }
            // Of another version, damaged, or from a stranger.
            Ok(_) | Err(_) => context.metrics.datagram("unknown", "unreadable", length),
        }
    }
}

fn take(context: &Context, socket: &UdpSocket, sender: SocketAddr, message: Message) {
    match message {
        Message::Report(report) => take_report(context, sender, report),
        Message::Exchange(exchange) => take_exchange(context, exchange),
        Message::Table(table) => take_table(context, socket, sender, table),
        Message::News(batch) => take_news_batch(context, batch),
        Message::PartsRequest(_) => send_known_parts(context, socket, sender),
        Message::EntriesRequest(request) => send_entries(context, socket, sender, &request),
        Message::Entries(page) => take_entries_page(context, page),
        Message::Usage(report) => context.usage.take_report(report),
    }
}

/// A member's report. A node that is no relay stays silent, so that the member looks for another.
fn take_report(context: &Context, sender: SocketAddr, report: Report) {
    let now = context.now();
    let spread = &context.spread;
    if !spread.role(now).is_relay {
        return;
    }
    let is_new = spread
        .subscribers
        .borrow_mut()
        .heard(now, report.node, sender, report.sequence);
    if !is_new {
        return;
    }
    if report.is_probe {
        // The member waits for a table.
        context.work_changed.notify_one();
        return;
    }
    let source = LoadSource::Member(report.node.0);
    take_work(context, source, 0, report.work);
    take_demand(context, source, report.demand);
    context.work_changed.notify_one();
    take_news(context, &report.news);
    spread.exchange_news.borrow_mut().push(report.news.clone());
    spread.table_news.borrow_mut().push(report.news);
}

/// The sums of another relay.
fn take_exchange(context: &Context, exchange: Exchange) {
    let spread = &context.spread;
    spread.addressed(context.now());
    let source = LoadSource::Relay(exchange.node.0);
    take_work(context, source, exchange.age_ms, exchange.work);
    take_demand(context, source, exchange.demand);
    spread.set_holder(exchange.holder);
    pass_to_members(context, exchange.news);
    take_all(context, &exchange.stopped);
    engine_entries::take(context, exchange.changes, ChangeSource::Relay);
}

/// What the member's relay knows of the fleet.
fn take_table(context: &Context, socket: &UdpSocket, relay: SocketAddr, table: Table) {
    let now = context.now();
    let spread = &context.spread;
    if spread.role(now).is_relay {
        return;
    }
    let was_silent = spread.subscription.borrow().is_silent(now);
    if !spread.subscription.borrow_mut().heard(now, table.node) {
        return;
    }
    if was_silent {
        log_event!(context.logger, Event::RelayFollowed, "relay" => table.node.0,
            "nodes" => table.node_count);
    }
    context.set_nodes(table.node_count as usize);
    spread.set_holder(table.holder);
    if !table.relays.is_empty() {
        spread.subscription.borrow_mut().set_relays(table.relays);
    }
    let included = table
        .included
        .iter()
        .find(|report| report.node == spread.node);
    let others = {
        let own_reports = spread.own_reports.borrow();
        let own = included.map_or(&[][..], |report| own_reports.work_of(report.sequence));
        work_of_others(&context.fleet(), &table.work, own)
    };
    let mut router = context.router.borrow_mut();
    let reported_at = reported_at(context, table.age_ms);
    router.work.reported(reported_at, LoadSource::Fleet, others);
    drop(router);
    for news in &table.news {
        take_news(context, news);
    }
    take_all(context, &table.stopped);
    engine_entries::take(context, table.changes, ChangeSource::Relay);
    let differs = spread.entries.borrow().digest() != table.entries_digest;
    let mut sync = spread.entry_sync.borrow_mut();
    if !differs {
        sync.progressed();
    } else if sync.is_due(now) {
        ask_for_entries(context, socket, relay);
    }
}

/// Asks a relay for the entries that differ.
fn ask_for_entries(context: &Context, socket: &UdpSocket, relay: SocketAddr) {
    let carried = context.settings.link_bytes(ENTRIES_LINK_TIME);
    let max_bytes = carried.min(MAX_ENTRIES_BYTES);
    let request = {
        let entries = context.spread.entries.borrow();
        entries_request(context.spread.node, &entries, max_bytes)
    };
    let sent_bytes = send(context, socket, &[relay], &Message::EntriesRequest(request));
    context.sent(sent_bytes);
}

/// The sums without what this node itself reported.
fn work_of_others(
    fleet: &Fleet,
    sums: &[EngineLoad],
    own: &[EngineLoad],
) -> Vec<(EngineKey, EngineWork)> {
    let others = sums.iter().filter_map(|load| {
        let mut work = work(load);
        if let Some(own) = own.iter().find(|own| own.engine == load.engine) {
            work.take_off(&self::work(own));
        }
        // An engine that this node does not know gets no requests from it either.
        Some((fleet.engine_of(load.engine)?, work))
    });
    others.collect()
}

fn work(load: &EngineLoad) -> EngineWork {
    EngineWork {
        requests: load.requests,
        starting: load.starting,
        unread_tokens: load.unread_tokens,
    }
}

/// When work of this age was as it was reported.
fn reported_at(context: &Context, age_ms: u32) -> MonotonicTime {
    let age = Duration::from_millis(u64::from(age_ms));
    context.now().saturating_sub(age)
}

fn take_work(context: &Context, source: LoadSource, age_ms: u32, loads: Vec<EngineLoad>) {
    let fleet = context.fleet();
    let engines = loads
        .iter()
        .filter_map(|load| Some((fleet.engine_of(load.engine)?, work(load))));
    let mut router = context.router.borrow_mut();
    let reported_at = reported_at(context, age_ms);
    router.work.reported(reported_at, source, engines);
}

fn take_demand(context: &Context, source: LoadSource, demand: Vec<PoolDemand>) {
    let now = context.now();
    let mut meter = context.demand.borrow_mut();
    for pool in demand {
        let demand = StageDemand {
            disaggregated_tokens_per_s: pool.disaggregated_tokens_per_s,
            colocated_tokens_per_s: pool.colocated_tokens_per_s,
        };
        meter.reported(now, source, pool.pool, demand);
    }
}

fn take_news_batch(context: &Context, batch: NewsBatch) {
    pass_to_members(context, batch.news);
}

/// News from a relay: taken in, and passed to members if this node is a relay.
fn pass_to_members(context: &Context, all: Vec<News>) {
    for news in all {
        take_news(context, &news);
        context.spread.table_news.borrow_mut().push(news);
    }
}

/// Notes what happened at other nodes.
fn take_news(context: &Context, news: &News) {
    if news.origin == context.spread.node {
        return;
    }
    take_all(context, &news.crashes);
    for placement in &news.placed {
        take_placement(context, placement);
    }
    let now = context.now();
    let mut router = context.router.borrow_mut();
    for change in &news.role_changes {
        let until = now + Duration::from_millis(change.at_most_ms);
        router.health.changes_role(EngineKey(change.engine), until);
    }
}

fn take_placement(context: &Context, placement: &Placement) {
    let Some(engine) = context.fleet().engine_of(placement.engine) else {
        // An engine that this node does not know gets no requests from it either.
        return;
    };
    let memory_tokens = context.memory_tokens(engine);
    let parts = placement.parts.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    let parts: Vec<PromptPart> = parts.collect();
    let mut router = context.router.borrow_mut();
    match placement.state {
        PlacementState::Sent => {
            router.parts.sent(engine, memory_tokens, &parts);
            let own = PromptPart {
                id: rand::random(),
                tokens: placement.own_tokens,
            };
            router.parts.sent(engine, memory_tokens, &[own]);
        }
        PlacementState::Read => {
            router.parts.sent(engine, memory_tokens, &parts);
            router.parts.read(engine, &parts);
        }
        PlacementState::NotRead => {
            router.parts.not_read(engine, &parts);
        }
    }
}

fn take_entries_page(context: &Context, page: EntriesPage) {
    let is_followed = {
        let subscription = context.spread.subscription.borrow();
        let current = subscription.current();
        current.is_some_and(|relay| relay.number == page.node)
    };
    if !is_followed {
        return;
    }
    let changes = {
        let mut entries = context.spread.entries.borrow_mut();
        entries.take_range(page.revision, page.first..=page.last, page.records)
    };
    if !changes.is_empty() {
        context.spread.entry_sync.borrow_mut().progressed();
    }
    engine_entries::apply(context, changes, ChangeSource::Relay);
}

/// Sends a member the entries that differ from its own.
fn send_entries(
    context: &Context,
    socket: &UdpSocket,
    member: SocketAddr,
    request: &EntriesRequest,
) {
    if !context.spread.role(context.now()).is_relay {
        return;
    }
    let pages = {
        let entries = context.spread.entries.borrow();
        entries_pages(context.spread.node, &entries, request, rand::random())
    };
    for page in pages {
        let sent_bytes = send(context, socket, &[member], &Message::Entries(page));
        context.sent(sent_bytes);
    }
}

/// Answers a node that has just started.
fn send_known_parts(context: &Context, socket: &UdpSocket, asker: SocketAddr) {
    if !context.spread.role(context.now()).is_relay {
        return;
    }
    let mut queue = NewsQueue::default();
    for placement in known_parts(context) {
        queue.push(News {
            placed: vec![placement],
            ..News::none(context.spread.node)
        });
    }
    let batches = queue.take_batches().into_iter();
    let sent_bytes = send_news(context, socket, &[asker], batches);
    context.sent(sent_bytes);
}

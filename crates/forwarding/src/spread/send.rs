//! Sends this node's state: a member to its relay, a relay to the other relays.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{
    Exchange, LoadScope, Message, News, PartsRequest, Relay, Report, ReportTarget,
};
use dalestand_routing::staged::LoadSource;
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::quarantine::evidence::stopped_records;
use crate::spread::contents::{demand, prompt_loads, summed_loads, take_news, taken_news};
use crate::spread::pacing::{REPORT_INTERVAL, exchange_interval, pause};
use crate::spread::transmit::{LoadHeader, send, send_changes, send_loads, send_news};
use crate::spread::{SpreadRole, TABLE_INTERVAL};

/// How often demand is sent.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// A node without anything new sends this often, so that others know that it lives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Changes within this time go out together.
const GATHER: Duration = Duration::from_millis(4);

/// Relays that a node which has started asks for kept parts.
const RELAYS_ASKED: usize = 2;

/// When the things that are sent now and then were last sent.
struct LastSent {
    demand: BootInstant,
    message: BootInstant,
}

/// Sends this node's own state, and as a relay its members' too, for as long as it is polled.
pub(crate) async fn send_state(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let started = BootInstant::now();
    let mut last = LastSent {
        demand: started,
        message: started,
    };
    let mut former: Option<SpreadRole> = None;
    loop {
        let changed = context.work_changed.notified();
        if tokio::time::timeout(TABLE_INTERVAL, changed).await.is_ok() {
            actix_rt::time::sleep(GATHER).await;
        }
        let role = context.spread.role(context.now());
        if former != Some(role) {
            take_role(&context, role);
            former = Some(role);
        }
        ask_for_parts(&context, &socket);
        let pause = if role.is_relay {
            send_to_relays(&context, &socket, &mut last)
        } else {
            send_as_member(&context, &socket, &mut last)
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn take_role(context: &Context, role: SpreadRole) {
    context.spread.follow_as(role);
    log_event!(context.logger, Event::SpreadRoleTaken, "relay" => role.is_relay,
        "reads_store" => role.reads_store, "nodes" => context.node_count());
    if role.is_relay {
        // A relay has the sums of its own members and of the other relays instead.
        context
            .router
            .borrow_mut()
            .work
            .forget_source(LoadSource::Fleet);
    }
}

fn ask_for_parts(context: &Context, socket: &UdpSocket) {
    if !context.asks_for_parts() {
        return;
    }
    let subscription = context.spread.subscription.borrow();
    let current = subscription.current().into_iter();
    let zone = &context.settings.zone;
    let others = subscription.relays().iter();
    let others = others.filter(|relay| subscription.current() != Some(relay));
    // What they answer is long: it is not to pass between zones where the own zone has it.
    let (own, foreign): (Vec<&Relay>, Vec<&Relay>) = others.partition(|relay| relay.zone == *zone);
    let asked = current.chain(own).chain(foreign);
    let asked: Vec<&Relay> = asked.take(RELAYS_ASKED).collect();
    let request = PartsRequest {
        node: context.spread.node,
    };
    let addresses: Vec<SocketAddr> = asked.iter().map(|relay| relay.address).collect();
    send(context, socket, &addresses, &Message::PartsRequest(request));
}

/// One exchange, if there is something to send; yields the time until the next.
fn send_to_relays(context: &Context, socket: &UdpSocket, last: &mut LastSent) -> Duration {
    let now = context.now();
    let spread = &context.spread;
    context.router.borrow_mut().work.sweep(now);
    let own_news = take_news(context);
    spread.exchange_news.borrow_mut().push(own_news.clone());
    spread.table_news.borrow_mut().push(own_news);
    let demand_is_due = last.demand.elapsed() >= DEMAND_INTERVAL;
    let heartbeat_is_due = last.message.elapsed() >= HEARTBEAT_INTERVAL;
    let sent_bytes = send_exchange(context, socket, demand_is_due, heartbeat_is_due);
    if sent_bytes == 0 {
        return Duration::ZERO;
    }
    last.message = BootInstant::now();
    if demand_is_due {
        last.demand = last.message;
    }
    context.sent(sent_bytes);
    let has_members = !spread.subscribers.borrow().addresses().is_empty();
    let least = if has_members {
        exchange_interval(spread.other_relays().len())
    } else {
        Duration::ZERO
    };
    pause(&context.settings, sent_bytes).max(least)
}

fn send_exchange(
    context: &Context,
    socket: &UdpSocket,
    demand_is_due: bool,
    heartbeat_is_due: bool,
) -> usize {
    let spread = &context.spread;
    let others = spread.exchange_addresses(context.now());
    let others: Vec<SocketAddr> = others.into_iter().collect();
    let is_member = |source| matches!(source, LoadSource::Member(_));
    let summed = context
        .router
        .borrow()
        .work
        .summed(context.now(), is_member);
    let loads = summed_loads(context, summed);
    let mut batches = taken_news(context, &spread.exchange_news).into_iter();
    let news = batches.next().unwrap_or_default();
    let mut further_changes = spread.changes.borrow_mut().for_exchange().into_iter();
    let changes = further_changes.next().unwrap_or_default();
    let has_more = !loads.first.loads.is_empty()
        || loads.others.len() > 0
        || !news.is_empty()
        || !changes.is_empty();
    if others.is_empty() || !(has_more || demand_is_due || heartbeat_is_due) {
        return 0;
    }
    let exchange = Exchange {
        node: spread.node,
        age_ms: loads.age_ms,
        work: loads.first,
        demand: if demand_is_due {
            demand(context, is_member)
        } else {
            Vec::new()
        },
        news,
        changes,
        stopped: if demand_is_due {
            stopped_records(context)
        } else {
            Vec::new()
        },
        holder: spread.holder(),
        declaration: spread.declaration_offered(),
    };
    let header = LoadHeader {
        scope: LoadScope::Members,
        age_ms: loads.age_ms,
    };
    send(context, socket, &others, &Message::Exchange(exchange))
        + send_loads(context, socket, &others, header, loads.others)
        + send_changes(context, socket, &others, further_changes)
        + send_news(context, socket, &others, batches)
}

/// Asks a relay of the own zone whether it lives, where this node listens to one of another zone.
fn probe_own_zone(context: &Context, socket: &UdpSocket) {
    let spread = &context.spread;
    let probed = spread.subscription.borrow_mut().return_probe(context.now());
    let Some(relay) = probed else {
        return;
    };
    let probe = Report {
        node: spread.node,
        sequence: spread.own_reports.borrow_mut().next(Vec::new()),
        is_probe: true,
        work: Vec::new(),
        demand: Vec::new(),
        news: News::none(spread.node),
    };
    let sent_bytes = send(context, socket, &[relay.address], &Message::Report(probe));
    context.sent(sent_bytes);
}

/// One report, if there is something to report; yields the time until the next.
fn send_as_member(context: &Context, socket: &UdpSocket, last: &mut LastSent) -> Duration {
    let spread = &context.spread;
    probe_own_zone(context, socket);
    let target = spread.subscription.borrow().target(context.now());
    let (addresses, is_probe) = match target {
        ReportTarget::Subscribed(relay) => (vec![relay.address], false),
        ReportTarget::Probe(relays) => {
            let addresses = relays.iter().map(|relay| relay.address);
            (addresses.collect(), true)
        }
    };
    if addresses.is_empty() {
        return Duration::ZERO;
    }
    let work = if is_probe {
        Vec::new()
    } else {
        let own = context.router.borrow().work.own_work().collect::<Vec<_>>();
        prompt_loads(context, own)
    };
    let is_new = spread.own_reports.borrow().last_work() != Some(&work);
    // A probe takes no news with it: relays that are not chosen would pass them on a second time.
    let news = if is_probe {
        News::none(spread.node)
    } else {
        take_news(context)
    };
    let demand_is_due = !is_probe && last.demand.elapsed() >= DEMAND_INTERVAL;
    let heartbeat_is_due = last.message.elapsed() >= HEARTBEAT_INTERVAL;
    let is_due = is_probe || demand_is_due || heartbeat_is_due;
    if !(is_new || !news.is_empty() || is_due) {
        return Duration::ZERO;
    }
    last.message = BootInstant::now();
    if demand_is_due {
        last.demand = last.message;
    }
    let report = Report {
        node: spread.node,
        sequence: spread.own_reports.borrow_mut().next(work.clone()),
        is_probe,
        work,
        demand: if demand_is_due {
            demand(context, |_| false)
        } else {
            Vec::new()
        },
        news,
    };
    let sent_bytes = send(context, socket, &addresses, &Message::Report(report));
    context.sent(sent_bytes);
    pause(&context.settings, sent_bytes).max(REPORT_INTERVAL)
}

//! Sends this node's state: a member to its relay, a relay to the other relays.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{Exchange, Message, News, PartsRequest, Relay, Report, ReportTarget};
use dalestand_routing::staged::LoadSource;
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::quarantine::evidence::told;
use crate::spread::contents::{demand, prompt_loads, take_news};
use crate::spread::datagram::{send, send_news};
use crate::spread::pacing::{REPORT_INTERVAL, pause};
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
    context.spread.set_reads_store(role.reads_store);
    log_event!(context.logger, Event::SpreadRoleTaken, "relay" => role.is_relay,
        "reads_store" => role.reads_store, "nodes" => context.node_count());
    if role.is_relay {
        // A relay has the sums of its own members and of the other relays instead.
        context.router.borrow_mut().work.forget(LoadSource::Fleet);
    }
}

fn ask_for_parts(context: &Context, socket: &UdpSocket) {
    if !context.asks_for_parts() {
        return;
    }
    let subscription = context.spread.subscription.borrow();
    let current = subscription.current().into_iter();
    let others = subscription.relays().iter();
    let others = others.filter(|relay| subscription.current() != Some(relay));
    let asked: Vec<&Relay> = current.chain(others).take(RELAYS_ASKED).collect();
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
        REPORT_INTERVAL
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
    let others: Vec<SocketAddr> = spread
        .other_relays()
        .iter()
        .map(|relay| relay.address)
        .collect();
    let is_member = |source| matches!(source, LoadSource::Member(_));
    let summed = context
        .router
        .borrow()
        .work
        .summed(context.now(), is_member);
    let work = prompt_loads(context, summed.engines);
    let mut batches = spread.exchange_news.borrow_mut().take_batches().into_iter();
    let news = batches.next().unwrap_or_default();
    let changes = spread.changes.borrow_mut().for_exchange();
    let has_more = !work.is_empty() || !news.is_empty() || !changes.is_empty();
    if others.is_empty() || !(has_more || demand_is_due || heartbeat_is_due) {
        return 0;
    }
    let exchange = Exchange {
        node: spread.node,
        age_ms: summed.age.as_millis() as u32,
        work,
        demand: if demand_is_due {
            demand(context, is_member)
        } else {
            Vec::new()
        },
        news,
        changes,
        stopped: if demand_is_due {
            told(context)
        } else {
            Vec::new()
        },
        holder: spread.holder(),
    };
    let sent_bytes = send(context, socket, &others, &Message::Exchange(exchange));
    sent_bytes + send_news(context, socket, &others, batches)
}

/// One report, if there is something to report; yields the time until the next.
fn send_as_member(context: &Context, socket: &UdpSocket, last: &mut LastSent) -> Duration {
    let spread = &context.spread;
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

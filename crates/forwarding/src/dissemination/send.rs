//! Sends reports of a member to its relay, and exchanges of a relay to the other relays.

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
use crate::dissemination::contents::{
    demand, prompt_loads, summed_loads, take_batches_of, take_own_news,
};
use crate::dissemination::fingerprint_key::request_if_missing;
use crate::dissemination::pacing::{REPORT_INTERVAL, exchange_interval, pause_after};
use crate::dissemination::receive::entries::retry_if_due;
use crate::dissemination::software::request_missing;
use crate::dissemination::transmit::{LoadHeader, send, send_changes, send_loads, send_news};
use crate::dissemination::{DisseminationRole, TABLE_INTERVAL};
use crate::quarantine::evidence::stopped_records;

const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between messages of a node without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Changes within this time are sent together.
const COALESCE_DELAY: Duration = Duration::from_millis(4);

/// Number of relays that a starting node asks for cached prompt parts.
const RELAYS_ASKED_FOR_PARTS: usize = 2;

/// When demand and any message were last sent.
struct LastSent {
    demand: BootInstant,
    message: BootInstant,
}

/// Sends this node's state, and as a relay also its members', until dropped.
pub(crate) async fn send_state(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let started = BootInstant::now();
    let mut last = LastSent {
        demand: started,
        message: started,
    };
    let mut previous: Option<DisseminationRole> = None;
    loop {
        let changed = context.work_changed.notified();
        if tokio::time::timeout(TABLE_INTERVAL, changed).await.is_ok() {
            actix_rt::time::sleep(COALESCE_DELAY).await;
        }
        let role = context.dissemination.role(context.now());
        if previous != Some(role) {
            apply_role(&context, role);
            previous = Some(role);
        }
        ask_for_parts(&context, &socket);
        retry_if_due(&context, &socket);
        request_missing(&context, &socket);
        request_if_missing(&context, &socket);
        let pause = if role.is_relay {
            send_to_relays(&context, &socket, &mut last)
        } else {
            send_as_member(&context, &socket, &mut last)
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn apply_role(context: &Context, role: DisseminationRole) {
    context.dissemination.apply_role(role);
    log_event!(context.logger, Event::DisseminationRoleChanged, "relay" => role.is_relay,
        "reads_store" => role.reads_store, "nodes" => context.node_count());
    if role.is_relay {
        // Replaced by the reports of its members and of the other relays.
        context
            .router
            .borrow_mut()
            .work
            .forget_source(LoadSource::Fleet);
    }
}

fn ask_for_parts(context: &Context, socket: &UdpSocket) {
    if !context.take_parts_request() {
        return;
    }
    let subscription = context.dissemination.subscription.borrow();
    let current = subscription.current().into_iter();
    let zone = &context.settings.zone;
    let others = subscription.relays().iter();
    let others = others.filter(|relay| subscription.current() != Some(relay));
    // Prefers the own zone, because the answers are long.
    let (own, foreign): (Vec<&Relay>, Vec<&Relay>) = others.partition(|relay| relay.zone == *zone);
    let asked = current.chain(own).chain(foreign);
    let asked: Vec<&Relay> = asked.take(RELAYS_ASKED_FOR_PARTS).collect();
    let request = PartsRequest {
        node: context.dissemination.node,
    };
    let addresses: Vec<SocketAddr> = asked.iter().map(|relay| relay.address).collect();
    send(context, socket, &addresses, &Message::PartsRequest(request));
}

/// Sends one exchange if there is anything to send; returns the time until the next.
fn send_to_relays(context: &Context, socket: &UdpSocket, last: &mut LastSent) -> Duration {
    let now = context.now();
    let dissemination = &context.dissemination;
    context.router.borrow_mut().work.remove_expired(now);
    let own_news = take_own_news(context);
    dissemination
        .exchange_news
        .borrow_mut()
        .push(own_news.clone());
    dissemination.table_news.borrow_mut().push(own_news);
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
    context.record_sent_bytes(sent_bytes);
    let has_members = !dissemination.subscribers.borrow().addresses().is_empty();
    let min_pause = if has_members {
        exchange_interval(dissemination.other_relays().len())
    } else {
        Duration::ZERO
    };
    pause_after(&context.settings, sent_bytes).max(min_pause)
}

fn send_exchange(
    context: &Context,
    socket: &UdpSocket,
    demand_is_due: bool,
    heartbeat_is_due: bool,
) -> usize {
    let dissemination = &context.dissemination;
    let recipients = dissemination.exchange_addresses(context.now());
    let recipients: Vec<SocketAddr> = recipients.into_iter().collect();
    let is_member = |source| matches!(source, LoadSource::Member(_));
    let summed = context
        .router
        .borrow()
        .work
        .summed(context.now(), is_member);
    let loads = summed_loads(context, summed);
    let mut batches = take_batches_of(context, &dissemination.exchange_news).into_iter();
    let news = batches.next().unwrap_or_default();
    let mut further_changes = dissemination
        .changes
        .borrow_mut()
        .for_exchange()
        .into_iter();
    let changes = further_changes.next().unwrap_or_default();
    let has_content = !loads.first.loads.is_empty()
        || loads.further.len() > 0
        || !news.is_empty()
        || !changes.is_empty();
    if recipients.is_empty() || !(has_content || demand_is_due || heartbeat_is_due) {
        return 0;
    }
    let exchange = Exchange {
        node: dissemination.node,
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
        holder: dissemination.lease_holder(),
        declaration: dissemination.offered_declaration_revision(),
    };
    let header = LoadHeader {
        scope: LoadScope::Members,
        age_ms: loads.age_ms,
    };
    send(context, socket, &recipients, &Message::Exchange(exchange))
        + send_loads(context, socket, &recipients, header, loads.further)
        + send_changes(context, socket, &recipients, further_changes)
        + send_news(context, socket, &recipients, batches)
}

/// Probes a relay of the own zone if one is due while following a relay of another zone.
fn probe_own_zone(context: &Context, socket: &UdpSocket) {
    let dissemination = &context.dissemination;
    let probed = dissemination
        .subscription
        .borrow_mut()
        .home_zone_probe(context.now());
    let Some(relay) = probed else {
        return;
    };
    let probe = Report {
        node: dissemination.node,
        sequence: dissemination.own_reports.borrow_mut().next(Vec::new()),
        is_probe: true,
        work: Vec::new(),
        demand: Vec::new(),
        news: News::none(dissemination.node),
    };
    let sent_bytes = send(context, socket, &[relay.address], &Message::Report(probe));
    context.record_sent_bytes(sent_bytes);
}

/// Sends one report if there is anything to report; returns the time until the next.
fn send_as_member(context: &Context, socket: &UdpSocket, last: &mut LastSent) -> Duration {
    let dissemination = &context.dissemination;
    probe_own_zone(context, socket);
    let target = dissemination.subscription.borrow().target(context.now());
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
    let is_new = dissemination.own_reports.borrow().last_work() != Some(&work);
    // Probes carry no news: each probed relay would relay them again.
    let news = if is_probe {
        News::none(dissemination.node)
    } else {
        take_own_news(context)
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
        node: dissemination.node,
        sequence: dissemination.own_reports.borrow_mut().next(work.clone()),
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
    context.record_sent_bytes(sent_bytes);
    pause_after(&context.settings, sent_bytes).max(REPORT_INTERVAL)
}

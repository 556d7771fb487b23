//! Has requests wait for a place in a pool that is short, and refuses those that get none in their time.
//!
//! `routing::overload::PoolAdmission` decides; this hands it what the node knows of the pool and carries out what it
//! says.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::timeout;
use dalestand_routing::ClassFigures;
use dalestand_routing::overload::{
    AdmissionDecision, AdmissionOutcome, AdmissionRequest, PoolLoad, RetryAfterSlot, ShareStanding,
    WaiterId,
};
use dalestand_routing::staged::{Stage, TimeBounds};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{MonotonicTime, PoolName};
use tokio::sync::oneshot;

use crate::context::Context;
use crate::fleet_sums::ClassKey;
use crate::serve::answer::Failure;
use crate::serve::pool_admissions::{AdmissionRecord, Desk, Place};
use crate::serve::progress::Progress;

/// Shortest time between two looks at a pool: load reports are some tens of milliseconds old.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Added to it for each engine of the pool, so that looks at a large pool take a thousandth of a processor.
const LOOK_INTERVAL_AN_ENGINE: Duration = Duration::from_micros(100);

/// Longest time until a place that other nodes left is given to a request that waits here.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// How a request came through.
pub(crate) enum Admission {
    /// The pool is not short, or not known.
    Ungated,
    /// It has a place, for which it waited this long.
    Placed(Place, Duration),
}

/// Gets a request a place at an engine of `pool` that answers, or refuses it.
pub(crate) async fn get_place(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
) -> Result<Admission, Failure> {
    if !progress.table.is_competed_for(pool) {
        return Ok(Admission::Ungated);
    }
    let desk = context.admissions.desk(pool);
    let stage = if context.fleet().pool(pool).serves_prompts() {
        Stage::Decode
    } else {
        Stage::Opaque
    };
    look(context, &desk, pool, stage);
    let request = room_request(&desk, progress);
    let own_taken = own_taken(context, pool, stage);
    let now = context.now();
    let decision = desk.room.borrow_mut().decide(now, &request, own_taken);
    match decision.outcome {
        AdmissionOutcome::Ungated => Ok(Admission::Ungated),
        AdmissionOutcome::Placed => {
            let place = Place(desk);
            note(context, progress, &decision, "placed", Duration::ZERO);
            Ok(Admission::Placed(place, Duration::ZERO))
        }
        AdmissionOutcome::Refused(slot) => {
            note(context, progress, &decision, "refused", Duration::ZERO);
            Err(no_room(slot))
        }
        AdmissionOutcome::Queued(number, longest) => {
            let waiter = Waiter::new(context, &desk, number, &progress.class);
            keep_releasing(context, &desk, pool, stage);
            let placed = waiter.wait(longest).await;
            let waited = context.now().since(now);
            if let Some(place) = placed {
                note(context, progress, &decision, "placed", waited);
                return Ok(Admission::Placed(place, waited));
            }
            note(context, progress, &decision, "hopeless", waited);
            let request = room_request(&desk, progress);
            let slot = desk.room.borrow_mut().retry_slot(context.now(), &request);
            Err(no_room(slot))
        }
    }
}

fn no_room(slot: RetryAfterSlot) -> Failure {
    Failure::NoRoom(slot.delay())
}

fn room_request(desk: &Desk, progress: &Progress) -> AdmissionRequest {
    let (_, priority) = progress.class;
    let asked = desk.asked.borrow();
    let urgent = asked.iter().filter(|(class, _)| *class < priority);
    AdmissionRequest {
        priority,
        standing: progress
            .share
            .map_or(ShareStanding::Within, |share| share.standing),
        bounds: TimeBounds {
            left: progress.time_left(),
            objective: Duration::from_millis(progress.route.objective_ms),
        },
        expected: progress.expected.unwrap_or_default(),
        more_urgent_per_s: urgent.map(|(_, per_s)| *per_s).sum(),
    }
}

/// Brings what is known of a pool up to date, unless that was done just now.
fn look(context: &Context, desk: &Desk, pool: &PoolName, stage: Stage) {
    let now = context.now();
    let engines = context.fleet().pool(pool).len() as u32;
    let interval = LOOK_INTERVAL + LOOK_INTERVAL_AN_ENGINE * engines;
    let looked_at = desk.looked_at.get();
    if looked_at.is_some_and(|looked_at| now.since(looked_at) < interval) {
        return;
    }
    desk.looked_at.set(Some(now));
    let (load, asked) = pool_load(context, now, pool, stage);
    desk.asked.replace(asked);
    let mut room = desk.room.borrow_mut();
    if room.update(now, &load) {
        let event = if room.is_short() {
            Event::PoolShortageStarted
        } else {
            Event::PoolShortageEnded
        };
        log_event!(context.logger, event, "pool" => %pool, "slots" => load.slots,
            "taken" => load.taken, "own_taken" => load.own_taken, "waiting" => room.waiting(),
            "account" => ?room.account());
    }
}

/// What this node knows of a pool, and the first tries a second that it counts there by priority.
fn pool_load(
    context: &Context,
    now: MonotonicTime,
    pool: &PoolName,
    stage: Stage,
) -> (PoolLoad, Vec<(u8, f64)>) {
    let mut load = PoolLoad {
        own_taken: own_taken(context, pool, stage),
        nodes: context.node_count(),
        ..PoolLoad::default()
    };
    let fleet = context.fleet();
    let router = context.router.borrow();
    let engines = fleet.pool(pool).iter();
    let engines = engines
        .filter(|engine| engine.stage == stage && !router.health.is_unresponsive(now, engine.key));
    for engine in engines {
        load.engines += 1;
        load.slots += engine.slots;
        load.taken += router.work.total(engine.key).requests;
    }
    load.taken_age = router.work.mean_report_age(now, |_| true);
    let own = context.classes.figures(now);
    let own = own.iter().filter(|((of, _), _)| of == pool);
    let asked = own.clone();
    let asked = asked.map(|((_, class), figures)| (*class, f64::from(figures.asked_per_s)));
    let asked = asked.collect();
    load.own = sum(own.map(|(_, figures)| figures));
    let sums = context.sums.classes.borrow();
    let all = sums.totals().iter().filter(|((of, _), _)| of == pool);
    load.all = sum(all.map(|(_, figures)| figures));
    load.figures_age = sums.active_sources(now).map(|(_, age)| age).min();
    (load, asked)
}

fn sum<'a>(figures: impl Iterator<Item = &'a ClassFigures>) -> ClassFigures {
    figures.fold(ClassFigures::default(), |mut sum, figures| {
        sum += figures;
        sum
    })
}

/// Requests of this node at the engines of a pool and stage.
fn own_taken(context: &Context, pool: &PoolName, stage: Stage) -> u32 {
    let fleet = context.fleet();
    let router = context.router.borrow();
    let engines = fleet.pool(pool);
    let own = router.work.own_work();
    let here = own.filter(|(key, _)| {
        let engine = engines.get(*key);
        engine.is_some_and(|engine| engine.stage == stage)
    });
    here.map(|(_, work)| work.requests).sum()
}

/// Gives places that come free to those that wait, until none does.
fn keep_releasing(context: &Rc<Context>, desk: &Rc<Desk>, pool: &PoolName, stage: Stage) {
    if desk.is_releasing.replace(true) {
        return;
    }
    let context = Rc::clone(context);
    let desk = Rc::clone(desk);
    let pool = pool.clone();
    actix_rt::spawn(async move {
        while !desk.waiters.borrow().is_empty() {
            look(&context, &desk, &pool, stage);
            release(&context, &desk, &pool, stage);
            tokio::select! {
                () = context.classes.freed.notified() => {}
                () = actix_rt::time::sleep(RELEASE_INTERVAL) => {}
            }
        }
        desk.is_releasing.set(false);
    });
}

fn release(context: &Context, desk: &Rc<Desk>, pool: &PoolName, stage: Stage) {
    let own_taken = own_taken(context, pool, stage);
    loop {
        let released = desk.room.borrow_mut().release(context.now(), own_taken);
        let Some(number) = released else {
            return;
        };
        let place = Place(Rc::clone(desk));
        let sender = desk.waiters.borrow_mut().remove(&number);
        // Without a sender, or one that listens, the place is dropped and so given back.
        if let Some(Err(unused)) = sender.map(|sender| sender.send(place)) {
            drop(unused);
        }
    }
}

/// A request that waits, until dropped.
struct Waiter {
    context: Rc<Context>,
    desk: Rc<Desk>,
    number: WaiterId,
    class: ClassKey,
    receiver: oneshot::Receiver<Place>,
}

impl Waiter {
    fn new(context: &Rc<Context>, desk: &Rc<Desk>, number: WaiterId, class: &ClassKey) -> Self {
        let (sender, receiver) = oneshot::channel();
        desk.waiters.borrow_mut().insert(number, sender);
        context.classes.note(class, |meter| meter.waiting += 1);
        Self {
            context: Rc::clone(context),
            desk: Rc::clone(desk),
            number,
            class: class.clone(),
            receiver,
        }
    }

    /// Its place; `None` if none came free in time.
    async fn wait(mut self, longest: Duration) -> Option<Place> {
        timeout(longest, &mut self.receiver).await.ok()?.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.desk.waiters.borrow_mut().remove(&self.number);
        self.desk.room.borrow_mut().remove(self.number);
        self.context.classes.note(&self.class, |meter| {
            meter.waiting = meter.waiting.saturating_sub(1);
        });
    }
}

/// Notes what was decided, for the account of the request and the figures.
fn note(
    context: &Context,
    progress: &mut Progress,
    decision: &AdmissionDecision,
    outcome: &'static str,
    waited: Duration,
) {
    context.metrics.room_decision(outcome, waited);
    progress.admission = decision.account.map(|account| AdmissionRecord {
        outcome,
        account,
        waiting: decision.waiting,
        waited,
    });
}

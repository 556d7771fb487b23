//! Admission to pools that are short of capacity: requests wait for a place or are refused.
//!
//! `dalestand_routing::overload::PoolAdmission` decides; this module supplies the load of the pool
//! and carries out the decisions.

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
use crate::serve::pool_admissions::{AdmissionRecord, PoolState, Reservation};
use crate::serve::progress::Progress;

/// Minimum interval between updates of a pool's load, as load reports are some tens of milliseconds
/// old.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Added to the interval for each engine, so that the updates of a large pool take at most 0.1% of
/// a processor.
const REFRESH_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(100);

/// Maximum delay until a place freed by another node is given to a request that waits here.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// How a request was admitted.
pub(crate) enum Admission {
    /// The pool has enough capacity, or its load is not known.
    Unrestricted,
    /// The request has reserved a place, for which it waited this long.
    Reserved(Reservation, Duration),
}

/// Reserves a place for a request at the decode (or opaque) engines of `pool`, or refuses the
/// request.
pub(crate) async fn reserve_place(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
) -> Result<Admission, Failure> {
    if !progress.table.ranks_requests(pool) {
        return Ok(Admission::Unrestricted);
    }
    let state = context.admissions.pool_state(pool);
    let stage = if context.fleet().pool(pool).serves_prompts() {
        Stage::Decode
    } else {
        Stage::Opaque
    };
    refresh(context, &state, pool, stage);
    let request = admission_request(&state, progress);
    let own_taken = own_request_count(context, pool, stage);
    let now = context.now();
    let decision = state
        .admission
        .borrow_mut()
        .decide(now, &request, own_taken);
    match decision.outcome {
        AdmissionOutcome::Ungated => Ok(Admission::Unrestricted),
        AdmissionOutcome::Placed => {
            let reservation = Reservation(state);
            record_decision(context, progress, &decision, "placed", Duration::ZERO);
            Ok(Admission::Reserved(reservation, Duration::ZERO))
        }
        AdmissionOutcome::Refused(slot) => {
            record_decision(context, progress, &decision, "refused", Duration::ZERO);
            Err(no_capacity_failure(slot))
        }
        AdmissionOutcome::Queued(id, max_wait) => {
            let waiter = Waiter::new(context, &state, id, &progress.class);
            spawn_release_loop(context, &state, pool, stage);
            let reservation = waiter.wait(max_wait).await;
            let waited = context.now().since(now);
            if let Some(reservation) = reservation {
                record_decision(context, progress, &decision, "placed", waited);
                return Ok(Admission::Reserved(reservation, waited));
            }
            record_decision(context, progress, &decision, "hopeless", waited);
            let request = admission_request(&state, progress);
            let slot = state
                .admission
                .borrow_mut()
                .retry_slot(context.now(), &request);
            Err(no_capacity_failure(slot))
        }
    }
}

fn no_capacity_failure(slot: RetryAfterSlot) -> Failure {
    Failure::NoRoom(slot.delay())
}

fn admission_request(state: &PoolState, progress: &Progress) -> AdmissionRequest {
    let (_, priority) = progress.class;
    let attempt_rates = state.first_attempts_per_s.borrow();
    let more_urgent = attempt_rates.iter().filter(|(class, _)| *class < priority);
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
        more_urgent_per_s: more_urgent.map(|(_, per_s)| *per_s).sum(),
    }
}

/// Updates what is known of the pool's load, unless that was done within the refresh interval.
fn refresh(context: &Context, state: &PoolState, pool: &PoolName, stage: Stage) {
    let now = context.now();
    let engines = context.fleet().pool(pool).len() as u32;
    let interval = REFRESH_INTERVAL + REFRESH_INTERVAL_PER_ENGINE * engines;
    let refreshed_at = state.refreshed_at.get();
    if refreshed_at.is_some_and(|refreshed_at| now.since(refreshed_at) < interval) {
        return;
    }
    state.refreshed_at.set(Some(now));
    let (load, attempt_rates) = pool_load(context, now, pool, stage);
    state.first_attempts_per_s.replace(attempt_rates);
    let mut admission = state.admission.borrow_mut();
    if admission.update(now, &load) {
        let event = if admission.is_short() {
            Event::PoolShortageStarted
        } else {
            Event::PoolShortageEnded
        };
        log_event!(context.logger, event, "pool" => %pool, "slots" => load.slots,
            "taken" => load.taken, "own_taken" => load.own_taken, "waiting" => admission.waiting(),
            "account" => ?admission.account());
    }
}

/// The load of a pool as known to this node, and the rate of first attempts counted here by
/// priority.
fn pool_load(
    context: &Context,
    now: MonotonicTime,
    pool: &PoolName,
    stage: Stage,
) -> (PoolLoad, Vec<(u8, f64)>) {
    let mut load = PoolLoad {
        own_taken: own_request_count(context, pool, stage),
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
        // Another node may report any number.
        load.slots = load.slots.saturating_add(engine.slots);
        load.taken += router.work.total(engine.key).requests;
    }
    load.taken_age = router.work.mean_report_age(now, |_| true);
    let own = context.classes.figures(now);
    let own = own.iter().filter(|((of, _), _)| of == pool);
    let attempt_rates = own.clone();
    let attempt_rates =
        attempt_rates.map(|((_, class), figures)| (*class, f64::from(figures.asked_per_s)));
    let attempt_rates = attempt_rates.collect();
    load.own = sum_figures(own.map(|(_, figures)| figures));
    let sums = context.sums.classes.borrow();
    let all = sums.totals().iter().filter(|((of, _), _)| of == pool);
    load.all = sum_figures(all.map(|(_, figures)| figures));
    load.figures_age = sums.active_sources(now).map(|(_, age)| age).min();
    (load, attempt_rates)
}

fn sum_figures<'a>(figures: impl Iterator<Item = &'a ClassFigures>) -> ClassFigures {
    figures.fold(ClassFigures::default(), |mut sum, figures| {
        sum += figures;
        sum
    })
}

/// Number of this node's requests at the engines of a pool and stage.
fn own_request_count(context: &Context, pool: &PoolName, stage: Stage) -> u32 {
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

/// Starts a task that admits queued requests as places become free, unless one is running. The task
/// ends when none is queued.
fn spawn_release_loop(context: &Rc<Context>, state: &Rc<PoolState>, pool: &PoolName, stage: Stage) {
    if state.is_releasing.replace(true) {
        return;
    }
    let context = Rc::clone(context);
    let state = Rc::clone(state);
    let pool = pool.clone();
    actix_rt::spawn(async move {
        while !state.waiters.borrow().is_empty() {
            refresh(&context, &state, &pool, stage);
            admit_queued(&context, &state, &pool, stage);
            tokio::select! {
                () = context.classes.slot_freed.notified() => {}
                () = actix_rt::time::sleep(RELEASE_INTERVAL) => {}
            }
        }
        state.is_releasing.set(false);
    });
}

fn admit_queued(context: &Context, state: &Rc<PoolState>, pool: &PoolName, stage: Stage) {
    let own_taken = own_request_count(context, pool, stage);
    loop {
        let released = state
            .admission
            .borrow_mut()
            .release(context.now(), own_taken);
        let Some(number) = released else {
            return;
        };
        let reservation = Reservation(Rc::clone(state));
        let sender = state.waiters.borrow_mut().remove(&number);
        // If the request no longer waits, dropping the reservation frees the place.
        if let Some(Err(unused)) = sender.map(|sender| sender.send(reservation)) {
            drop(unused);
        }
    }
}

/// A queued request; dropping it leaves the queue.
struct Waiter {
    context: Rc<Context>,
    state: Rc<PoolState>,
    number: WaiterId,
    class: ClassKey,
    receiver: oneshot::Receiver<Reservation>,
}

impl Waiter {
    fn new(
        context: &Rc<Context>,
        state: &Rc<PoolState>,
        number: WaiterId,
        class: &ClassKey,
    ) -> Self {
        let (sender, receiver) = oneshot::channel();
        state.waiters.borrow_mut().insert(number, sender);
        context.classes.update(class, |meter| meter.waiting += 1);
        Self {
            context: Rc::clone(context),
            state: Rc::clone(state),
            number,
            class: class.clone(),
            receiver,
        }
    }

    /// Waits for a place; `None` if none became free in time.
    async fn wait(mut self, max_wait: Duration) -> Option<Reservation> {
        timeout(max_wait, &mut self.receiver).await.ok()?.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.state.waiters.borrow_mut().remove(&self.number);
        self.state.admission.borrow_mut().remove(self.number);
        self.context.classes.update(&self.class, |meter| {
            meter.waiting = meter.waiting.saturating_sub(1);
        });
    }
}

/// Records a decision in the metrics and for the request's log line.
fn record_decision(
    context: &Context,
    progress: &mut Progress,
    decision: &AdmissionDecision,
    outcome: &'static str,
    waited: Duration,
) {
    context.metrics.admission_decision(outcome, waited);
    progress.admission = decision.account.map(|account| AdmissionRecord {
        outcome,
        account,
        waiting: decision.waiting,
        waited,
    });
}

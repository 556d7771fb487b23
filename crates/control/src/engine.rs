//! What a controller knows of one engine.

use std::time::Duration;

use dalestand_types::{
    EngineOrders, Epoch, Incarnation, MonotonicTime, Order, OrderCommand, OrderId, OrderOutcome,
    OrderPhase, Revision,
};

use crate::action::CallId;
use crate::controller::EngineObservation;
use crate::drain::{Drain, interrupts_service};

/// Pause before an engine is called again that did not answer, refused or is busy.
const CALL_PAUSE: Duration = Duration::from_millis(500);

/// After this long without any answer an engine counts as failed and no longer as one that may
/// be changing its role. Longer than a role change with its drain.
const SILENT_ENGINE_LIMIT: Duration = Duration::from_secs(120);

/// An order whose answer has not come: the engine may have taken it, or may take it later.
#[derive(Clone, Debug)]
struct DoubtfulOrder {
    order: Order,
    /// Whether it, or one in doubt before it that follows the same order, interrupts service.
    interrupts: bool,
}

impl DoubtfulOrder {
    /// Whether an engine in this state has taken it or can take it no more.
    fn is_resolved_by(&self, state: &EngineOrders) -> bool {
        state.incarnation != self.order.incarnation || last_id(state) != self.order.follows
    }
}

/// What a controller knows of one engine under one epoch.
#[derive(Clone, Debug)]
pub(crate) struct EngineControl {
    /// Order state read under the epoch; `None` until the engine is fenced.
    state: Option<EngineOrders>,
    /// The call whose answer is awaited.
    awaiting: Option<CallId>,
    /// The order that was sent last, until its fate is known.
    doubtful: Option<DoubtfulOrder>,
    /// Not to be called before this time.
    not_before: MonotonicTime,
    /// Number of the next order under the epoch.
    next_number: u64,
    /// When it last answered, or the epoch was granted.
    heard_at: MonotonicTime,
    /// The drain before an order that interrupts service.
    drain: Option<Drain>,
}

impl EngineControl {
    /// An engine that was not read yet.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            state: None,
            awaiting: None,
            doubtful: None,
            not_before: now,
            next_number: 0,
            heard_at: now,
            drain: None,
        }
    }

    /// Whether the engine is to take no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Goes on with the drain before `command`; yields whether it may be given now. One that is in
    /// doubt was given before and may be given again.
    pub(crate) fn drained_for(&mut self, command: &OrderCommand) -> bool {
        let doubtful = self.doubtful.as_ref();
        if doubtful.is_some_and(|one| one.order.command == *command) {
            return true;
        }
        self.drain.get_or_insert_default().is_done()
    }

    /// Ends the drain: no order that interrupts service is to be given. While one is in doubt the
    /// engine may still take it, so it goes on taking no new work.
    pub(crate) fn stop_drain(&mut self) {
        if self.doubtful.is_none() {
            self.drain = None;
        }
    }

    /// Order state, where it was read under the epoch.
    pub(crate) fn state(&self) -> Option<&EngineOrders> {
        self.state.as_ref()
    }

    /// Whether a call may be made at `now`.
    pub(crate) fn may_call(&self, now: MonotonicTime) -> bool {
        self.awaiting.is_none() && now >= self.not_before
    }

    /// Notes that a call was made.
    pub(crate) fn called(&mut self, call: CallId) {
        self.awaiting = Some(call);
    }

    /// The order that carries `command` out: the one in doubt again, if it is the same command,
    /// since an engine runs an order once however often it is given; else a new one.
    pub(crate) fn order(
        &mut self,
        epoch: Epoch,
        revision: Revision,
        command: OrderCommand,
    ) -> Option<Order> {
        let state = self.state.as_ref()?;
        if let Some(doubtful) = &self.doubtful
            && doubtful.order.command == command
        {
            return Some(doubtful.order.clone());
        }
        let number = self.next_number;
        self.next_number += 1;
        let order = Order {
            id: OrderId { epoch, number },
            follows: last_id(state),
            incarnation: state.incarnation,
            revision,
            command,
        };
        let interrupted = self.doubtful.as_ref().is_some_and(|one| one.interrupts);
        let interrupts = interrupted || interrupts_service(state, &order.command);
        self.doubtful = Some(DoubtfulOrder {
            order: order.clone(),
            interrupts,
        });
        Some(order)
    }

    /// Whether an order is in doubt while the engine's state is known.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.doubtful.is_some() && self.state.is_some() && self.awaiting.is_none()
    }

    /// Whether the last order is unfinished.
    pub(crate) fn is_busy(&self) -> bool {
        let last = self.state.as_ref().and_then(|state| state.last.as_ref());
        last.is_some_and(|last| last.phase == OrderPhase::Running)
    }

    /// Whether the engine is out of service for an order, may be, or drains for one: an engine that
    /// was not read under the epoch may hold any order of an earlier holder.
    pub(crate) fn may_be_changing(&self, now: MonotonicTime) -> bool {
        let Some(state) = &self.state else {
            return now.since(self.heard_at) < SILENT_ENGINE_LIMIT;
        };
        let last = state.last.as_ref();
        let running = last.filter(|last| last.phase == OrderPhase::Running);
        self.drain.is_some()
            || running.is_some_and(|last| interrupts_service(state, &last.order.command))
            || self.doubtful.as_ref().is_some_and(|one| one.interrupts)
    }

    /// Takes an answer to an order or to a raised epoch. One to another call than the awaited is
    /// dropped: it is late or repeated.
    pub(crate) fn answered(
        &mut self,
        now: MonotonicTime,
        call: CallId,
        epoch: Epoch,
        outcome: &OrderOutcome,
    ) {
        if self.awaiting != Some(call) {
            return;
        }
        self.read(now, call, epoch, outcome.state());
        if !matches!(outcome, OrderOutcome::Accepted { .. }) {
            self.not_before = now + CALL_PAUSE;
        }
        if matches!(outcome, OrderOutcome::Impossible { .. }) {
            self.doubtful = None;
        }
    }

    /// Takes an order state that was read.
    pub(crate) fn read(
        &mut self,
        now: MonotonicTime,
        call: CallId,
        epoch: Epoch,
        state: &EngineOrders,
    ) {
        if self.awaiting != Some(call) {
            return;
        }
        self.awaiting = None;
        self.heard_at = now;
        // A restarted engine has forgotten the epoch: it must be fenced again.
        self.state = (state.highest_epoch == epoch).then(|| state.clone());
        if self
            .doubtful
            .as_ref()
            .is_some_and(|one| one.is_resolved_by(state))
        {
            self.doubtful = None;
        }
        if let Some(last) = &state.last {
            if last.phase != OrderPhase::Done {
                self.not_before = now + CALL_PAUSE;
            }
            if last.order.id.epoch == epoch {
                self.next_number = self.next_number.max(last.order.id.number + 1);
            }
        }
    }

    /// The awaited answer did not come: whether an order was taken is unknown until the engine is
    /// read again.
    pub(crate) fn failed(&mut self, now: MonotonicTime, call: CallId) {
        if self.awaiting != Some(call) {
            return;
        }
        self.awaiting = None;
        self.state = None;
        self.not_before = now + CALL_PAUSE;
    }

    /// Takes a load report in.
    pub(crate) fn reported(&mut self, now: MonotonicTime, seen: &EngineObservation) {
        if let Some(drain) = &mut self.drain {
            drain.reported(now, seen.requests);
        }
        if self.is_busy() && seen.role.is_some() {
            // It serves again: its order is done, or is one that leaves it in service.
            self.not_before = self.not_before.min(now);
        }
    }

    /// The engine was seen in a run. If that is not the run whose state is known, it is to be
    /// fenced and read again.
    pub(crate) fn seen_in_run(&mut self, incarnation: Incarnation) {
        let known = self.state.as_ref().map(|state| state.incarnation);
        if known.is_some_and(|known| known < incarnation) {
            self.state = None;
        }
    }
}

fn last_id(state: &EngineOrders) -> Option<OrderId> {
    state.last.as_ref().map(|last| last.order.id)
}

//! A controller's view of one engine.

use std::time::Duration;

use dalestand_types::{
    EngineOrders, Epoch, Incarnation, MonotonicTime, Order, OrderCommand, OrderId, OrderOutcome,
    OrderPhase, Revision,
};

use crate::action::CallId;
use crate::controller::EngineObservation;
use crate::drain::{Drain, interrupts_service};

/// Delay before the next call to an engine that did not answer, rejected a call or is executing an order.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An engine that has not answered for this long counts as failed, and no longer as possibly changing
/// its role. Longer than a role change including its drain.
const UNRESPONSIVE_ENGINE_TIMEOUT: Duration = Duration::from_secs(120);

/// An order without an answer, which the engine may have accepted or may still accept.
#[derive(Clone, Debug)]
struct InDoubtOrder {
    order: Order,
    /// Whether this order, or an in-doubt order that it replaced, interrupts service.
    interrupts: bool,
}

impl InDoubtOrder {
    /// Whether `state` shows that the engine has accepted the order or can no longer accept it.
    fn is_resolved_by(&self, state: &EngineOrders) -> bool {
        state.incarnation != self.order.incarnation || last_id(state) != self.order.follows
    }
}

/// A controller's view of one engine under one epoch.
#[derive(Clone, Debug)]
pub(crate) struct EngineControl {
    /// Order state read under the epoch; `None` until the engine is fenced.
    state: Option<EngineOrders>,
    /// Call whose answer is pending.
    pending_call: Option<CallId>,
    /// Last order sent, until its outcome is known.
    in_doubt: Option<InDoubtOrder>,
    /// Earliest time of the next call.
    not_before: MonotonicTime,
    /// Number of the next order under the epoch.
    next_number: u64,
    /// Time of the last answer, or of the grant of the epoch.
    last_answer_at: MonotonicTime,
    /// Drain before an order that interrupts service.
    drain: Option<Drain>,
}

impl EngineControl {
    /// An engine whose state has not been read.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            state: None,
            pending_call: None,
            in_doubt: None,
            not_before: now,
            next_number: 0,
            last_answer_at: now,
            drain: None,
        }
    }

    /// Whether the engine should get no new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Starts or continues the drain before `command`. Returns whether the command may be sent now. An
    /// in-doubt order was sent after a drain and may be sent again.
    pub(crate) fn continue_drain(&mut self, command: &OrderCommand) -> bool {
        let in_doubt = self.in_doubt.as_ref();
        if in_doubt.is_some_and(|in_doubt| in_doubt.order.command == *command) {
            return true;
        }
        self.drain.get_or_insert_default().is_done()
    }

    /// Ends the drain, unless an order is in doubt: the engine may still accept it.
    pub(crate) fn stop_drain(&mut self) {
        if self.in_doubt.is_none() {
            self.drain = None;
        }
    }

    /// Order state, if read under the epoch.
    pub(crate) fn state(&self) -> Option<&EngineOrders> {
        self.state.as_ref()
    }

    pub(crate) fn may_call(&self, now: MonotonicTime) -> bool {
        self.pending_call.is_none() && now >= self.not_before
    }

    pub(crate) fn record_call(&mut self, call: CallId) {
        self.pending_call = Some(call);
    }

    /// Returns the order for `command`: the in-doubt order if it has the same command, since an engine
    /// executes an order only once, or else a new one.
    pub(crate) fn next_order(
        &mut self,
        epoch: Epoch,
        revision: Revision,
        command: OrderCommand,
    ) -> Option<Order> {
        let state = self.state.as_ref()?;
        if let Some(in_doubt) = &self.in_doubt
            && in_doubt.order.command == command
        {
            return Some(in_doubt.order.clone());
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
        let replaced_interrupts = self
            .in_doubt
            .as_ref()
            .is_some_and(|in_doubt| in_doubt.interrupts);
        let interrupts = replaced_interrupts || interrupts_service(state, &order.command);
        self.in_doubt = Some(InDoubtOrder {
            order: order.clone(),
            interrupts,
        });
        Some(order)
    }

    /// Whether an order is in doubt although the engine's state is known and no answer is pending.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.in_doubt.is_some() && self.state.is_some() && self.pending_call.is_none()
    }

    /// Whether the engine is executing its last order.
    pub(crate) fn is_executing(&self) -> bool {
        let last = self.state.as_ref().and_then(|state| state.last.as_ref());
        last.is_some_and(|last| last.phase == OrderPhase::Running)
    }

    /// Whether the engine is draining or is or may be out of service for an order. An engine that was not
    /// read under the epoch may be executing any order of an earlier holder.
    pub(crate) fn may_be_changing(&self, now: MonotonicTime) -> bool {
        let Some(state) = &self.state else {
            return now.since(self.last_answer_at) < UNRESPONSIVE_ENGINE_TIMEOUT;
        };
        let last = state.last.as_ref();
        let running = last.filter(|last| last.phase == OrderPhase::Running);
        self.drain.is_some()
            || running.is_some_and(|last| interrupts_service(state, &last.order.command))
            || self
                .in_doubt
                .as_ref()
                .is_some_and(|in_doubt| in_doubt.interrupts)
    }

    /// Applies the answer to an order or a raised epoch. An answer to any call but the pending one is late
    /// or duplicate and is ignored.
    pub(crate) fn apply_outcome(
        &mut self,
        now: MonotonicTime,
        call: CallId,
        epoch: Epoch,
        outcome: &OrderOutcome,
    ) {
        if self.pending_call != Some(call) {
            return;
        }
        self.apply_state(now, call, epoch, outcome.state());
        if !matches!(outcome, OrderOutcome::Accepted { .. }) {
            self.not_before = now + CALL_RETRY_DELAY;
        }
        if matches!(outcome, OrderOutcome::Impossible { .. }) {
            self.in_doubt = None;
        }
    }

    pub(crate) fn apply_state(
        &mut self,
        now: MonotonicTime,
        call: CallId,
        epoch: Epoch,
        state: &EngineOrders,
    ) {
        if self.pending_call != Some(call) {
            return;
        }
        self.pending_call = None;
        self.last_answer_at = now;
        // A restarted engine no longer has the epoch and must be fenced again.
        self.state = (state.highest_epoch == epoch).then(|| state.clone());
        if self
            .in_doubt
            .as_ref()
            .is_some_and(|in_doubt| in_doubt.is_resolved_by(state))
        {
            self.in_doubt = None;
        }
        if let Some(last) = &state.last {
            if last.phase != OrderPhase::Done {
                self.not_before = now + CALL_RETRY_DELAY;
            }
            if last.order.id.epoch == epoch {
                self.next_number = self.next_number.max(last.order.id.number + 1);
            }
        }
    }

    /// Records that the pending answer did not arrive. Whether an order was accepted is unknown until the
    /// engine's state is read again.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, call: CallId) {
        if self.pending_call != Some(call) {
            return;
        }
        self.pending_call = None;
        self.state = None;
        self.not_before = now + CALL_RETRY_DELAY;
    }

    pub(crate) fn apply_report(&mut self, now: MonotonicTime, report: &EngineObservation) {
        if let Some(drain) = &mut self.drain {
            drain.apply_report(now, report.requests);
        }
        if self.is_executing() && report.role.is_some() {
            // The engine serves, so its order may be complete: read its state now.
            self.not_before = self.not_before.min(now);
        }
    }

    /// Discards the engine's state if it has restarted, so that it is fenced and read again.
    pub(crate) fn observe_incarnation(&mut self, incarnation: Incarnation) {
        let known = self.state.as_ref().map(|state| state.incarnation);
        if known.is_some_and(|known| known < incarnation) {
            self.state = None;
        }
    }
}

fn last_id(state: &EngineOrders) -> Option<OrderId> {
    state.last.as_ref().map(|last| last.order.id)
}

//! How much of a connection is read, so that what a peer sends is not held in memory before anything needs it.
//!
//! The HTTP library reads ahead into buffers of its own. The server grants it bytes instead: those of a head, then those of a
//! body as fast as it is taken, then a few beyond, which show that the peer has closed the connection.

use std::cell::{Cell, RefCell};
use std::future::{Future as _, pending};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use actix_rt::time::{Sleep, sleep};
use dalestand_request_bodies::Displaced;
use tokio::sync::Notify;

/// Bytes that are read before other connections have their turn.
const TURN_BYTES: usize = 4 << 10;

/// Bytes that are read beyond a request while it is being served.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Bytes beyond a head that may be read with it.
const BEYOND_HEAD_BYTES: usize = 4 << 10;

/// Bytes of an unwanted body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// After an answer to a request whose body has not arrived completely, the connection is read for this time at most before it
/// is closed. Closing it with unread bytes would reset it, which discards the answer on its way and fails the caller's
/// writes.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection that is delayed by less gives no way to others.
const MIN_DELAY: Duration = Duration::from_secs(1);

/// Time at the same head or body counts this much less than time without any bytes.
const PHASE_WEIGHT: u32 = 3;

/// What a connection is read for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The head of a request.
    #[default]
    Head,
    /// The body of a request, as far as it is wanted.
    Body,
    /// What follows a request that is being served.
    ReadAhead,
    /// The rest of a body that is not wanted.
    Discard,
}

/// What may be read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// At most this number of bytes.
    Read(usize),
    /// Nothing more: the head is too long.
    HeadTooLong,
    /// Nothing more: the connection has been read for long enough.
    Over,
}

/// Grants of one connection. Clones share them.
#[derive(Clone)]
pub(crate) struct Intake(Rc<State>);

struct State {
    phase: Cell<Phase>,
    /// Bytes that may still be read.
    granted: Cell<usize>,
    /// Bytes read in this turn.
    read_in_turn: Cell<usize>,
    max_head_bytes: Rc<Cell<usize>>,
    /// When bytes arrived last, or the phase began.
    active_at: Cell<Instant>,
    phase_since: Cell<Instant>,
    is_displaced: Cell<bool>,
    /// Whether nothing more may be read.
    is_over: Cell<bool>,
    displaced: Notify,
    /// Ends the discarding of an unwanted body.
    linger: RefCell<Option<Pin<Box<Sleep>>>>,
    waiting: RefCell<Option<Waker>>,
}

impl Intake {
    /// A connection of which a head of at most `max_head_bytes` is read first.
    pub(crate) fn new(max_head_bytes: Rc<Cell<usize>>) -> Self {
        Self(Rc::new(State {
            phase: Cell::default(),
            granted: Cell::new(max_head_bytes.get() + BEYOND_HEAD_BYTES),
            read_in_turn: Cell::default(),
            max_head_bytes,
            active_at: Cell::new(Instant::now()),
            phase_since: Cell::new(Instant::now()),
            is_displaced: Cell::default(),
            is_over: Cell::default(),
            displaced: Notify::new(),
            linger: RefCell::default(),
            waiting: RefCell::default(),
        }))
    }

    /// What may be read now.
    pub(crate) fn poll(&self, context: &mut Context<'_>) -> Poll<Permission> {
        let state = &self.0;
        if state.read_in_turn.get() >= TURN_BYTES {
            state.read_in_turn.set(0);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if state.is_over.get() {
            return Poll::Ready(Permission::Over);
        }
        if let Some(linger) = &mut *state.linger.borrow_mut()
            && linger.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Permission::Over);
        }
        match (state.granted.get(), state.phase.get()) {
            (0, Phase::Head) => Poll::Ready(Permission::HeadTooLong),
            (0, _) => {
                state.read_in_turn.set(0);
                state.waiting.replace(Some(context.waker().clone()));
                Poll::Pending
            }
            (granted, _) => {
                let turn = TURN_BYTES - state.read_in_turn.get();
                Poll::Ready(Permission::Read(granted.min(turn)))
            }
        }
    }

    /// Records a read; `None` if there was nothing to read.
    pub(crate) fn record_read(&self, bytes: Option<usize>) {
        let state = &self.0;
        match bytes {
            Some(bytes) => {
                state.active_at.set(Instant::now());
                state.read_in_turn.set(state.read_in_turn.get() + bytes);
                state.granted.set(state.granted.get().saturating_sub(bytes));
            }
            None => state.read_in_turn.set(0),
        }
    }

    /// Reads some more of a body, which is wanted.
    pub(crate) fn read_body(&self) {
        self.grant(Phase::Body, TURN_BYTES);
    }

    /// Reads a little of what follows a request, which has been received.
    pub(crate) fn read_ahead(&self) {
        self.grant(Phase::ReadAhead, READ_AHEAD_BYTES);
    }

    /// Whether the request that is being served has been received.
    pub(crate) fn is_received(&self) -> bool {
        self.0.phase.get() == Phase::ReadAhead
    }

    /// Reads the next request, unless the rest of a body is being discarded.
    pub(crate) fn read_head(&self) {
        if self.0.phase.get() != Phase::Discard {
            let bytes = self.0.max_head_bytes.get() + BEYOND_HEAD_BYTES;
            self.grant(Phase::Head, bytes);
        }
    }

    /// Discards the rest of a body, within bounds.
    pub(crate) fn discard(&self) {
        let linger = Box::pin(sleep(LINGER_TIMEOUT));
        self.0.linger.replace(Some(linger));
        self.grant(Phase::Discard, MAX_DISCARDED_BYTES);
    }

    /// How far the connection is behind those that serve their peers: longer for one that is quiet, or has been at the same head
    /// or body for long. `None` while a request is being served or none has been delayed.
    pub(crate) fn delay(&self, now: Instant) -> Option<Duration> {
        let state = &self.0;
        if state.phase.get() == Phase::ReadAhead || state.is_displaced.get() {
            return None;
        }
        let quiet = now.saturating_duration_since(state.active_at.get());
        let in_phase = now.saturating_duration_since(state.phase_since.get());
        let delay = quiet.max(in_phase / PHASE_WEIGHT);
        (delay >= MIN_DELAY).then_some(delay)
    }

    /// Ends the connection in favour of another, with an answer if a request has begun to arrive.
    pub(crate) fn displace(&self) {
        self.0.is_displaced.set(true);
        // It has its answer.
        self.0.is_over.set(self.0.phase.get() == Phase::Discard);
        self.0.displaced.notify_waiters();
        if let Some(waker) = self.0.waiting.take() {
            waker.wake();
        }
    }

    async fn displaced(&self) -> Displaced {
        while !self.0.is_displaced.get() {
            self.0.displaced.notified().await;
        }
        Displaced
    }

    fn grant(&self, phase: Phase, bytes: usize) {
        let state = &self.0;
        if state.phase.replace(phase) != phase {
            let now = Instant::now();
            state.active_at.set(now);
            state.phase_since.set(now);
        }
        state.granted.set(bytes);
        if let Some(waker) = state.waiting.take() {
            waker.wake();
        }
    }
}

/// Completes when the connection must end in favour of another; never for a request that came over none.
pub(crate) async fn displaced(intake: Option<&Intake>) -> Displaced {
    match intake {
        Some(intake) => intake.displaced().await,
        None => pending().await,
    }
}

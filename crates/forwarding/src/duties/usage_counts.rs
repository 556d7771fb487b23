//! Requests by tenant that engines began: counted at each node, sent to the holder of the lease.

use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dalestand_dissemination::{NodeNumber, UsageReport};
use dalestand_duties::{
    NodeIncarnation, ReportTiming, TenantCounts, UsageCounters, UsageLedger, UsageWindows,
    WallClock, WindowIndex,
};
use dalestand_routes::Caller;
use dalestand_types::MonotonicTime;

use crate::node::settings::UsageSettings;

/// Longest time between two messages to the holder.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the end of a window at which its last counts are sent.
const AFTER_WINDOW: Duration = Duration::from_millis(50);

/// Time after the end of a window until the holder has what nodes counted in it: their last message
/// and its repetition, with the time of a datagram.
const SETTLE: Duration = Duration::from_millis(1_400);

/// What this node counted, and as the holder of the lease what others did.
pub(crate) struct UsageCounts {
    terms: Option<ReportTiming>,
    pub(super) origin: NodeIncarnation,
    wall_clock: RefCell<WallClock>,
    pub(super) counters: RefCell<UsageCounters>,
    pub(super) ledger: RefCell<UsageLedger>,
    /// Requests counted, for the metrics.
    counted: Cell<u64>,
}

impl UsageCounts {
    /// Counts of a node that starts now; nothing is counted without `settings`.
    pub(crate) fn new(node: NodeNumber, settings: Option<UsageSettings>) -> Self {
        let terms = settings.map(|settings| ReportTiming {
            windows: UsageWindows::new(settings.window),
            settle_delay: SETTLE,
            deadline: settings.report_deadline,
        });
        Self {
            terms,
            origin: NodeIncarnation {
                node: node.0,
                incarnation: rand::random(),
            },
            wall_clock: RefCell::new(WallClock::new(MonotonicTime::ZERO, unix_time())),
            counters: RefCell::default(),
            ledger: RefCell::default(),
            counted: Cell::new(0),
        }
    }

    /// When reports are made; `None` where none are asked for.
    pub(crate) fn timing(&self) -> Option<ReportTiming> {
        self.terms
    }

    /// Time since the start of 1970, without jumps of the system's clock.
    pub(crate) fn unix_time(&self, now: MonotonicTime) -> Duration {
        self.wall_clock.borrow().at(now)
    }

    /// Notes the system's time of day.
    pub(super) fn observe_clock(&self, now: MonotonicTime) {
        self.wall_clock.borrow_mut().observe(now, unix_time());
    }

    /// Counts a request that an engine began.
    pub(crate) fn count(&self, now: MonotonicTime, caller: &Caller) {
        let (Some(terms), Some(tenant)) = (self.terms, caller.tenant()) else {
            return;
        };
        let window = terms.windows.at(self.unix_time(now));
        self.counters.borrow_mut().count(window, &tenant.name);
        self.counted.set(self.counted.get() + 1);
    }

    /// Requests counted since the start.
    pub(crate) fn counted_requests(&self) -> u64 {
        self.counted.get()
    }

    /// Takes in what another node counted.
    pub(crate) fn merge_report(&self, report: UsageReport) {
        if self.terms.is_some() {
            let mut ledger = self.ledger.borrow_mut();
            ledger.merge(report.origin, report.windows);
        }
    }

    /// All requests of a window that are known here, this node's own among them.
    pub(crate) fn total(&self, window: WindowIndex) -> TenantCounts {
        let changed = self.counters.borrow_mut().take_changed();
        let mut ledger = self.ledger.borrow_mut();
        ledger.merge(self.origin, changed);
        ledger.total(window)
    }

    /// Forgets windows that can no longer be reported.
    pub(super) fn remove_expired(&self, now: MonotonicTime) {
        let Some(terms) = self.terms else { return };
        let oldest = self.unix_time(now).saturating_sub(terms.deadline);
        let window = terms.windows.at(oldest);
        self.counters.borrow_mut().remove_before(window);
        self.ledger.borrow_mut().remove_before(window);
    }

    /// Time until the next message: the end of the window, if it comes before.
    pub(super) fn time_to_next_send(&self, now: MonotonicTime, terms: ReportTiming) -> Duration {
        let unix_time = self.unix_time(now);
        let end = terms.windows.end(terms.windows.at(unix_time));
        (end.saturating_sub(unix_time) + AFTER_WINDOW).min(SEND_INTERVAL)
    }
}

/// Time since the start of 1970, as the system says.
pub(crate) fn unix_time() -> Duration {
    // A clock before 1970 is as good as one that stands at its beginning: windows are wrong.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

//! Counts started requests by tenant at each node, for the lease holder.

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

/// Maximum time between two messages to the lease holder.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after the end of a window before its last counts are sent.
const WINDOW_END_DELAY: Duration = Duration::from_millis(50);

/// Time after the end of a window until the lease holder has all counts of it: the last message of each
/// node and its repetition, plus the network delay.
const SETTLE_DELAY: Duration = Duration::from_millis(1_400);

/// Counts of this node and, at the lease holder, those of the other nodes.
pub(crate) struct UsageCounts {
    timing: Option<ReportTiming>,
    pub(super) origin: NodeIncarnation,
    wall_clock: RefCell<WallClock>,
    pub(super) counters: RefCell<UsageCounters>,
    pub(super) ledger: RefCell<UsageLedger>,
    /// Number of requests counted since the start, for the metrics.
    counted: Cell<u64>,
}

impl UsageCounts {
    /// Creates empty counts; without `settings`, nothing is counted.
    pub(crate) fn new(node: NodeNumber, settings: Option<UsageSettings>) -> Self {
        let timing = settings.map(|settings| ReportTiming {
            windows: UsageWindows::new(settings.window),
            settle_delay: SETTLE_DELAY,
            deadline: settings.report_deadline,
        });
        Self {
            timing,
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

    /// Timing of usage reports; `None` if the platform wants none.
    pub(crate) fn timing(&self) -> Option<ReportTiming> {
        self.timing
    }

    /// Unix time, without short-lived jumps of the system clock.
    pub(crate) fn unix_time(&self, now: MonotonicTime) -> Duration {
        self.wall_clock.borrow().at(now)
    }

    /// Compares the wall clock with the system clock.
    pub(super) fn observe_clock(&self, now: MonotonicTime) {
        self.wall_clock.borrow_mut().observe(now, unix_time());
    }

    /// Counts a request that an engine started.
    pub(crate) fn count(&self, now: MonotonicTime, caller: &Caller) {
        let (Some(timing), Some(tenant)) = (self.timing, caller.tenant()) else {
            return;
        };
        let window = timing.windows.at(self.unix_time(now));
        self.counters.borrow_mut().count(window, &tenant.name);
        self.counted.set(self.counted.get() + 1);
    }

    /// Number of requests counted since the start.
    pub(crate) fn counted_requests(&self) -> u64 {
        self.counted.get()
    }

    /// Merges the counts of another node.
    pub(crate) fn merge_report(&self, report: UsageReport) {
        if self.timing.is_some() {
            let mut ledger = self.ledger.borrow_mut();
            ledger.merge(report.origin, report.windows);
        }
    }

    /// Known requests of a window by tenant, including this node's own.
    pub(crate) fn total(&self, window: WindowIndex) -> TenantCounts {
        let changed = self.counters.borrow_mut().take_changed();
        let mut ledger = self.ledger.borrow_mut();
        ledger.merge(self.origin, changed);
        ledger.total(window)
    }

    /// Removes windows that can no longer be reported.
    pub(super) fn remove_expired(&self, now: MonotonicTime) {
        let Some(timing) = self.timing else { return };
        let oldest = self.unix_time(now).saturating_sub(timing.deadline);
        let window = timing.windows.at(oldest);
        self.counters.borrow_mut().remove_before(window);
        self.ledger.borrow_mut().remove_before(window);
    }

    /// Time until the next message to the lease holder; one is always sent after a window ends.
    pub(super) fn time_to_next_send(&self, now: MonotonicTime, timing: ReportTiming) -> Duration {
        let unix_time = self.unix_time(now);
        let end = timing.windows.end(timing.windows.at(unix_time));
        (end.saturating_sub(unix_time) + WINDOW_END_DELAY).min(SEND_INTERVAL)
    }
}

/// Unix time of the system clock.
pub(crate) fn unix_time() -> Duration {
    // A system clock before 1970 reads as 0; windows are wrong either way.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

//! Reports the usage of each window to the platform, at the lease holder.

use std::rc::Rc;
use std::time::Duration;

use dalestand_duties::{ReportSchedule, WindowIndex, WindowReport};
use dalestand_edge::KeyValue;
use dalestand_edge::duty_calls::{DutyAuthority, DutyCalls, DutyOutcome};
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::duties::outcome_label;
use crate::duties::report_slots::ReportSlots;
use crate::roles::fleet_lease::while_held;
use crate::roles::fleet_lease::{FleetLease, HeldLease};

/// How often the holder checks for windows that are due, and the delay before a failed call is retried;
/// short, as little time is left before the deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of the reporting task.
struct Reporter {
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    fleet_lease: FleetLease,
    schedule: ReportSchedule,
    slots: ReportSlots,
}

/// Reports windows while this node holds the lease; never returns unless usage is not counted.
pub(crate) async fn report_usage(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    fleet_lease: FleetLease,
) {
    let Some(timing) = context.usage.timing() else {
        return;
    };
    let mut reporter = Reporter {
        context,
        store,
        calls,
        fleet_lease,
        schedule: ReportSchedule::new(timing),
        slots: ReportSlots::new(timing),
    };
    let mut held: Option<HeldLease> = None;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let now = reporter.context.now();
        let active = reporter.fleet_lease.active(now);
        if active.map(|lease| lease.token) != held.map(|lease| lease.token) {
            // Another holder may have reported windows meanwhile.
            reporter.schedule = ReportSchedule::new(timing);
            reporter.slots = ReportSlots::new(timing);
        }
        held = active;
        if active.is_some() {
            reporter.report_due().await;
        }
    }
}

impl Reporter {
    /// Reports the windows that are due, oldest first, until a call fails.
    async fn report_due(&mut self) {
        loop {
            let unix_time = self.context.usage.unix_time(self.context.now());
            if let Some(oldest) = self.schedule.oldest_reportable(unix_time) {
                self.schedule.remove_before(oldest);
            }
            let Some(window) = self.schedule.due(unix_time) else {
                return;
            };
            if !self.report(window).await {
                return;
            }
        }
    }

    /// Reports one window; returns whether nothing is left to do for it.
    async fn report(&mut self, window: WindowIndex) -> bool {
        let frozen = match self.schedule.frozen(window).cloned() {
            Some(report) => Some(report),
            None => match self.freeze(window).await {
                Ok(report) => report,
                Err(()) => return false,
            },
        };
        let Some(report) = frozen else {
            self.schedule.mark_done(window);
            return true;
        };
        self.send(&report).await
    }

    async fn freeze(&mut self, window: WindowIndex) -> Result<Option<WindowReport>, ()> {
        let counts = self.context.usage.total(window);
        let report = WindowReport { window, counts };
        let frozen = self.slots.freeze(&*self.store, report).await;
        match frozen {
            Ok(Some(report)) => {
                self.schedule.record_frozen(report.clone());
                Ok(Some(report))
            }
            Ok(None) => Ok(None),
            Err(error) => {
                log_event!(self.context.logger, Event::UsageReportFailed, "window" => window.0,
                    "step" => "write", "error" => %error.current_context());
                Err(())
            }
        }
    }

    async fn send(&mut self, report: &WindowReport) -> bool {
        // Checked right before the call: the lease may have ended during the write.
        let Some(held) = self.fleet_lease.active(self.context.now()) else {
            return false;
        };
        let authority = DutyAuthority {
            holder: self.context.settings.node.as_str(),
            token: held.token,
        };
        let window = report.window;
        let sent = self.calls.report_usage(authority, report);
        let now = || self.context.now();
        let answered = while_held(&self.fleet_lease, held.token, now, sent).await;
        let Some(answered) = answered else {
            return false;
        };
        let metrics = &self.context.metrics;
        metrics.duty_call("usage", outcome_label(&answered));
        match answered {
            Ok(DutyOutcome::Accepted) => {
                self.schedule.mark_done(window);
                log_event!(self.context.logger, Event::UsageReported, "window" => window.0,
                    "token" => held.token, "tenants" => report.counts.len(),
                    "requests" => report.counts.values().sum::<u64>());
                true
            }
            Ok(DutyOutcome::Refused) => {
                log_event!(self.context.logger, Event::DutyRefused, "duty" => "usage",
                    "token" => held.token, "window" => window.0);
                self.fleet_lease.relinquish(held.token);
                false
            }
            Err(error) => {
                log_event!(self.context.logger, Event::UsageReportFailed, "window" => window.0,
                    "step" => "send", "error" => %error.current_context());
                false
            }
        }
    }
}

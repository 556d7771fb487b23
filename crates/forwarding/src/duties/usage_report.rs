//! The holder of the lease reports the usage of each window, once.

use std::rc::Rc;
use std::time::Duration;

use dalestand_duties::{ReportSchedule, WindowIndex, WindowReport};
use dalestand_edge::KeyValue;
use dalestand_edge::duty_calls::{DutyAuthority, DutyCalls, DutyOutcome};
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::duties::outcome_label;
use crate::duties::report_slots::ReportSlots;
use crate::roles::authority::while_held;
use crate::roles::authority::{Authority, Mandate};

/// How often the holder looks for windows that are due. It is also the pause after a failed call:
/// of the time in which a report must be made some seconds are left at most.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// What a holder needs to report.
struct Reporter {
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    authority: Authority,
    schedule: ReportSchedule,
    slots: ReportSlots,
}

/// Reports windows while this node holds the lease, for as long as it is polled.
pub(crate) async fn report_usage(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    authority: Authority,
) {
    let Some(terms) = context.usage.terms() else {
        return;
    };
    let mut reporter = Reporter {
        context,
        store,
        calls,
        authority,
        schedule: ReportSchedule::new(terms),
        slots: ReportSlots::new(terms),
    };
    let mut held: Option<Mandate> = None;
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let now = reporter.context.now();
        let mandate = reporter.authority.mandate(now);
        if mandate.map(|mandate| mandate.token) != held.map(|mandate| mandate.token) {
            // What another holder reported meanwhile is not known here.
            reporter.schedule = ReportSchedule::new(terms);
            reporter.slots = ReportSlots::new(terms);
        }
        held = mandate;
        if mandate.is_some() {
            reporter.report_due().await;
        }
    }
}

impl Reporter {
    /// Reports the windows that are due, the oldest first, until a call fails.
    async fn report_due(&mut self) {
        loop {
            let unix_time = self.context.usage.unix_time(self.context.now());
            if let Some(oldest) = self.schedule.oldest_in_time(unix_time) {
                self.schedule.forget_before(oldest);
            }
            let Some(window) = self.schedule.due(unix_time) else {
                return;
            };
            if !self.report(window).await {
                return;
            }
        }
    }

    /// Reports one window; whether it is done with.
    async fn report(&mut self, window: WindowIndex) -> bool {
        let frozen = match self.schedule.frozen(window).cloned() {
            Some(report) => Some(report),
            None => match self.freeze(window).await {
                Ok(report) => report,
                Err(()) => return false,
            },
        };
        let Some(report) = frozen else {
            self.schedule.done(window);
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
                self.schedule.freeze(report.clone());
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
        // Looked at again right before the call: the write before it may have taken long.
        let Some(mandate) = self.authority.mandate(self.context.now()) else {
            return false;
        };
        let authority = DutyAuthority {
            holder: self.context.settings.node.as_str(),
            token: mandate.token,
        };
        let window = report.window;
        let sent = self.calls.report_usage(authority, report);
        let now = || self.context.now();
        let answered = while_held(&self.authority, mandate.token, now, sent).await;
        let Some(answered) = answered else {
            return false;
        };
        let metrics = &self.context.metrics;
        metrics.duty_call("usage", outcome_label(&answered));
        match answered {
            Ok(DutyOutcome::Taken) => {
                self.schedule.done(window);
                log_event!(self.context.logger, Event::UsageReported, "window" => window.0,
                    "token" => mandate.token, "tenants" => report.counts.len(),
                    "requests" => report.counts.values().sum::<u64>());
                true
            }
            Ok(DutyOutcome::Refused) => {
                log_event!(self.context.logger, Event::DutyRefused, "duty" => "usage",
                    "token" => mandate.token, "window" => window.0);
                self.authority.give_up(mandate.token);
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

//! Calls to the platform that the holder of the fleet lease makes for the whole fleet: usage reports by
//! tenant ([`usage_report`]) and the number of engines ([`scaling`]).

use dalestand_edge::PlatformError;
use dalestand_edge::duty_calls::DutyOutcome;
use error_stack::Report;

mod report_slots;
pub(crate) mod scaling;
#[cfg(test)]
mod tests;
pub(crate) mod usage_counts;
pub(crate) mod usage_messages;
pub(crate) mod usage_report;

/// Metrics label for the outcome of a call.
fn outcome_label(answered: &Result<DutyOutcome, Report<PlatformError>>) -> &'static str {
    match answered {
        Ok(DutyOutcome::Taken) => "taken",
        Ok(DutyOutcome::Refused) => "refused",
        Err(_) => "failed",
    }
}

//! What one node does for the whole fleet under the lease that [`crate::roles::authority`] keeps: usage
//! reports by tenant ([`usage_report`]) and the number of engines ([`scaling`]).

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

/// How a call came out, for the metrics.
fn outcome_label(answered: &Result<DutyOutcome, Report<PlatformError>>) -> &'static str {
    match answered {
        Ok(DutyOutcome::Accepted) => "taken",
        Ok(DutyOutcome::Refused) => "refused",
        Err(_) => "failed",
    }
}

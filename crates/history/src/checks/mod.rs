//! Checkers, one rule per module.

mod answers;
mod at_most_once;
mod configuration;
mod fencing;
mod leaving_engines;
mod not_run;
mod orders;
mod planned_changes;

pub use answers::answers_are_complete;
pub use at_most_once::at_most_once;
pub use configuration::{configuration_in_force, configuration_never_reverts};
pub use fencing::no_stale_orders;
pub use leaving_engines::no_work_for_leaving_engines;
pub use not_run::refused_requests_did_not_run;
pub use orders::no_conflicting_orders;
pub use planned_changes::no_request_interrupted;

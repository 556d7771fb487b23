//! What one node does for the whole fleet, under its lease: usage reports by tenant.
//!
//! * Each node counts the requests that engines began, by tenant and window of wall-clock time
//!   ([`UsageCounters`]), and sends the counts to the holder of the lease.
//! * The holder merges them ([`UsageLedger`]). Counts only grow, so a message that is repeated or
//!   overtaken changes nothing, and a new holder is brought up to date by sending all again.
//! * Once a window is over, its report is *frozen*: written to the key-value service under a
//!   condition before it is sent, so that a successor sends exactly the same ([`WindowReport`],
//!   [`ReportSchedule`]).
//!
//! Everything here is pure: times come in as values, and nothing is sent.

mod counters;
mod ledger;
mod report;
mod schedule;
mod wall_clock;
mod window;

pub use counters::{TenantCount, UsageCounters, WindowCounts};
pub use ledger::{NodeIncarnation, UsageLedger};
pub use report::{TenantCounts, WindowReport};
pub use schedule::{ReportSchedule, ReportTiming};
pub use wall_clock::WallClock;
pub use window::{UsageWindows, WindowIndex};

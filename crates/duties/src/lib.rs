//! Usage reports by tenant, which the node that holds the fleet lease makes for the whole fleet.
//!
//! * Each node counts the requests that engines started, by tenant and window of wall-clock time
//!   ([`UsageCounters`]), and sends the counts to the holder of the lease.
//! * The holder merges them ([`UsageLedger`]). Counts only grow, so duplicated or reordered messages
//!   change nothing, and nodes bring a new holder up to date by sending all counts again.
//! * Once a window has ended, its report is *frozen*: written to the key-value service by
//!   compare-and-swap before it is sent, so that a later holder sends the same report
//!   ([`WindowReport`], [`ReportSchedule`]).
//!
//! This crate does no I/O: callers pass the time and send the messages.

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

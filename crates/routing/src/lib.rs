//! Engine selection for requests, admission control, tenant limits and retry budgets.
//!
//! Deterministic and without I/O: time and random numbers are passed in, so that nodes and the simulator run the same
//! code.

mod admission;
mod call_counts;
mod choice;
mod class_meter;
mod config;
mod eligible_engines;
mod estimate;
mod figures;
mod learning;
mod node_count;
pub mod overload;
mod prefix;
pub mod reachability;
mod request;
mod retry_budget;
mod router;
mod sample;
mod sent_requests;
pub mod shared_rate;
mod shared_retry_budget;
mod source_sums;
pub mod staged;
mod tenant_limits;
mod timed_counts;
mod unread_calls;
mod view;

pub use admission::aged_priority;
pub use call_counts::{CallCounts, CallOutcome, CallPurpose};
pub use class_meter::{ClassMeter, DecayingRate};
pub use config::RouterConfig;
pub use figures::{ClassFigures, SlownessFigures, TenantCode, TenantFigures, WorkKind, WorkRate};
pub use learning::PriorSpeeds;
pub use node_count::NodeCount;
pub use prefix::{PromptBlock, prompt_blocks};
pub use request::{
    Deadlines, Expected, Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest,
};
pub use retry_budget::{FailedAttempt, FailureKind, RetryBudget, RetryBudgetConfig, RetryDecision};
pub use router::Router;
pub use sent_requests::{Completion, Ticket};
pub use shared_retry_budget::{RepeatedSend, RetryBalance, SharedRetryBudget, SharedRetryLimits};
pub use source_sums::{SourceSums, Summable};
pub use tenant_limits::{TenantDemand, TenantLimits, TenantRule, TenantTotals, summing_node};
pub use unread_calls::UnreadCalls;
pub use view::{EngineView, FleetView};

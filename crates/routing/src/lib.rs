//! Choice of an engine for a request, admission, limits and retry budgets.
//!
//! Pure: time and random numbers come in as arguments, so the node and the simulator run the very
//! same code.

mod admission;
mod call_counts;
mod choice;
mod class_meter;
mod config;
mod estimate;
mod figures;
mod learning;
mod node_count;
mod prefix;
mod request;
mod retry_budget;
pub mod room;
mod router;
mod sample;
pub mod shared_rate;
mod shared_retry_budget;
mod source_sums;
pub mod staged;
mod tenant_limits;
mod track;
mod usables;
mod view;

pub use admission::aged_priority;
pub use call_counts::{CallArrival, CallCounts, CallPurpose};
pub use class_meter::{ClassMeter, FadingRate};
pub use config::RouterConfig;
pub use figures::{ClassFigures, SlownessFigures, TenantCode, TenantFigures, WorkKind, WorkRate};
pub use learning::PriorSpeeds;
pub use node_count::NodeCount;
pub use prefix::{PromptBlock, prompt_blocks};
pub use request::{
    Deadlines, Expected, Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest,
};
pub use retry_budget::{AttemptFate, FailedAttempt, RetryBudget, RetryBudgetConfig, RetryVerdict};
pub use router::Router;
pub use shared_retry_budget::{RepeatedSend, SharedRetryBudget, SharedRetryTerms};
pub use source_sums::{Figures, SourceSums};
pub use tenant_limits::{TenantDemand, TenantLimits, TenantRule, TenantTotals, summing_node};
pub use track::{Completion, Ticket};
pub use view::{EngineView, FleetView};

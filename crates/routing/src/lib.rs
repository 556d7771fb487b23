//! Choice of an engine for a request, admission, limits and retry budgets.
//!
//! Pure: time and random numbers come in as arguments, so the node and the simulator run the very
//! same code.

mod config;
mod estimate;
mod learning;
mod prefix;
mod request;
mod router;
mod sample;
mod track;
mod view;

pub use config::RouterConfig;
pub use learning::PriorSpeeds;
pub use prefix::{PromptBlock, prompt_blocks};
pub use request::{
    Deadlines, Expected, Placement, RouteDecision, RoutePhase, RouteRefusal, RouteRequest,
};
pub use router::Router;
pub use track::{Completion, Ticket};
pub use view::{EngineView, FleetView};

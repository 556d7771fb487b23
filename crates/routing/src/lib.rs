//! Choice of an engine for a request, admission, limits and retry budgets.
//!
//! Pure: time and random numbers come in as arguments, so the node and the simulator run the very
//! same code.

mod router;
mod view;

pub use router::{RouteDecision, RouteRefusal, RouteRequest, Router, RouterConfig};
pub use view::{EngineView, FleetView};

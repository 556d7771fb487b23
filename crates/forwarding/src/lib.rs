//! Serves opaque requests by routes: choice of engines, attempts, retries, streams.
//!
//! * [`serve`]: one request, from its route to the last byte of its answer. Decisions are those of
//!   `dalestand_routing::staged`.
//! * [`fleet`]: engines and nodes, as known from the key-value service and from relays.
//! * [`fleet_sums`]: fleet-wide statistics of pools, tenants and engines.
//! * [`dissemination`]: exchange of fleet-wide state between nodes.
//! * [`roles`]: the lease under which one node acts for all, and the engines' roles.
//! * [`duties`]: what else that node does for all.
//! * [`permits`]: permits for engines with a request rate limit.
//! * [`quarantine`]: requests that crash the engines that run them.
//! * [`node`]: settings, start, reload, stop, figures.
//!
//! The platform's words come in through the traits of `dalestand_edge::routed`.

mod context;
mod dissemination;
mod duties;
mod error;
mod fleet;
mod fleet_sums;
mod node;
mod permits;
mod quarantine;
mod roles;
mod serve;

pub use error::ForwardingError;
pub use fleet::engines::{Fleet, FleetEngine};
pub use node::room_report::{
    ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolRoom, ReportSources,
    RoomReport, TenantDemand,
};
pub use node::settings::{DutySettings, ForwardingSettings, SettingsFault, UsageSettings};
pub use node::start::{ForwardingNode, ReadSettings, run};
pub use quarantine::operator::{release_request, stopped_requests};
pub use serve::event_stream::{EventSplitter, StreamEvent};

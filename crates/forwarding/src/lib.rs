//! Forwards requests to engines by routes: choice of engines, attempts, retries, streams.
//!
//! * [`serve`]: one request, from its route to the last byte of its answer; `dalestand_routing::staged`
//!   chooses the engines.
//! * [`fleet`]: engines and nodes, from the key-value service and relays.
//! * [`fleet_sums`]: figures of pools, tenants and engines, summed over all nodes.
//! * [`detour`]: connections to engines through other nodes, while a node is cut off from all engines.
//! * [`dissemination`]: exchange of fleet-wide state between nodes.
//! * [`roles`]: the fleet lease, under which one node acts for the fleet, and control of engine roles.
//! * [`duties`]: the lease holder's calls to the platform: usage reports and engine counts.
//! * [`permits`]: permits to send requests to engines with a rate limit.
//! * [`quarantine`]: requests that crash the engines that run them.
//! * [`streams`]: the software versions that began streams, so that callers resume them at the same version.
//! * [`node`]: settings, start, reload, stop, metrics and the capacity report.
//!
//! Traits of `dalestand_edge::routed` supply the formats and headers of the platform.

mod context;
mod detour;
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
mod streams;

pub use error::ForwardingError;
pub use fleet::engines::{Fleet, FleetEngine};
pub use node::capacity_report::{
    CapacityReport, ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolCapacity,
    ReportSources, TenantDemand,
};
pub use node::settings::{DutySettings, ForwardingSettings, SettingsFault, UsageSettings};
pub use node::start::{ForwardingNode, ReadSettings, run};
pub use quarantine::operator::{
    ReleasableEntries, held_parts, release_part, release_request, stopped_requests,
};
pub use serve::event_stream::{EventSplitter, StreamEvent};

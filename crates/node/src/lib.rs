//! A node: the caller server and the control plane, on separate arbiters.
//!
//! They share only [`dalestand_gateway::Shared`], so that a stalled control plane does not delay
//! the streams of callers.

mod admin;
mod apply;
mod caller_server;
mod claims;
mod cluster_driver;
mod compact_number;
mod configuration;
mod control_driver;
mod control_plane;
mod desired;
mod digest_codec;
mod drains;
mod engines;
mod error;
mod fleet;
mod lease_service;
mod machines;
mod node;
mod peer_calls;
mod peer_sockets;
mod role_planning;
mod tenant_demand;
mod token_rates;

pub use admin::{
    ApplyRequest, ApplyResponse, ConfigurationResponse, DrainRequest, EngineControlRow,
    EngineExplanation, EngineRow, MemberRow, RequestExplanation, StatusResponse,
};
pub use cluster_driver::LinkFilter;
pub use control_plane::{ControlPlane, ControlPlaneParts, start_control_plane};
pub use error::NodeError;
pub use node::{Listeners, NodeAddresses, run};
pub use peer_sockets::open_peer_sockets;

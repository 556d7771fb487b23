//! Parsing, defaults, validation and diffs of node settings and deployment files.
//!
//! Parsing is all or nothing: it returns either a validated value or every fault found, each with its
//! location and how to correct it.

pub mod deployment;
mod deployment_reader;
mod deployment_validation;
pub mod difference;
pub mod fault;
mod reader;
pub mod settings;

pub use deployment::{
    Adapter, CallerRules, Class, Deployment, Group, Limits, Model, Pool, RoleRules, Tenant,
};
pub use difference::{Change, differences};
pub use fault::{Fault, Faults};
pub use settings::{LogFormat, NodeSettings, PartialSettings};

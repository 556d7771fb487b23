//! Settings of a process and the deployment file of a fleet: parse, defaults, validate, diff.
//!
//! A file is used whole or not at all: parsing yields either a checked value or the list of every
//! fault found, each with its place and what would be right.

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

//! Settings of a process and the deployment file of a fleet: parse, defaults, validate, diff.
//!
//! A file is used whole or not at all: parsing yields either a checked value or the list of every
//! fault found, each with its place and what would be right.

pub mod deployment;
pub mod fault;
pub mod settings;

pub use deployment::{
    Adapter, CallerRules, Class, Deployment, Group, Limits, Model, Pool, RoleRules, Tenant,
};
pub use fault::{Fault, Faults};
pub use settings::{LogFormat, NodeSettings};

//! Test doubles of the external systems: engines, key-value service, machine list.
//!
//! Each is an HTTP server whose faults are set at run time by `POST /faults`. They serve
//! development, tests and measurements, not production.

pub mod engine;
pub mod key_value;
pub mod machine_list;
pub mod rate;

//! Stand-ins of the outside systems: engines, key-value service, machine list.
//!
//! Each runs as a process of its own and has faults that are switched from the outside, by
//! `POST /faults`. They exist for development, tests and measurements.

pub mod engine;
pub mod key_value;
pub mod machine_list;
pub mod rate;

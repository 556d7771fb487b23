//! Quarantine of requests that crash engines: local evidence, evidence of other nodes, and stopped
//! requests.
//!
//! A crashing request may be sent again to any node at any time, so evidence has to outlive the
//! request that produced it and reach all nodes. Nodes send each other new crash records. Relays
//! also repeat the records of stopped requests, for nodes that were disconnected, and the key-value
//! service keeps these records for the case that all nodes restart.

pub(crate) mod engine_end;
mod engine_run_id;
pub(crate) mod evidence;
pub(crate) mod fleet_key;
pub(crate) mod operator;
pub(crate) mod parts;
pub(crate) mod run_watch;
pub(crate) mod state;
pub(crate) mod stopped_entries;
pub(crate) mod trial;

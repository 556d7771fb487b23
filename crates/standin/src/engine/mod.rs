//! Stand-in of a model engine.
//!
//! It batches continuously, takes fenced orders, derives its text from the request (so that a
//! wrong or cut answer is visible), and keeps append-only logs that tests read.

mod batch;
mod cache_routes;
mod exports;
mod faults;
mod generation;
mod lagged;
mod log;
mod orders;
mod outgoing;
mod prefix_cache;
mod server;
mod state;
pub mod text;
mod transfer;

pub use batch::{Batch, BatchSettings};
pub use exports::Exports;
pub use faults::EngineFaults;
pub use lagged::Lagged;
pub use log::{OrderLogEntry, RunLogEntry, RunLogEvent};
pub use orders::EngineOrderState;
pub use prefix_cache::{BLOCK_TOKENS, PrefixCache, prefixes};
pub use server::serve_engine;
pub use state::EngineSettings;

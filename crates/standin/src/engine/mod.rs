//! Test double of a model engine.
//!
//! It batches continuously, accepts fenced orders, derives its output text from the request, so
//! that tests detect a wrong or truncated response, and keeps append-only logs that tests read.

mod batch;
mod cache_routes;
mod delayed_reports;
mod exports;
mod faults;
mod frame_sender;
mod generation;
mod log;
mod orders;
mod prefix_cache;
mod server;
mod state;
pub mod text;
mod transfer;

pub use batch::{Batch, BatchSettings};
pub use delayed_reports::DelayedReports;
pub use exports::CacheExports;
pub use faults::EngineFaults;
pub use log::{OrderLogEntry, RunLogEntry, RunLogEvent};
pub use orders::EngineOrderState;
pub use prefix_cache::{BLOCK_TOKENS, PrefixCache, prefix_hashes};
pub use server::serve_engine;
pub use state::EngineSettings;

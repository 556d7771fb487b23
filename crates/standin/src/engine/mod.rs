//! Stand-in of a model engine.
//!
//! It batches continuously, takes fenced orders, derives its text from the request (so that a
//! wrong or cut answer is visible), and keeps append-only logs that tests read.

mod batch;
mod exports;
mod faults;
mod log;
mod orders;
mod outgoing;
mod server;
pub mod text;
mod transfer;

pub use batch::{Batch, BatchSettings};
pub use exports::Exports;
pub use faults::EngineFaults;
pub use log::{OrderLogEntry, RunLogEntry, RunLogEvent};
pub use orders::OrderBook;
pub use server::{EngineSettings, serve_engine};

//! The outside systems: traits for what they do and one HTTP client for each.
//!
//! The wire format of each system lives in one module under [`wire`]; another format is a change
//! to that module and the client beside it.

mod cache_event;
pub mod duty_calls;
pub mod engine;
pub mod engine_client;
pub mod error;
mod frame_line;
mod http;
pub mod key_value;
pub mod key_value_client;
pub mod machine_list;
pub mod routed;
pub mod unknown_headers;
pub mod wire;

pub use cache_event::{CacheChange, CacheEvent, CacheEvents, PrefixHash};
pub use engine::{AttemptError, Engine, FrameStream};
pub use engine_client::HttpEngine;
pub use error::PlatformError;
pub use key_value::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, ListingPage, WatchBatch, WatchEvent,
    WriteExpectation,
};
pub use key_value_client::HttpKeyValue;
pub use machine_list::{HttpMachineList, MachineList};

//! External systems (engines, the key-value service, the machine list): a trait and an HTTP client
//! for each.
//!
//! The wire format of each system is defined in one module under [`wire`]. Supporting another
//! format means changing that module and the corresponding client.

mod cache_event;
pub mod duty_calls;
pub mod engine;
pub mod engine_client;
pub mod error;
mod frame_line;
mod http;
pub mod http_client;
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
pub use http_client::{HttpCall, HttpCallError, HttpClient, HttpResponse};
pub use key_value::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, ListingPage, UNDECODABLE_VALUE, WatchBatch,
    WatchEvent, WriteExpectation,
};
pub use key_value_client::HttpKeyValue;
pub use machine_list::{HttpMachineList, MachineList};

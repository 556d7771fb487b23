//! Test double of the key-value service.

mod server;
mod store;

pub use server::{KeyValueFaults, serve_key_value};
pub use store::Store;

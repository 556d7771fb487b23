//! Model of several controllers of one group, their engines, the key-value service, and a network that
//! loses, delays, duplicates and reorders messages.

mod faults;
mod key_value;
mod network;
mod services;
mod world;

pub use world::{ENGINES, HOLDERS, Step, World};

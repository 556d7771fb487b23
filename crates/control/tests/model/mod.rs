//! A model of two or three controllers of one group, their engines, the key-value service and a
//! network that loses, delays, repeats and reorders.

mod faults;
mod key_value;
mod network;
mod services;
mod world;

pub use world::{ENGINES, HOLDERS, Step, World};

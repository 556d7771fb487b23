//! Request bodies in memory.
//!
//! [`MemoryAccount`] bounds the bytes of all bodies that a process holds. When the bound is reached, bodies that are still being
//! received give way to others, since their requests have not run. [`Body`] holds the bytes in segments, which are allocated as
//! they arrive, and shares them between all that need them.

mod account;
mod body;
mod ledger;

pub use account::{Displaced, MemoryAccount, NoMemory, Reservation};
pub use body::{Body, BodyBuilder};
pub use ledger::{Owner, SMALL_BODY_BYTES, Usage};

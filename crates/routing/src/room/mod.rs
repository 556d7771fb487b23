//! Room of a pool that is short, kept by all nodes together without a call for each request.
//!
//! Answers a load above what a pool's engines serve, from callers of several priorities and tenants, at nodes that
//! share the engines. [`RoomAccount`] says what is free for this node, [`RoomQueue`] who gets it, [`ReturnSchedule`]
//! when those may come back who get none; [`PoolRoom`] decides by them for one pool.

mod account;
mod order;
mod pool_room;
mod queue;
mod returns;

pub use account::{Fill, PoolLoad, RoomAccount};
pub use order::{Claim, ClassTurns, LEAST_SHARE};
pub use pool_room::{Arrival, PoolRoom, RoomDecision, RoomRequest};
pub use queue::{Ahead, RoomQueue, WaitNumber};
pub use returns::{ReturnBounds, ReturnSchedule, ReturnSlot};

/// Whether a tenant asks for more than its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareStanding {
    /// It is within its share.
    #[default]
    Within,
    /// It is over its share.
    Over,
}

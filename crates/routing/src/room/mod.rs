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
pub mod shares;
pub mod shortage;
pub mod tenant_meters;

pub use account::{Fill, PoolLoad, RoomAccount};
pub use order::{Claim, ClassTurns, LEAST_SHARE};
pub use pool_room::{Arrival, PoolRoom, RoomDecision, RoomRequest};
pub use queue::{Ahead, RoomQueue, WaitNumber};
pub use returns::{ReturnBounds, ReturnSchedule, ReturnSlot};

/// How a request stands against its tenant's fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareStanding {
    /// Its tenant asks for no more than its share, or the request lies within it.
    #[default]
    Within,
    /// It lies beyond its tenant's share.
    Over,
}

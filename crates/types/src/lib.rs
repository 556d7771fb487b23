//! Identifiers, epochs, revisions and the messages that components exchange.
//!
//! Everything here is plain data: no I/O, no clock, no randomness. The node, the simulator and the tests
//! share these types.

pub mod engine_signals;
pub mod generation;
pub mod identifier;
pub mod load;
pub mod machine;
pub mod order;
pub mod role;
pub mod time;

pub use engine_signals::{EngineSignals, LimitSignal, RequestRate};
pub use generation::{
    AttemptId, CacheHandle, FinishReason, GenerationFrame, GenerationRequest, Placement, Priority,
    Refusal, RefusalReason, RequestId, RunState, Usage,
};
pub use identifier::{
    AdapterName, EngineId, Epoch, GroupId, Incarnation, ModelName, NodeId, PoolName, Revision,
    Sequence, SoftwareVersion, TenantName, Version, ZoneName,
};
pub use load::{EngineDigest, EngineLoad, GroupDigest, LoadedModel};
pub use machine::{Machine, MachineKind, MachineState};
pub use order::{
    EngineOrders, Order, OrderCommand, OrderId, OrderOutcome, OrderPhase, OrderStatus,
};
pub use role::Role;
pub use time::MonotonicTime;

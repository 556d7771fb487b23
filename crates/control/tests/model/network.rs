//! Messages between holders, engines and the key-value service.

use dalestand_control::{EngineCall, LeaseGrant};
use dalestand_types::{EngineOrders, MonotonicTime, Order, OrderOutcome};

/// A call to an engine.
#[derive(Clone, Debug)]
pub enum EngineRequest {
    RaiseEpoch,
    ReadOrders,
    SendOrder(Order),
}

/// A call to the key-value service.
#[derive(Clone, Debug)]
pub enum KeyValueRequest {
    Acquire { writer: u64, sent_at: MonotonicTime },
    ReadBack { writer: u64, sent_at: MonotonicTime },
    Renew { lease: u64, sent_at: MonotonicTime },
    Release { lease: u64 },
}

/// An answer or failure that reaches a holder.
#[derive(Clone, Debug)]
pub enum Answer {
    Engine(EngineCall, OrderOutcome),
    Read(EngineCall, EngineOrders),
    EngineFailed(EngineCall),
    Acquired(Option<LeaseGrant>),
    Renewed { lease: u64, sent_at: MonotonicTime },
    Gone { lease: u64 },
    RenewalFailed { lease: u64 },
}

/// A message in transit, from or to a holder.
#[derive(Clone, Debug)]
pub enum Packet {
    Engine(EngineCall, EngineRequest),
    /// If `abandoned`, the holder no longer waits for the answer.
    KeyValue {
        request: KeyValueRequest,
        abandoned: bool,
    },
    Holder(Answer),
}

/// A packet and the holder that sent it or will receive it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub holder: usize,
    pub packet: Packet,
}

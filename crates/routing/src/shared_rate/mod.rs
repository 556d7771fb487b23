//! A limit on the rate of requests to an engine, enforced by all nodes together.
//!
//! One node issues permits for an engine ([`PermitIssuer`], a token bucket). The other nodes request permits from it,
//! and use one for each request that they send ([`HeldPermits`]). Dividing the rate among nodes statically would not
//! work: an idle node's part would be unused, and the bursts of many small buckets would add up to more than the limit.
//!
//! Bound on the requests sent at a rate of `L` per second: an issuer issues at most `C + L t` permits within a time
//! `t`, where `C = max(2, L / 4)` is the capacity of its bucket. A permit is valid for a quarter of a second, so any
//! window `w` contains permits issued within `w + 1/4`: at most `C + L (w + 1/4)`. In four seconds, that is `4.5 L`, or
//! `4.25 L + 2` where `L` is less than 8. While nodes disagree for up to a second on which node issues, two of them do:
//! at most `L + C` more, in total `5.75 L` or `5.25 L + 4`. Buckets start empty.
//!
//! Time is passed in, and callers exchange the messages between nodes.

mod held_permits;
mod issuer;

pub use held_permits::{HeldPermits, Permit};
pub use issuer::{Grant, PermitIssuer};

use std::time::Duration;

/// Validity of a permit, counted from when it was requested: long enough to open a connection, short compared with the
/// windows over which a rate is measured.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);

//! A rate of requests to an engine that all nodes keep together.
//!
//! One node issues permits for an engine ([`PermitIssuer`]); a node that is to send it a request asks for one,
//! and spends it when the request goes out ([`HeldPermits`]). Shares of the rate would not do: with `s` nodes
//! that each hold a bucket of one request, `s + 4 q` go out in four seconds at the rate `q`, which for nine
//! nodes is twice the rate of an engine that takes two a second; and a share that lies idle at one node is not
//! there for another.
//!
//! The sum, at a rate of `L` a second: an issuer gives out at most `C + L t` permits in a time `t`, where
//! `C = max(2, L / 4)`, its bucket's capacity. A permit holds for a quarter of a second, so that of any window
//! `w` those count that were given out within `w + 1/4`: `C + L (w + 1/4)`, in four seconds `4.5 L`, or
//! `4.25 L + 2` where the engine takes less than eight a second. Where nodes disagree for a second on who
//! issues, two do so: `L + C` more, `5.75 L` or `5.25 L + 4` in all. Buckets start empty.
//!
//! Pure: times come in as arguments, and messages between nodes are its users'.

mod held_permits;
mod issuer;

pub use held_permits::{HeldPermits, Permit};
pub use issuer::{Grant, PermitIssuer};

use std::time::Duration;

/// For how long a permit holds from the moment at which it was asked for: longer than a usual connection takes
/// to come up, and short beside the windows in which a rate is counted.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);

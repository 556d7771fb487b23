//! Kept connections to engines, and what is known when an exchange on one fails.
//!
//! One connection carries one exchange at a time. A connection is kept only after an exchange that
//! left nothing open: the request was written to its last byte, the answer ended where its length
//! says, and no byte followed it. Whatever an engine sends afterwards (a surplus or late answer)
//! ends the connection before another request goes out on it.
//!
//! Why an exchange failed is told by what may have happened at the engine ([`SendError`]), since
//! that alone decides whether the request may be sent again.

mod answer;
mod connect;
mod connection;
mod error;
mod link;
mod pool;

pub use answer::{Exchange, ResponseBody};
pub use error::{BodyError, SendError};
pub use link::{EngineLink, LinkLimits, LinkTarget};

pub use actix_http::{RequestHead, ResponseHead};

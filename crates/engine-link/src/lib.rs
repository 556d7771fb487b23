//! Pooled HTTP connections to engines, with errors that say whether a request may have run.
//!
//! A connection carries one exchange at a time. It returns to the pool only after a complete exchange:
//! the whole request was written, the response ended where its length or chunks say, and no further
//! bytes were received. If the engine sends anything on an idle connection, such as a late response,
//! the connection is closed and not used for another request.
//!
//! No connection carries two calls of one request, so that an answer which names its request and comes on the call's connection
//! is that to the call. Responses to other calls in its place are skipped.
//!
//! An engine resets new connections beyond those that it accepts from all nodes together. A request that must not run twice
//! is therefore sent only on a connection that has carried a response or has stayed open for a moment.
//!
//! [`SendError`] says whether the engine may have run the request, since this decides whether the
//! request may be sent again.

mod body_decoder;
mod carried_calls;
mod connect;
mod connection;
mod connection_pool;
mod error;
mod link;
mod open;
mod paths;
mod rejections;
mod response;
mod response_head;
mod response_memory;
mod stray_responses;

pub use carried_calls::CallKey;
pub use connection::ConnectionUse;
pub use error::{BodyError, SendError};
pub use link::{ConnectionTerms, EngineLink, LinkLimits, LinkTarget, NewConnection};
pub use paths::{AllowedPaths, Detour, DetourError, LinkObservation, LinkPaths, Path};
pub use response::{BodyFraming, Exchange, ResponseBody};
pub use response_head::MalformedResponse;
pub use response_memory::{ResponseMemory, ResponseMemoryLimits};

pub use actix_http::{RequestHead, ResponseHead};
pub use dalestand_request_bodies::Body;

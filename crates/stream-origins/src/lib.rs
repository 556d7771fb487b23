//! Binds streams to the software version of the engine that began them.
//!
//! Engines of several software versions may serve in one pool, and their events do not fit together. A
//! stream that another engine goes on with, in one answer or in a later attempt of its caller, needs an engine of
//! the version that sent its first event.
//!
//! * [`StreamBinding`] is what a request is bound to.
//! * [`EngineVersions`] holds the versions of the listed engines, and which of them are stored.
//! * [`StoredVersions`] is what the nodes store for a pool, before a stream begins at an engine of another version.
//! * [`OriginTable`] holds which engines began recent streams.
//!
//! This crate does no I/O and has no clock: callers pass the time in.

mod binding;
mod engine_versions;
mod origin_table;
mod pool_versions;
mod stored_versions;

pub use binding::{StreamBinding, StreamOrigin};
pub use engine_versions::EngineVersions;
pub use origin_table::{OriginTable, StreamKey};
pub use pool_versions::{MAX_VIEW_AGE, STREAM_LIFETIME, VersionsServing};
pub use stored_versions::StoredVersions;

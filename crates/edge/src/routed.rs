//! Interface between the forwarding of opaque requests and a platform: the protocol of callers and
//! engines, and the format of the records in the key-value service.
//!
//! Implementations only translate. They make no decisions and keep no state between calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::duty_calls::ProvisioningModel;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use dalestand_routes::{Caller, PresentedKey};
use dalestand_types::{EngineSignals, PoolName, Role, SoftwareVersion, ZoneName};

/// Metadata of a caller's request, read from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The request id, exactly as sent.
    pub id: Option<Arc<str>>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Parts of the prompt, in order: id and number of tokens.
    pub parts: Vec<(u64, u32)>,
    /// Number of the last stream event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream, when it resumes a stream.
    pub resumes: Option<Arc<str>>,
    /// The API key that came with the request.
    pub key: PresentedKey,
}

/// Options that a node adds to a caller's request when it sends it to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRequestOptions<'a> {
    /// Time left to answer.
    pub deadline: Option<Duration>,
    /// Id of the engine run that the request is for; any other run refuses it.
    pub run: &'a str,
    /// Whether the engine only prefills the prompt and holds its KV cache.
    pub prefill_only: bool,
    /// Decode from the KV cache that the engine at this address holds under this name.
    pub kv_cache: Option<(SocketAddr, &'a str)>,
    /// First fetch the cached parts of the prompt from the engine at this address.
    pub fetch_from: Option<SocketAddr>,
    /// Resume the stream after this event.
    pub last_event: Option<u64>,
    /// Priority; 0 is the highest.
    pub priority: Option<u8>,
    /// Whose request it is. If tenants are declared, the API key is not passed to engines.
    pub caller: Caller,
}

/// Metadata of an engine's answer, read from its status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the engine guarantees that the request did not run there.
    pub refused: bool,
    /// Whether the answer carries the header by which engines mark answers of requests that ran.
    pub marked: bool,
    /// What the answer reports about the engine itself.
    pub signals: EngineSignals,
}

/// KV cache of a prompt that one engine holds for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldKvCache {
    /// Its name at the engine that holds it.
    pub name: Arc<str>,
}

/// An order that changes an engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChangeOrder<'a> {
    /// The node that sends the order.
    pub holder: &'a str,
    /// Its fencing token.
    pub token: u64,
    /// Number of orders that the engine must have accepted before, exactly.
    pub sequence: u64,
    /// Id of the engine run that the order is for.
    pub run: &'a str,
    /// The new role.
    pub role: Role,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChangeOutcome {
    /// The role change is in progress, or the engine already has the role.
    Accepted,
    /// The engine refused with this HTTP status.
    Refused(u16),
}

/// The HTTP protocol of callers and engines.
pub trait Dialect {
    /// Reads the metadata of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Removes the headers that callers may not set and adds those for `options`.
    fn write_request(&self, headers: &mut HeaderMap, options: &EngineRequestOptions<'_>);

    /// Reads the metadata of an engine's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Reads the answer to a prefill-only request.
    fn read_held_kv_cache(&self, body: &[u8]) -> Option<HeldKvCache>;

    /// Method and path of the call that frees a held KV cache.
    fn free_kv_cache(&self, cache: &HeldKvCache) -> (Method, String);

    /// Head and body of the request that sends an order to an engine.
    fn role_change_order(&self, order: &RoleChangeOrder<'_>) -> (RequestHead, Bytes);

    /// Reads the outcome of an order from the status of the answer.
    fn read_role_change_outcome(&self, status: StatusCode) -> RoleChangeOutcome;

    /// Head of the request for an engine's status report.
    fn report_request(&self) -> RequestHead;

    /// Reads the number of orders that an engine has accepted from its status report.
    fn read_report_sequence(&self, body: &[u8]) -> Option<u64>;

    /// Reads when the engine started from its status report, in milliseconds since the Unix epoch, if it says so.
    fn read_report_start(&self, body: &[u8]) -> Option<u64>;

    /// Head of the request for the prompt parts that an engine has cached.
    fn cached_parts_request(&self) -> RequestHead;

    /// Reads the cached prompt parts from the answer: id and number of tokens.
    fn read_cached_parts(&self, body: &[u8]) -> Vec<(u64, u32)>;

    /// Whether a header is a platform header that this version does not know. `name` is lower-case.
    fn is_unknown_header(&self, name: &str) -> bool;

    /// Path of the readiness check that the platform makes.
    fn ready_path(&self) -> &'static str;
}

/// An engine's entry in the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// Id of the engine's run. It may stay the same after a restart; see `started_at_ms`.
    pub run: Arc<str>,
    /// Start time by the engine's clock, in milliseconds since the Unix epoch, if reported. A changed
    /// time means that the engine restarted and that what was known about it no longer holds.
    pub started_at_ms: Option<u64>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Maximum number of requests it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub accepting: bool,
    /// Its role, if it runs a language model.
    pub role: Option<Role>,
    /// How the platform provides it.
    pub provisioning: ProvisioningModel,
    /// Version of its software; `None` if unknown.
    pub software: Option<SoftwareVersion>,
}

/// The format of the records in the key-value service.
pub trait StoreFormat {
    /// Key of the current declaration.
    fn configuration_key(&self) -> &'static str;

    /// Key prefix of the engines' entries.
    fn engine_prefix(&self) -> &'static str;

    /// Parses a declaration. The error text is meant for operators.
    fn read_configuration(&self, value: &str) -> Result<dalestand_routes::RouteFile, String>;

    /// Parses an engine's entry that is stored under `key`.
    fn read_engine(&self, key: &str, value: &str) -> Result<EngineEntry, String>;
}

//! What the serving of opaque requests needs of a platform: the words of callers and engines, and
//! the form of what stands in the key-value service.
//!
//! An implementation only translates. It decides nothing and keeps nothing between calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::duty_calls::ProvisioningModel;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use dalestand_routes::{Caller, PresentedKey};
use dalestand_types::{EngineSignals, PoolName, Role, ZoneName};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Its id, exactly as sent.
    pub id: Option<Arc<str>>,
    /// For how long the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to be generated.
    pub output_tokens: u32,
    /// Parts of the prompt, in order, with their tokens.
    pub parts: Vec<(u64, u32)>,
    /// The last event of a stream that the caller has.
    pub last_event: Option<u64>,
    /// The key that came with it.
    pub key: PresentedKey,
}

/// What an engine is told beside the caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRequestOptions<'a> {
    /// Time left.
    pub deadline: Option<Duration>,
    /// The run that is meant; every other refuses.
    pub run: &'a str,
    /// Only read the prompt and keep the memory of it.
    pub prefill_only: bool,
    /// Go on from the memory that another engine holds under this name.
    pub kv_cache: Option<(SocketAddr, &'a str)>,
    /// Take what is kept of the prompt from the engine at this address first.
    pub fetch_from: Option<SocketAddr>,
    /// Go on after this event.
    pub last_event: Option<u64>,
    /// Importance; 0 is the highest.
    pub priority: Option<u8>,
    /// Whose request it is. Where tenants are declared, no key reaches an engine.
    pub caller: Caller,
}

/// What the head of an engine's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The request it answers.
    pub id: Option<Arc<str>>,
    /// The engine promises that the request did not run there.
    pub refused: bool,
    /// The answer carries the engine's mark of a run.
    pub marked: bool,
    /// What it says of the engine itself.
    pub signals: EngineSignals,
}

/// Memory of a prompt that an engine holds for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldKvCache {
    /// Its name at that engine.
    pub name: Arc<str>,
}

/// An order that changes an engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChangeOrder<'a> {
    /// The node that orders.
    pub holder: &'a str,
    /// Its fencing token.
    pub token: u64,
    /// Orders that the engine must have taken before, no more and no fewer.
    pub sequence: u64,
    /// The run that is meant.
    pub run: &'a str,
    /// The role it is to have.
    pub role: Role,
}

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChangeOutcome {
    /// It is being carried out, or held already.
    Accepted,
    /// It was refused, with this status.
    Refused(u16),
}

/// The words of callers and engines.
pub trait Dialect {
    /// Reads a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Takes off what only the system may say, and sets what the engine is told.
    fn write_request(&self, headers: &mut HeaderMap, terms: &EngineRequestOptions<'_>);

    /// Reads the head of an engine's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Reads the answer to a request that only read the prompt.
    fn read_held_kv_cache(&self, body: &[u8]) -> Option<HeldKvCache>;

    /// The call that frees held memory: method and path.
    fn free_kv_cache(&self, cache: &HeldKvCache) -> (Method, String);

    /// An order to an engine.
    fn role_change_order(&self, order: &RoleChangeOrder<'_>) -> (RequestHead, Bytes);

    /// Reads the answer to an order.
    fn read_role_change_outcome(&self, status: StatusCode) -> RoleChangeOutcome;

    /// Asks an engine about itself.
    fn report_request(&self) -> RequestHead;

    /// Number of orders an engine has taken, from what it says about itself.
    fn read_report_sequence(&self, body: &[u8]) -> Option<u64>;

    /// Asks an engine which parts of prompts it keeps.
    fn cached_parts_request(&self) -> RequestHead;

    /// The parts that an engine keeps, with their tokens.
    fn read_cached_parts(&self, body: &[u8]) -> Vec<(u64, u32)>;

    /// Whether a header, its name in lower case, is of the platform's kind and none that is known here.
    fn is_unknown_header(&self, name: &str) -> bool;

    /// The path at which the platform asks whether a node is ready.
    fn ready_path(&self) -> &'static str;
}

/// What an engine's own entry says.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// Names the run; an engine may start again under the name that it had.
    pub run: Arc<str>,
    /// When it started, in milliseconds since 1970 by its own clock, where it says so: another time is another
    /// start, of which nothing holds that was known of the former one.
    pub started_at_ms: Option<u64>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub accepting: bool,
    /// Its role, if it runs a language model.
    pub role: Option<Role>,
    /// On what terms it is had.
    pub provisioning: ProvisioningModel,
}

/// The form of what stands in the key-value service.
pub trait StoreFormat {
    /// Key of the declaration in force.
    fn configuration_key(&self) -> &'static str;

    /// Leading part of the keys of engines' own entries.
    fn engine_prefix(&self) -> &'static str;

    /// Reads a declaration; the text of an error is for people.
    fn read_configuration(&self, value: &str) -> Result<dalestand_routes::RouteFile, String>;

    /// Reads an engine's entry, written under `key`.
    fn read_engine(&self, key: &str, value: &str) -> Result<EngineEntry, String>;
}

//! What nodes send each other, one message a datagram.

use std::net::SocketAddr;

use dalestand_duties::{NodeLife, WindowCounts};
use dalestand_quarantine::CrashRecord;
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::declaration::{DeclarationPart, DeclarationRequest};
use crate::engine_notices::EngineNotices;
use crate::entry_table::EntryRecord;
use crate::loads::{EngineLoad, LoadSlice, LoadsMessage};
use crate::membership::{NodeNumber, Relay};
use crate::permits::{EngineLimits, PermitAnswer, PermitRequest};
use crate::placement::Placement;
use crate::sums::SumsMessage;

/// Version of the messages. A node ignores messages of another version.
pub const MESSAGE_VERSION: u8 = 4;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// A member to its relay.
    Report(Report),
    /// A relay to another relay.
    Exchange(Exchange),
    /// A relay to its members.
    Table(Table),
    /// News that did not fit into a table or an exchange.
    News(NewsBatch),
    /// Loads that did not fit into a table or an exchange.
    Loads(LoadsMessage),
    /// Changed entries that did not fit into a table or an exchange.
    Changes(Vec<EntryRecord>),
    /// A node requests from a relay which parts of prompts are kept where.
    PartsRequest(PartsRequest),
    /// A member whose entries differ from its relay's requests what differs.
    EntriesRequest(EntriesRequest),
    /// A relay sends engines' entries to a member that asked.
    Entries(EntriesPage),
    /// A node reports to the holder of the lease what it counted.
    Usage(UsageReport),
    /// A node requests from a relay a declaration that is newer than its own.
    DeclarationRequest(DeclarationRequest),
    /// A relay sends a part of a declaration to a node that asked.
    Declaration(DeclarationPart),
    /// A node reports what engines said of themselves. Nodes of builds without it take it for unreadable.
    Engines(EngineNotices),
    /// A node reports how many requests engines take. Nodes of builds without it, and without the two below, take
    /// them for unreadable: they keep no limit, and are asked for no permits.
    Limits(EngineLimits),
    /// A node requests permits for an engine with a limit.
    PermitRequest(PermitRequest),
    /// The node that issues an engine's permits answers.
    PermitAnswer(PermitAnswer),
    /// Figures that add up over all nodes.
    Sums(SumsMessage),
}

/// The node that holds the lease under which one node acts for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LeaseHolder {
    /// The node.
    pub node: NodeNumber,
    /// Where other nodes reach it (UDP).
    pub address: SocketAddr,
    /// Its fencing token, which rises with every holder: the newest counts, whoever reports it.
    pub token: u64,
}

/// Requests that engines began for one life of a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct UsageReport {
    /// The node's life.
    pub origin: NodeLife,
    /// Counts that changed, by window.
    pub windows: Vec<WindowCounts>,
}

/// Demand for one pool, in prompt tokens a second.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolName,
    /// Tokens worth prefilling at an engine of their own.
    pub disaggregated_tokens_per_s: f64,
    /// Tokens best prefilled at the engine that decodes.
    pub colocated_tokens_per_s: f64,
}

/// An engine that was ordered to change its role, and refuses requests until it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RoleChange {
    /// Number of the engine.
    pub engine: u64,
    /// For how long to avoid it if its entry does not show the change, in milliseconds.
    pub at_most_ms: u64,
}

/// Events at one node, each sent once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct News {
    /// The node at which they occurred; it ignores them when they come back.
    pub origin: NodeNumber,
    /// Prompts sent to engines.
    pub placed: Vec<Placement>,
    /// Engines that change their roles.
    pub role_changes: Vec<RoleChange>,
    /// Engines that ended under requests. Each is sent several times: a set takes it in once.
    pub crashes: Vec<CrashRecord>,
}

impl News {
    /// No news of a node.
    pub fn none(origin: NodeNumber) -> Self {
        Self {
            origin,
            placed: Vec::new(),
            role_changes: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.role_changes.is_empty() && self.crashes.is_empty()
    }
}

/// A member's state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The member.
    pub node: NodeNumber,
    /// Rises with each report.
    pub sequence: u32,
    /// Whether the member only looks for a relay: its work and news go to another one.
    pub is_probe: bool,
    /// All its work.
    pub work: Vec<EngineLoad>,
    /// Its demand.
    pub demand: Vec<PoolDemand>,
    /// What happened since the last report.
    pub news: News,
}

/// The sums of a relay and its members.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Exchange {
    /// The relay.
    pub node: NodeNumber,
    /// Mean age of the work of its members, in milliseconds.
    pub age_ms: u32,
    /// Work of the relay and its members; further slices follow as [`LoadsMessage`].
    pub work: LoadSlice,
    /// Their demand.
    pub demand: Vec<PoolDemand>,
    /// What happened there since the last exchange.
    pub news: Vec<News>,
    /// Entries whose change the relay was the first to read.
    pub changes: Vec<EntryRecord>,
    /// Crashes of the requests that are stopped, about once a second: nodes that were cut off when
    /// these were news hear of them.
    pub stopped: Vec<CrashRecord>,
    /// The holder of the lease, if it is known: relays that cannot reach the key-value service hear
    /// of it from the others.
    pub holder: Option<LeaseHolder>,
    /// Revision of the declaration that the relay has in force and passes on; 0 if there is none.
    pub declaration: u64,
}

/// A member's report that a table includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct IncludedReport {
    /// The member.
    pub node: NodeNumber,
    /// Sequence of its last report.
    pub sequence: u32,
}

/// What a relay knows of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Table {
    /// The relay.
    pub node: NodeNumber,
    /// Nodes of the fleet.
    pub node_count: u32,
    /// Mean age of the work, in milliseconds.
    pub age_ms: u32,
    /// Work of all nodes; further slices follow as [`LoadsMessage`].
    pub work: LoadSlice,
    /// Reports whose work is part of it: a member takes its own off.
    pub included: Vec<IncludedReport>,
    /// What happened in the fleet since the last table.
    pub news: Vec<News>,
    /// Entries that changed a short time ago.
    pub changes: Vec<EntryRecord>,
    /// Digest of all entries.
    pub entries_digest: u64,
    /// Crashes of the requests that are stopped; empty in most tables.
    pub stopped: Vec<CrashRecord>,
    /// The relays of the fleet; empty in most tables.
    pub relays: Vec<Relay>,
    /// The holder of the lease, if it is known.
    pub holder: Option<LeaseHolder>,
    /// Revision of the declaration that the relay has in force and passes on; 0 if there is none.
    pub declaration: u64,
}

/// News by itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct NewsBatch {
    /// The node that sends it.
    pub node: NodeNumber,
    /// The news.
    pub news: Vec<News>,
}

/// Asks which parts are kept where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PartsRequest {
    /// The node that requests them.
    pub node: NodeNumber,
}

/// Asks for entries that differ.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntriesRequest {
    /// The member.
    pub node: NodeNumber,
    /// Digests of the member's entries, by equal ranges of the hashes of their keys.
    pub digests: Vec<u64>,
    /// How many bytes of entries to send, about.
    pub max_bytes: u32,
}

/// All entries whose keys' hashes lie in a range.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntriesPage {
    /// The relay.
    pub node: NodeNumber,
    /// Up to which revision the relay's entries are complete; 0 if it does not know.
    pub revision: u64,
    /// First hash of the range.
    pub first: u64,
    /// Last hash of the range.
    pub last: u64,
    /// The entries.
    pub records: Vec<EntryRecord>,
}

//! Messages between nodes, one per datagram.

use std::net::SocketAddr;

use dalestand_duties::{NodeIncarnation, WindowCounts};
use dalestand_quarantine::CrashRecord;
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::declaration::{DeclarationPart, DeclarationRequest};
use crate::engine_notices::{EngineNotices, EngineRuns};
use crate::entry_table::EntryRecord;
use crate::fingerprint_key::{FingerprintKeyAnswer, FingerprintKeyRequest};
use crate::loads::{EngineLoad, LoadSlice, LoadsMessage};
use crate::membership::{NodeNumber, Relay};
use crate::part_evidence::PartEvidence;
use crate::permits::{EngineLimits, PermitAnswer, PermitRequest};
use crate::placement::Placement;
use crate::software::{SoftwareRequest, SoftwareVersions};
use crate::stream_origins::{OriginAnswer, OriginRequest, RecordedStreams};
use crate::sums::SumsMessage;

/// Version of the message format. A node ignores messages of other versions.
pub const MESSAGE_VERSION: u8 = 4;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// From a member to its relay.
    Report(Report),
    /// From a relay to another relay.
    Exchange(Exchange),
    /// From a relay to its members.
    Table(Table),
    /// News that did not fit into a table or an exchange.
    News(NewsBatch),
    /// Loads that did not fit into a table or an exchange.
    Loads(LoadsMessage),
    /// Changed entries that did not fit into a table or an exchange.
    Changes(Vec<EntryRecord>),
    /// Asks a relay which prompt parts are cached on which engines.
    PartsRequest(PartsRequest),
    /// Asks the member's relay for the entries that differ.
    EntriesRequest(EntriesRequest),
    /// A relay's answer to an [`EntriesRequest`].
    Entries(EntriesPage),
    /// Reports usage counts to the lease holder.
    Usage(UsageReport),
    /// Asks a relay for a declaration newer than the sender's.
    DeclarationRequest(DeclarationRequest),
    /// Part of the answer to a [`DeclarationRequest`].
    Declaration(DeclarationPart),
    /// Reports which engines drain and when engines started. Unreadable to builds without this variant.
    Engines(EngineNotices),
    /// Reports rate limits of engines. Unreadable to builds without this variant and the two below:
    /// they apply no limits and are not asked for permits.
    Limits(EngineLimits),
    /// Asks for permits for a rate-limited engine.
    PermitRequest(PermitRequest),
    /// The answer of the node that issues the engine's permits.
    PermitAnswer(PermitAnswer),
    /// Statistics that are summed over all nodes.
    Sums(SumsMessage),
    /// How current a relay's engine entries are. Unreadable to builds without this variant.
    Freshness(EntriesFreshness),
    /// Asks a relay for software versions of engines. Unreadable to builds without this variant and the next: they
    /// answer nothing, and the versions stay unknown.
    SoftwareRequest(SoftwareRequest),
    /// Software versions of engines.
    SoftwareVersions(SoftwareVersions),
    /// Origins of streams, to be kept. Unreadable to builds without this variant and the two below: they know no
    /// origins, and what they began is unknown.
    RecordedStreams(RecordedStreams),
    /// Asks for the origin of a stream.
    OriginRequest(OriginRequest),
    /// The answer to an [`OriginRequest`].
    OriginAnswer(OriginAnswer),
    /// Evidence against prompt parts that crash engines. Unreadable to builds without this variant, which hold no parts.
    PartEvidence(PartEvidence),
    /// Asks for the fleet's fingerprint key. Unreadable to builds without this variant, which answer nothing.
    FingerprintKeyRequest(FingerprintKeyRequest),
    /// The answer to a [`FingerprintKeyRequest`].
    FingerprintKeyAnswer(FingerprintKeyAnswer),
    /// Reports which starts of engines have ended. Unreadable to builds without this variant, which learn of an end by
    /// their own calls or by the engine's next entry.
    EngineRuns(EngineRuns),
}

/// The node that holds the lease under which one node acts for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LeaseHolder {
    /// The node.
    pub node: NodeNumber,
    /// Its UDP address for other nodes.
    pub address: SocketAddr,
    /// Its fencing token, which rises with every holder: the highest wins, whichever node reports it.
    pub token: u64,
}

/// Requests started on engines during one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct UsageReport {
    /// The node incarnation that counted them.
    pub origin: NodeIncarnation,
    /// Changed counts, by window.
    pub windows: Vec<WindowCounts>,
}

/// Demand for one pool, in prompt tokens per second.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolName,
    /// Tokens that should be prefilled on a separate engine.
    pub disaggregated_tokens_per_s: f64,
    /// Tokens that should be prefilled on the engine that decodes them.
    pub colocated_tokens_per_s: f64,
}

/// An engine that was ordered to change its role and refuses requests until it has done so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RoleChange {
    /// Number of the engine.
    pub engine: u64,
    /// How long to avoid the engine if its entry does not show the new role, in milliseconds.
    pub at_most_ms: u64,
}

/// Events observed by one node. Each is sent once, except crashes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct News {
    /// The observing node, which ignores them when they are relayed back to it.
    pub origin: NodeNumber,
    /// Prompts placed on engines.
    pub placed: Vec<Placement>,
    /// Engines that are changing roles.
    pub role_changes: Vec<RoleChange>,
    /// Engine crashes while requests ran. Each is sent several times; the receiver deduplicates them.
    pub crashes: Vec<CrashRecord>,
}

impl News {
    /// Empty news from `origin`.
    pub fn none(origin: NodeNumber) -> Self {
        Self {
            origin,
            placed: Vec::new(),
            role_changes: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Whether it holds no events.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.role_changes.is_empty() && self.crashes.is_empty()
    }
}

/// A member's state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The member.
    pub node: NodeNumber,
    /// Increases with each report.
    pub sequence: u32,
    /// Whether the member is only looking for a relay: it reports its work and news to another one.
    pub is_probe: bool,
    /// All outstanding work of the member.
    pub work: Vec<EngineLoad>,
    /// The member's demand.
    pub demand: Vec<PoolDemand>,
    /// Events since the last report.
    pub news: News,
}

/// The sums of a relay and its members.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Exchange {
    /// The relay.
    pub node: NodeNumber,
    /// Mean age of its members' work, in milliseconds.
    pub age_ms: u32,
    /// Work of the relay and its members; further slices follow as [`LoadsMessage`].
    pub work: LoadSlice,
    /// Demand of the relay and its members.
    pub demand: Vec<PoolDemand>,
    /// Their events since the last exchange.
    pub news: Vec<News>,
    /// Entry changes that this relay learned from the key-value service.
    pub changes: Vec<EntryRecord>,
    /// Crashes attributed to stopped requests, sent about once a second for nodes that were
    /// unreachable when the crashes were first reported.
    pub stopped: Vec<CrashRecord>,
    /// The lease holder, if known, for relays that cannot reach the key-value service.
    pub holder: Option<LeaseHolder>,
    /// Revision of the active declaration, if the relay can send it; 0 otherwise.
    pub declaration: u64,
}

/// A member's report that is part of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct IncludedReport {
    /// The member.
    pub node: NodeNumber,
    /// Sequence number of its last report.
    pub sequence: u32,
}

/// A relay's view of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Table {
    /// The relay.
    pub node: NodeNumber,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// Mean age of the work, in milliseconds.
    pub age_ms: u32,
    /// Work of all nodes; further slices follow as [`LoadsMessage`].
    pub work: LoadSlice,
    /// Reports whose work is included, so that each member can subtract its own.
    pub included: Vec<IncludedReport>,
    /// Events in the fleet since the last table.
    pub news: Vec<News>,
    /// Entries that changed recently.
    pub changes: Vec<EntryRecord>,
    /// Digest of all entries.
    pub entries_digest: u64,
    /// Crashes attributed to stopped requests; empty in most tables.
    pub stopped: Vec<CrashRecord>,
    /// The relays of the fleet; empty in most tables.
    pub relays: Vec<Relay>,
    /// The lease holder, if known.
    pub holder: Option<LeaseHolder>,
    /// Revision of the active declaration, if the relay can send it; 0 otherwise.
    pub declaration: u64,
}

/// News that is sent separately.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct NewsBatch {
    /// The sender.
    pub node: NodeNumber,
    /// The news.
    pub news: Vec<News>,
}

/// Asks which prompt parts are cached on which engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PartsRequest {
    /// The requesting node.
    pub node: NodeNumber,
}

/// Asks for entries that differ from the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntriesRequest {
    /// The member.
    pub node: NodeNumber,
    /// Digests of the member's entries, one per range of key hashes.
    pub digests: Vec<u64>,
    /// Approximate limit on the bytes of entries in the answer.
    pub max_bytes: u32,
}

/// How current a relay's engine entries are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntriesFreshness {
    /// The relay.
    pub node: NodeNumber,
    /// Time since its entries were last proved complete, in milliseconds.
    pub age_ms: u32,
    /// Digest of its entries.
    pub digest: u64,
}

/// All entries whose key hashes lie in a range.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntriesPage {
    /// The relay.
    pub node: NodeNumber,
    /// Revision up to which the relay's entries are complete; 0 if unknown.
    pub revision: u64,
    /// First hash of the range.
    pub first: u64,
    /// Last hash of the range.
    pub last: u64,
    /// The entries.
    pub records: Vec<EntryRecord>,
}

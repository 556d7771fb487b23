//! Dissemination of fleet-wide state over UDP, with a message count that grows linearly with the
//! number of nodes.
//!
//! Each zone elects a few *relays* ([`NodeDirectory::relays`]): the nodes with the fastest links,
//! ties broken by rendezvous hashing. Nodes that know the same entries elect the same relays without
//! exchanging messages. All other nodes are *members*.
//!
//! * A member subscribes to one relay by sending it reports ([`Report`]) and receives its tables
//!   ([`Table`]). When the relay falls silent, the member probes others ([`Subscription`]).
//! * Relays exchange the sums of their members' reports ([`Exchange`]) with each other.
//! * Relays read the key-value service. Changes of engine entries carry their revisions
//!   ([`EntryTable`]); an older revision never replaces a newer one, whichever node sends it.
//!
//! In a small fleet every node is a relay, so all nodes exchange with each other directly.
//!
//! Consistency depends on the kind of state. State that needs agreement stays in the key-value
//! service. Engine entries must arrive promptly and never go back, so they are ordered by revision.
//! Loads, placements and demand are hints: the newest wins, and the next datagram makes up for a lost
//! one.
//!
//! This crate does no I/O: times and messages are passed in as values.

mod declaration;
mod engine_notices;
mod entry_sync;
mod entry_table;
mod fingerprint_key;
mod hash_ranges;
mod loads;
mod membership;
mod message;
mod part_evidence;
mod permits;
mod placement;
mod software;
mod stream_origins;
mod subscribers;
mod subscription;
mod sums;

pub use declaration::{
    DeclarationPart, DeclarationRequest, DeclarationSync, MAX_RELAYED_DECLARATION_BYTES,
    declaration_parts,
};
pub use engine_notices::{EngineNotices, EngineRuns, EngineStart};
pub use entry_sync::{
    DifferingDigests, EntrySync, PageSpan, RequestTarget, entries_pages, entries_request,
    renewed_pages,
};
pub use entry_table::{EntryRecord, EntryTable};
pub use fingerprint_key::{FingerprintKeyAnswer, FingerprintKeyRequest};
pub use loads::{EngineCode, EngineLoad, LoadScope, LoadSlice, LoadsMessage};
pub use membership::{NodeDirectory, NodeEntry, NodeNumber, RELAYS_PER_ZONE, Relay};
pub use message::{
    EntriesFreshness, EntriesPage, EntriesRequest, Exchange, IncludedReport, LeaseHolder,
    MESSAGE_VERSION, Message, News, NewsBatch, PartsRequest, PoolDemand, Report, RoleChange, Table,
    UsageReport,
};
pub use part_evidence::PartEvidence;
pub use permits::{EngineLimit, EngineLimits, PermitAnswer, PermitNeed, PermitRequest};
pub use placement::{PlacedPart, Placement, PlacementState};
pub use software::{EnginesOfVersion, SoftwareRequest, SoftwareVersions};
pub use stream_origins::{OriginAnswer, OriginRequest, RecordedStream, RecordedStreams};
pub use subscribers::Subscribers;
pub use subscription::{ReportTarget, Subscription};
pub use sums::{ClassRow, SlownessRow, SumScope, SummedRows, SumsMessage, TenantRow, TenantRows};

//! How fleet-wide state reaches every node at a cost that does not grow with the square of their
//! number.
//!
//! A few nodes of each zone are *relays* ([`NodeDirectory::relays`]): those with the fastest links,
//! ties broken by rendezvous hashing, so that nodes which know the same entries elect the same
//! relays without a message. All other nodes are *members*.
//!
//! * A member subscribes to one relay by reporting to it ([`Report`]) and listens to its tables
//!   ([`Table`]). A member that no longer hears its relay probes others ([`Subscription`]).
//! * Relays exchange the sums of what their members reported ([`Exchange`]) with each other.
//! * Relays read the key-value service. Changes of engines' entries travel with their revisions
//!   ([`EntryTable`]); an older revision never replaces a newer one, whoever sends it.
//!
//! In a small fleet every node is a relay, so that all exchange with all.
//!
//! Three kinds of state have three demands. What must be agreed stays in the key-value service.
//! Engines' entries must be prompt and never go back: the revision decides. Load, placements and
//! demand are hints: the newest counts, and a lost datagram is repaired by the next one.
//!
//! Everything here is pure: times and messages come in as values, and nothing is sent.

mod declaration;
mod engine_notices;
mod entry_sync;
mod entry_table;
mod hash_ranges;
mod loads;
mod membership;
mod message;
mod permits;
mod placement;
mod subscribers;
mod subscription;
mod sums;

pub use declaration::{
    DeclarationPart, DeclarationRequest, DeclarationSync, LONGEST_CARRIED, declaration_parts,
};
pub use engine_notices::{EngineNotices, EngineStart};
pub use entry_sync::{EntrySync, entries_pages, entries_request};
pub use entry_table::{EntryRecord, EntryTable};
pub use loads::{EngineCode, EngineLoad, LoadScope, LoadSlice, LoadsMessage};
pub use membership::{NodeDirectory, NodeEntry, NodeNumber, RELAYS_PER_ZONE, Relay};
pub use message::{
    EntriesPage, EntriesRequest, Exchange, IncludedReport, LeaseHolder, MESSAGE_VERSION, Message,
    News, NewsBatch, PartsRequest, PoolDemand, Report, RoleChange, Table, UsageReport,
};
pub use permits::{EngineLimit, EngineLimits, PermitAnswer, PermitNeed, PermitRequest};
pub use placement::{PlacedPart, Placement, PlacementState};
pub use subscribers::Subscribers;
pub use subscription::{ReportTarget, Subscription};
pub use sums::{ClassRow, SlownessRow, SumScope, SummedRows, SumsMessage, TenantRow, TenantRows};

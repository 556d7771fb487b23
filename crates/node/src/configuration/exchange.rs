//! Messages by which a node fetches the configuration from a peer; they are sent as peer calls.

use bytes::Bytes;
use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

use super::PreviousConfiguration;
use super::parts::PartName;

pub(crate) const MAX_PARTS_PER_QUERY: usize = 64;

/// A query for the configuration of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigurationQuery {
    /// Asks for the manifest of the peer's newest configuration, if it is newer than this revision.
    Manifest { newer_than: Revision },
    /// Asks for the content of parts.
    Parts { names: Vec<PartName> },
}

/// The reply to a [`ConfigurationQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigurationReply {
    /// The manifest; `None` if the configuration is not newer.
    Manifest(Option<Manifest>),
    /// The parts in the order of the query; `None` for a part that the newest configuration does
    /// not contain.
    Parts(Vec<Option<Bytes>>),
}

/// A configuration without the content of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    pub(crate) revision: Revision,
    /// Id unique to the write.
    pub(crate) writer: String,
    /// Who applied it.
    pub(crate) author: String,
    /// When it was applied, in milliseconds since the Unix epoch; informational.
    pub(crate) unix_ms: u64,
    /// The previous configurations, newest first.
    pub(crate) former: Vec<PreviousConfiguration>,
    /// Names of the parts of the deployment file, in order.
    pub(crate) names: Vec<PartName>,
}

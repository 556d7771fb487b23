//! What nodes ask each other about the configuration; it travels as peer calls.

use bytes::Bytes;
use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

use super::FormerConfiguration;
use super::parts::PartName;

/// Most parts asked for at once.
pub(crate) const MAX_PARTS_ASKED: usize = 64;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// What the configuration in force is made of, if it is newer than this revision.
    Manifest { newer_than: Revision },
    /// The content of some parts.
    Parts { names: Vec<PartName> },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// What the configuration is made of; `None` if it is not newer.
    Manifest(Option<Manifest>),
    /// The parts, in the order they were asked for; `None` for one that is not there any more.
    Parts(Vec<Option<Bytes>>),
}

/// What a configuration is made of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// Its revision.
    pub(crate) revision: Revision,
    /// Unique to the write.
    pub(crate) writer: String,
    /// Who applied it.
    pub(crate) author: String,
    /// When, in milliseconds since 1970, for people.
    pub(crate) unix_ms: u64,
    /// The configurations before this one, newest first.
    pub(crate) former: Vec<FormerConfiguration>,
    /// The parts of the file, in order.
    pub(crate) names: Vec<PartName>,
}

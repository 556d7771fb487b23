//! The configuration in force, never going back.
//!
//! A few nodes watch the key-value service. Whoever has a new configuration offers it to its peers
//! with the cluster's news; a peer fetches the content from the one that offered it, puts it in
//! force, and only then offers it on. So whoever offers a configuration has it, and the load of
//! passing it on is shared by all.

mod exchange;
mod parts;
mod peers;
mod store;
#[cfg(test)]
mod tests;
mod watch;

use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

pub(crate) use exchange::{Answer, Question};
pub(crate) use peers::{Offer, follow};
pub(crate) use store::ConfigurationStore;
pub(crate) use watch::watch;

/// Key of the configuration record.
pub(crate) const CONFIGURATION_KEY: &str = "configuration/deployment";

/// The configuration record in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationRecord {
    /// Unique to the write, so that a writer whose answer was lost knows its own.
    pub(crate) writer: String,
    /// Who applied it, for people.
    pub(crate) author: String,
    /// When it was applied, in milliseconds since 1970, for people.
    #[serde(default)]
    pub(crate) unix_ms: u64,
    /// The configurations before this one, newest first.
    #[serde(default)]
    pub(crate) former: Vec<FormerConfiguration>,
    /// The deployment file.
    pub(crate) text: String,
}

/// A configuration that a later one replaced; by it a writer whose answer was lost finds out that
/// its write took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormerConfiguration {
    /// The write.
    pub(crate) writer: String,
    /// Who applied it, for people.
    pub(crate) author: String,
    /// When, in milliseconds since 1970, for people.
    pub(crate) unix_ms: u64,
    /// Its revision.
    pub(crate) revision: Revision,
}

//! Distribution of the configuration; its revision never decreases on a node.
//!
//! A few nodes watch the key-value service. A node that has a new configuration announces it with a
//! cluster record. Its peers fetch the content from the announcing node, activate it and then
//! announce it themselves. Every announcing node can therefore serve the content, and the load is
//! spread over all nodes.

mod exchange;
mod fetch;
mod parts;
mod store;
#[cfg(test)]
mod tests;
mod watch;

use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

pub(crate) use exchange::{ConfigurationQuery, ConfigurationReply};
pub(crate) use fetch::{ConfigurationAnnouncement, fetch_announced};
pub(crate) use store::ConfigurationStore;
pub(crate) use watch::watch;

pub(crate) const CONFIGURATION_KEY: &str = "configuration/deployment";

/// The configuration record in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationRecord {
    /// Id unique to the write, by which a writer recognizes its write if the answer was lost.
    pub(crate) writer: String,
    /// Who applied it; informational.
    pub(crate) author: String,
    /// When it was applied, in milliseconds since the Unix epoch; informational.
    #[serde(default)]
    pub(crate) unix_ms: u64,
    /// The previous configurations, newest first.
    #[serde(default)]
    pub(crate) former: Vec<PreviousConfiguration>,
    /// Content of the deployment file.
    pub(crate) text: String,
}

/// A previous configuration. A writer whose answer was lost searches this history to find out
/// whether its write took effect before it was replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PreviousConfiguration {
    /// Id of its write.
    pub(crate) writer: String,
    /// Who applied it; informational.
    pub(crate) author: String,
    /// When it was applied, in milliseconds since the Unix epoch; informational.
    pub(crate) unix_ms: u64,
    pub(crate) revision: Revision,
}

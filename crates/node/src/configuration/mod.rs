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

use serde::{Deserialize, Serialize};

pub(crate) use peers::{Offer, follow, serve};
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
    /// The deployment file.
    pub(crate) text: String,
}

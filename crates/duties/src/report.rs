//! The usage report of one window, in the form stored in the key-value service.

use std::collections::BTreeMap;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::window::WindowIndex;

/// Number of requests that engines started, by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// Usage report of one window. It must not change once stored: two different reports of the same
/// window would bill tenants twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// The reported window.
    pub window: WindowIndex,
    /// Requests in the window, by tenant.
    pub counts: TenantCounts,
}

impl WindowReport {
    /// Encodes the report as JSON for the key-value service.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Parses the output of [`Self::to_text`].
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

//! What all nodes have counted, as far as the holder heard.

use std::collections::{BTreeMap, HashMap};

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::counters::WindowCounts;
use crate::report::TenantCounts;
use crate::window::WindowIndex;

/// One incarnation of a node: the counters of a node start from zero when it is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// Number of the node.
    pub node: u64,
    /// Random number drawn when the process starts.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Counts of all nodes by window.
///
/// Invariant: the count of a life, window and tenant never falls, so that messages may be repeated,
/// lost and overtaken.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowIndex, HashMap<NodeIncarnation, HashMap<TenantName, u64>>>,
}

impl UsageLedger {
    /// Takes in what one life of a node counted.
    pub fn merge(&mut self, origin: NodeIncarnation, windows: Vec<WindowCounts>) {
        for WindowCounts { window, counts } in windows {
            let lives = self.windows.entry(window).or_default();
            let known = lives.entry(origin).or_default();
            for count in counts {
                let requests = known.entry(count.tenant).or_default();
                *requests = count.requests.max(*requests);
            }
        }
    }

    /// All requests of a window, by tenant.
    pub fn total(&self, window: WindowIndex) -> TenantCounts {
        let mut total = TenantCounts::new();
        let lives = self.windows.get(&window).into_iter();
        for (tenant, requests) in lives.flat_map(HashMap::values).flatten() {
            *total.entry(tenant.clone()).or_default() += requests;
        }
        total
    }

    /// Forgets windows before `window`.
    pub fn remove_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }
}

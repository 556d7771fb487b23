//! Request counts of all nodes, as received by the lease holder.

use std::collections::{BTreeMap, HashMap};

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::counters::WindowCounts;
use crate::report::TenantCounts;
use crate::window::WindowIndex;

/// One incarnation of a node: the counters of a node start from zero when it is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// Numeric ID of the node.
    pub node: u64,
    /// Random number drawn when the process starts.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Request counts of all nodes by window.
///
/// Invariant: the count of an incarnation, window and tenant never decreases, so messages may be
/// duplicated, lost or reordered.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowIndex, HashMap<NodeIncarnation, HashMap<TenantName, u64>>>,
}

impl UsageLedger {
    /// Merges counts received from one incarnation of a node; the higher count wins.
    pub fn merge(&mut self, origin: NodeIncarnation, windows: Vec<WindowCounts>) {
        for WindowCounts { window, counts } in windows {
            let incarnations = self.windows.entry(window).or_default();
            let known = incarnations.entry(origin).or_default();
            for count in counts {
                let requests = known.entry(count.tenant).or_default();
                *requests = count.requests.max(*requests);
            }
        }
    }

    /// Total requests of all nodes in a window, by tenant.
    pub fn total(&self, window: WindowIndex) -> TenantCounts {
        let mut total = TenantCounts::new();
        let incarnations = self.windows.get(&window).into_iter();
        for (tenant, requests) in incarnations.flat_map(HashMap::values).flatten() {
            *total.entry(tenant.clone()).or_default() += requests;
        }
        total
    }

    /// Removes the counts of windows before `window`.
    pub fn remove_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }
}

//! Request counters of one node.

use std::collections::BTreeMap;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::window::WindowIndex;

/// Each changed count is sent in this many messages, so that one of them may be lost.
const SENDS_PER_CHANGE: u8 = 2;

/// Number of requests of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Requests that engines started.
    pub requests: u64,
}

/// Requests that one incarnation of a node counted in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window in which the requests started.
    pub window: WindowIndex,
    /// Requests by tenant.
    pub counts: Vec<TenantCount>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    requests: u64,
    sends_left: u8,
}

/// Requests that one node counted, by window and tenant.
#[derive(Clone, Debug, Default)]
pub struct UsageCounters {
    windows: BTreeMap<WindowIndex, BTreeMap<TenantName, Counter>>,
}

impl UsageCounters {
    /// Counts a request that an engine started in `window`.
    pub fn count(&mut self, window: WindowIndex, tenant: &TenantName) {
        let counters = self.windows.entry(window).or_default();
        let counter = counters.entry(tenant.clone()).or_default();
        counter.requests += 1;
        counter.sends_left = SENDS_PER_CHANGE;
    }

    /// Returns the counts that still have to be sent and uses up one transmission of each.
    pub fn take_changed(&mut self) -> Vec<WindowCounts> {
        let windows = self.windows.iter_mut();
        let changed = windows.map(|(window, counters)| WindowCounts {
            window: *window,
            counts: counters
                .iter_mut()
                .filter(|(_, counter)| counter.sends_left > 0)
                .map(|(tenant, counter)| {
                    counter.sends_left -= 1;
                    tenant_count(tenant, counter)
                })
                .collect(),
        });
        changed.filter(|window| !window.counts.is_empty()).collect()
    }

    /// Marks all counts for sending, for a receiver that may have none of them.
    pub fn resend_all(&mut self) {
        for counter in self.windows.values_mut().flat_map(BTreeMap::values_mut) {
            counter.sends_left = SENDS_PER_CHANGE;
        }
    }

    /// Removes the counts of windows before `window`.
    pub fn remove_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }
}

fn tenant_count(tenant: &TenantName, counter: &Counter) -> TenantCount {
    TenantCount {
        tenant: tenant.clone(),
        requests: counter.requests,
    }
}

//! What one node has counted.

use std::collections::BTreeMap;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::window::WindowIndex;

/// Messages that carry each change of a count. One may be lost.
const SENDS_PER_CHANGE: u8 = 2;

/// Requests of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that engines began.
    pub requests: u64,
}

/// Requests of one window, as far as one life of one node counted them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowIndex,
    /// Its requests by tenant.
    pub counts: Vec<TenantCount>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    requests: u64,
    sends_left: u8,
}

/// Requests by window and tenant at one node.
#[derive(Clone, Debug, Default)]
pub struct UsageCounters {
    windows: BTreeMap<WindowIndex, BTreeMap<TenantName, Counter>>,
}

impl UsageCounters {
    /// Counts a request that an engine began in `window`.
    pub fn count(&mut self, window: WindowIndex, tenant: &TenantName) {
        let counters = self.windows.entry(window).or_default();
        let counter = counters.entry(tenant.clone()).or_default();
        counter.requests += 1;
        counter.sends_left = SENDS_PER_CHANGE;
    }

    /// Counts that are to be sent now: those that changed a short time ago.
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

    /// Has all counts sent again, for a receiver that may know none.
    pub fn resend_all(&mut self) {
        for counter in self.windows.values_mut().flat_map(BTreeMap::values_mut) {
            counter.sends_left = SENDS_PER_CHANGE;
        }
    }

    /// Forgets windows before `window`.
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

//! Events and amounts that expire.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::figures::TenantCode;

/// Events of one kind within the window, with their tenants.
#[derive(Clone, Debug, Default)]
pub(crate) struct WindowCounts {
    events: VecDeque<(MonotonicTime, Option<TenantCode>)>,
    by_tenant: HashMap<TenantCode, usize>,
}

impl WindowCounts {
    pub(crate) fn push(&mut self, now: MonotonicTime, tenant: Option<TenantCode>) {
        self.events.push_back((now, tenant));
        if let Some(tenant) = tenant {
            *self.by_tenant.entry(tenant).or_default() += 1;
        }
    }

    pub(crate) fn expire(&mut self, now: MonotonicTime, window: Duration) {
        while let Some((at, tenant)) = self.events.front().copied()
            && now.since(at) > window
        {
            self.events.pop_front();
            self.uncount(tenant);
        }
    }

    /// Removes an event that was counted at `at`.
    pub(crate) fn remove(&mut self, at: MonotonicTime, tenant: Option<TenantCode>) {
        let event = (at, tenant);
        if let Some(index) = self.events.iter().rposition(|one| *one == event) {
            self.events.remove(index);
            self.uncount(tenant);
        }
    }

    /// Number of events.
    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    /// Number of tenants with an event.
    pub(crate) fn tenants(&self) -> usize {
        self.by_tenant.len()
    }

    fn uncount(&mut self, tenant: Option<TenantCode>) {
        let Some(tenant) = tenant else { return };
        if let Some(count) = self.by_tenant.get_mut(&tenant) {
            *count -= 1;
            if *count == 0 {
                self.by_tenant.remove(&tenant);
            }
        }
    }

    /// Number of events of the last `time`.
    pub(crate) fn count_within(&self, now: MonotonicTime, time: Duration) -> usize {
        let events = self.events.iter().rev();
        events.take_while(|(at, _)| now.since(*at) <= time).count()
    }

    pub(crate) fn of(&self, tenant: TenantCode) -> f64 {
        self.by_tenant.get(&tenant).copied().unwrap_or_default() as f64
    }
}

/// Amounts with the time of each, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimedAmounts(VecDeque<(MonotonicTime, f64)>);

impl TimedAmounts {
    pub(crate) fn add(&mut self, at: MonotonicTime, amount: f64) {
        self.0.push_back((at, amount));
    }

    pub(crate) fn expire(&mut self, now: MonotonicTime, lifetime: Duration) {
        while self
            .0
            .front()
            .is_some_and(|(at, _)| now.since(*at) > lifetime)
        {
            self.0.pop_front();
        }
    }

    pub(crate) fn total(&self) -> f64 {
        self.0.iter().map(|(_, amount)| amount).sum()
    }

    /// Takes up to `wanted`, the oldest first. Returns the time of the oldest and how much was taken.
    pub(crate) fn take(&mut self, wanted: f64) -> Option<(MonotonicTime, f64)> {
        let (oldest, _) = *self.0.front()?;
        let mut taken = 0.0;
        while let Some((_, amount)) = self.0.front_mut() {
            let part = amount.min(wanted - taken);
            *amount -= part;
            taken += part;
            if *amount > 0.0 {
                break;
            }
            self.0.pop_front();
        }
        Some((oldest, taken))
    }

    /// Gives back an amount that was taken.
    pub(crate) fn give_back(&mut self, at: MonotonicTime, amount: f64) {
        let index = self.0.partition_point(|(other, _)| *other < at);
        self.0.insert(index, (at, amount));
    }

    /// Removes an amount that was added at `at`.
    pub(crate) fn remove(&mut self, at: MonotonicTime, amount: f64) {
        let index = self.0.iter().rposition(|one| *one == (at, amount));
        index.and_then(|index| self.0.remove(index));
    }
}

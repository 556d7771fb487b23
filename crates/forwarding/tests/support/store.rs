//! An in-memory key-value service with fault injection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WatchEvent,
    WriteExpectation,
};
use dalestand_types::Revision;
use error_stack::Report;

/// Time limit of the platform's client for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// An in-memory key-value service.
#[derive(Default)]
pub struct MemoryStore {
    revision: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    events: RefCell<Vec<WatchEvent>>,
    is_unavailable: Cell<bool>,
    delays_watches: Cell<bool>,
    /// Whether views that are made now refuse their nodes.
    refuses_new_nodes: Cell<bool>,
    /// Whether reads that begin now are never answered.
    is_silent: Cell<bool>,
    /// Watches that began before it was last increased are never answered.
    silences: Cell<u64>,
    refused_prefix: RefCell<Option<&'static str>>,
    /// The era that it reports; 0 for none.
    era: Cell<u64>,
    /// Keys under leases.
    leased: RefCell<BTreeMap<String, LeaseId>>,
    leases: RefCell<BTreeSet<LeaseId>>,
    last_lease: Cell<u64>,
    /// Keys that were read one by one.
    reads: RefCell<Vec<String>>,
}

/// A backup of a [`MemoryStore`].
pub struct StoreBackup {
    number: u64,
    entries: BTreeMap<String, Entry>,
}

impl MemoryStore {
    /// Makes all read calls fail, or succeed again.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.set(is_unavailable);
    }

    /// Makes all writes under a prefix fail.
    pub fn refuse_writes(&self, prefix: &'static str) {
        self.refused_prefix.replace(Some(prefix));
    }

    /// Delays the answers to watches, or answers them again.
    pub fn delay_watches(&self, delay: bool) {
        self.delays_watches.set(delay);
    }

    /// Never answers the watches that wait now; later ones are answered.
    pub fn silence_watches(&self) {
        self.silences.set(self.silences.get() + 1);
    }

    /// Refuses the nodes that start from now on, or serves those that start later.
    pub fn refuse_new_nodes(&self, refuses: bool) {
        self.refuses_new_nodes.set(refuses);
    }

    /// Never answers reads that begin from now on, or answers later ones again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
    }

    /// The end of a read that is never answered, as a client with a time limit sees it.
    async fn fail_if_silent(&self) -> Result<(), Report<PlatformError>> {
        if !self.is_silent.get() {
            return Ok(());
        }
        actix_rt::time::sleep(CALL_TIMEOUT).await;
        Err(Report::new(PlatformError::InDoubt {
            system: "store",
            message: "no answer".to_owned(),
        }))
    }

    /// Number of reads of single keys under a prefix.
    pub fn reads(&self, prefix: &str) -> usize {
        let reads = self.reads.borrow();
        reads.iter().filter(|key| key.starts_with(prefix)).count()
    }

    /// Keys under a prefix, with their values.
    pub fn entries(&self, prefix: &str) -> Vec<(String, String)> {
        let entries = self.entries.borrow();
        let under = entries.values().filter(|one| one.key.starts_with(prefix));
        under
            .map(|one| (one.key.clone(), one.value.clone()))
            .collect()
    }

    /// Sets the reported era.
    pub fn set_era(&self, era: u64) {
        self.era.set(era);
    }

    /// A backup of the current state.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup {
            number: self.revision.get(),
            entries: self.entries.borrow().clone(),
        }
    }

    /// Restores a backup: later writes and all leases are lost, and revisions go back.
    pub fn restore(&self, backup: &StoreBackup) {
        self.era.set(self.era.get() + 1);
        self.revision.set(backup.number);
        self.leases.borrow_mut().clear();
        self.events.borrow_mut().clear();
        let leased = std::mem::take(&mut *self.leased.borrow_mut());
        let mut entries = backup.entries.clone();
        entries.retain(|key, _| !leased.contains_key(key));
        for entry in entries.values_mut() {
            entry.revision = Revision::in_era(self.era.get(), entry.revision.number());
        }
        self.entries.replace(entries);
    }

    fn now(&self) -> Revision {
        Revision::in_era(self.era.get(), self.revision.get())
    }

    fn check_available(&self) -> Result<(), Report<PlatformError>> {
        if self.is_unavailable.get() {
            return Err(Report::new(PlatformError::InDoubt {
                system: "store",
                message: "unavailable".to_owned(),
            }));
        }
        Ok(())
    }

    /// Writes a key, or removes it if `value` is `None`.
    pub fn write(&self, key: &str, value: Option<&str>) {
        self.revision.set(self.revision.get() + 1);
        let revision = self.now();
        let value = value.map(str::to_owned);
        let mut entries = self.entries.borrow_mut();
        match &value {
            Some(value) => {
                let entry = Entry {
                    key: key.to_owned(),
                    value: value.clone(),
                    revision,
                };
                entries.insert(key.to_owned(), entry);
            }
            None => {
                entries.remove(key);
            }
        }
        self.events.borrow_mut().push(WatchEvent {
            key: key.to_owned(),
            value,
            revision,
        });
    }
}

#[async_trait(?Send)]
impl KeyValue for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        self.reads.borrow_mut().push(key.to_owned());
        Ok(self.entries.borrow().get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.fail_if_silent().await?;
        self.check_available()?;
        let entries = self.entries.borrow();
        let under = entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix));
        Ok(Listing {
            revision: self.now(),
            entries: under.cloned().collect(),
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let refused = *self.refused_prefix.borrow();
        if refused.is_some_and(|prefix| key.starts_with(prefix)) {
            return Err(Report::new(PlatformError::OutOfService {
                system: "store",
                retry_after: None,
            }));
        }
        let current = self.entries.borrow().get(key).cloned();
        let holds = match (expectation, &current) {
            (WriteExpectation::Absent, None) => true,
            (WriteExpectation::At(revision), Some(entry)) => entry.revision == revision,
            _ => false,
        };
        if !holds {
            return Ok(CasOutcome::Conflict { current });
        }
        if lease.is_some_and(|lease| !self.leases.borrow().contains(&lease)) {
            return Err(Report::new(PlatformError::Rejected {
                system: "store",
                message: "no such lease".to_owned(),
            }));
        }
        self.write(key, value);
        match lease {
            Some(lease) => self.leased.borrow_mut().insert(key.to_owned(), lease),
            None => self.leased.borrow_mut().remove(key),
        };
        let revision = self.now();
        Ok(CasOutcome::Written { revision })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.fail_if_silent().await?;
        let until = tokio::time::Instant::now() + wait;
        let silences = self.silences.get();
        loop {
            if self.silences.get() != silences {
                std::future::pending::<()>().await;
            }
            self.check_available()?;
            if after.era() != self.era.get() {
                return Ok(WatchBatch {
                    revision: after,
                    events: Vec::new(),
                    compacted: true,
                });
            }
            let events: Vec<WatchEvent> = self
                .events
                .borrow()
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .cloned()
                .collect();
            let is_due = !events.is_empty() || tokio::time::Instant::now() >= until;
            if is_due && !self.delays_watches.get() {
                return Ok(WatchBatch {
                    revision: self.now(),
                    events,
                    compacted: false,
                });
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, Report<PlatformError>> {
        self.last_lease.set(self.last_lease.get() + 1);
        let lease = LeaseId(self.last_lease.get());
        self.leases.borrow_mut().insert(lease);
        Ok(lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Ok(self.leases.borrow().contains(&lease))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.leases.borrow_mut().remove(&lease);
        Ok(())
    }
}

/// One node's view of a [`MemoryStore`], which may refuse that node.
#[derive(Default)]
pub struct RefusableStore {
    store: Rc<MemoryStore>,
    refuses: Cell<bool>,
}

impl RefusableStore {
    /// A view of `store`.
    pub fn new(store: Rc<MemoryStore>) -> Self {
        Self {
            refuses: Cell::new(store.refuses_new_nodes.get()),
            store,
        }
    }

    /// Refuses all calls, or none.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.set(refuses);
    }

    /// The result of a call, unless it is refused when made or when answered.
    async fn unless_refused<T>(
        &self,
        call: impl Future<Output = Result<T, Report<PlatformError>>>,
    ) -> Result<T, Report<PlatformError>> {
        self.check()?;
        let result = call.await;
        self.check()?;
        result
    }

    fn check(&self) -> Result<(), Report<PlatformError>> {
        if self.refuses.get() {
            return Err(Report::new(PlatformError::OutOfService {
                system: "store",
                retry_after: None,
            }));
        }
        Ok(())
    }
}

#[async_trait(?Send)]
impl KeyValue for RefusableStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        self.unless_refused(self.store.get(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.unless_refused(self.store.range(prefix)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let swapped = self.store.compare_and_swap(key, expectation, value, lease);
        self.unless_refused(swapped).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.unless_refused(self.store.watch(prefix, after, wait))
            .await
    }

    async fn grant_lease(&self, time: Duration) -> Result<LeaseId, Report<PlatformError>> {
        self.unless_refused(self.store.grant_lease(time)).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        self.unless_refused(self.store.renew_lease(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.unless_refused(self.store.revoke_lease(lease)).await
    }
}

//! A claim is not missed when another leader seals the head while the record is read.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use dalestand_claims::{ClaimHash, ClaimState, Entry, ShardId};
use dalestand_edge::{
    CasOutcome, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};
use dalestand_standin::key_value::Store;
use dalestand_types::{RequestId, Revision};
use error_stack::Report;

use super::ClaimStore;

const SHARD: ShardId = ShardId(3);

/// Key-value service in which another leader seals the head between two reads.
#[derive(Default)]
struct Service {
    store: RefCell<Store>,
    reads: Cell<u32>,
    /// Segment to seal before the second read.
    between_reads: RefCell<Option<(WriteExpectation, Vec<Entry>)>>,
}

impl Service {
    /// Seals the head before the second read.
    async fn before_read(self: &Rc<Self>) {
        self.reads.set(self.reads.get() + 1);
        if self.reads.get() != 2 {
            return;
        }
        let Some((WriteExpectation::At(head), entries)) = self.between_reads.take() else {
            return;
        };
        let other = ClaimStore::new(Rc::new(Handle(Rc::clone(self))));
        assert_eq!(other.seal(SHARD, head, &entries).await, Ok(()));
        let next = [entry("later")];
        let written = other.write(SHARD, Some(head), &next).await;
        assert!(written.is_ok());
    }
}

struct Handle(Rc<Service>);

type Answer<T> = Result<T, Report<PlatformError>>;

#[async_trait(?Send)]
impl KeyValue for Handle {
    async fn get(&self, key: &str) -> Answer<Option<dalestand_edge::Entry>> {
        self.0.before_read().await;
        Ok(self.0.store.borrow().get(key))
    }

    async fn range(&self, prefix: &str) -> Answer<Listing> {
        self.0.before_read().await;
        Ok(self.0.store.borrow().range(prefix))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Answer<CasOutcome> {
        let value = value.map(str::to_owned);
        let mut store = self.0.store.borrow_mut();
        let outcome = store.compare_and_swap(key, expectation, value, lease);
        Ok(outcome.expect("the lease is alive"))
    }

    async fn watch(&self, prefix: &str, after: Revision, _: Duration) -> Answer<WatchBatch> {
        Ok(self.0.store.borrow().changes(prefix, after))
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Answer<LeaseId> {
        let mut store = self.0.store.borrow_mut();
        Ok(store.grant_lease(time_to_live, Instant::now()))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Answer<bool> {
        let mut store = self.0.store.borrow_mut();
        Ok(store.renew_lease(lease, Instant::now()))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Answer<()> {
        self.0.store.borrow_mut().revoke_lease(lease);
        Ok(())
    }
}

fn entry(key: &str) -> Entry {
    Entry {
        key: ClaimHash::of(None, key),
        request: RequestId(1),
        fingerprint: 1,
        state: ClaimState::Running,
    }
}

#[actix_rt::test]
async fn a_claim_that_is_sealed_while_the_record_is_read_is_not_missed() {
    let service = Rc::new(Service::default());
    let reader = ClaimStore::new(Rc::new(Handle(Rc::clone(&service))));
    let claimed = vec![entry("claimed")];
    let head = reader.write(SHARD, None, &claimed).await;
    let head = head.expect("the first head is written");
    let sealing = (WriteExpectation::At(head), claimed.clone());
    service.between_reads.replace(Some(sealing));

    let loaded = reader.load(SHARD).await.expect("the record is read");
    assert!(service.between_reads.borrow().is_none(), "it was sealed");
    let seen: Vec<&Entry> = loaded.sealed.iter().chain(&loaded.head).collect();
    assert!(seen.contains(&&claimed[0]), "{seen:?}");
}

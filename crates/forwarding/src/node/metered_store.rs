//! Wraps the key-value service and records the outcome and duration of each call.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_clock::BootInstant;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, ListingPage, PlatformError, WatchBatch,
    WriteExpectation,
};
use dalestand_types::Revision;
use error_stack::Report;

use crate::context::Context;

/// Forwards each call and records its outcome and duration in the metrics.
pub(crate) struct MeteredStore {
    store: Rc<dyn KeyValue>,
    context: Rc<Context>,
}

impl MeteredStore {
    /// Wraps `store` and records its calls in the metrics of `context`.
    pub(crate) fn new(store: Rc<dyn KeyValue>, context: Rc<Context>) -> Self {
        Self { store, context }
    }

    async fn meter<T>(
        &self,
        call: &'static str,
        answered: impl Future<Output = Result<T, Report<PlatformError>>>,
    ) -> Result<T, Report<PlatformError>> {
        let started = BootInstant::now();
        let answer = answered.await;
        let outcome = match &answer {
            Ok(_) => "done",
            Err(report) => outcome_label(report.current_context()),
        };
        let metrics = &self.context.metrics;
        metrics.store_call(call, outcome, started.elapsed());
        answer
    }
}

fn outcome_label(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::Unreachable { .. } => "unreachable",
        PlatformError::RateLimited { .. } => "throttled",
        PlatformError::OutOfService { .. } => "out-of-service",
        PlatformError::Rejected { .. } => "rejected",
        PlatformError::InDoubt { .. } => "in-doubt",
        PlatformError::Malformed { .. } => "malformed",
    }
}

#[async_trait(?Send)]
impl KeyValue for MeteredStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        self.meter("get", self.store.get(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.meter("range", self.store.range(prefix)).await
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<ListingPage, Report<PlatformError>> {
        self.meter("page", self.store.page(prefix, after)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let swapped = self.store.compare_and_swap(key, expectation, value, lease);
        self.meter("compare-and-swap", swapped).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        let watched = self.store.watch(prefix, after, wait);
        self.meter("watch", watched).await
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>> {
        let granted = self.store.grant_lease(time_to_live);
        self.meter("grant-lease", granted).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        self.meter("renew-lease", self.store.renew_lease(lease))
            .await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.meter("revoke-lease", self.store.revoke_lease(lease))
            .await
    }

    fn discard_connections(&self) {
        self.store.discard_connections();
    }
}

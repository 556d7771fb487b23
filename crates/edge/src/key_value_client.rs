//! HTTP client of the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::Revision;
use error_stack::Report;

use crate::http::JsonClient;
use crate::wire::Empty;
use crate::wire::key_value::{
    GET, GetRequest, GetResponse, LEASE_GRANT, LEASE_RENEW, LEASE_REVOKE, LeaseGrantRequest,
    LeaseGrantResponse, LeaseRenewResponse, LeaseRequest, PUT, PutRequest, RANGE, RangeRequest,
    WATCH, WatchRequest,
};
use crate::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};

/// Time limit of a call, in addition to the time that a watch waits for changes.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer accepted, in bytes. A listing is one answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client of the key-value service.
pub struct HttpKeyValue {
    client: JsonClient,
}

impl HttpKeyValue {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::new("key-value service", address, CALL_TIMEOUT, MAX_ANSWER_BYTES),
        }
    }
}

#[async_trait(?Send)]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        let request = GetRequest {
            key: key.to_owned(),
        };
        let response: GetResponse = self.client.post(GET, &request).await?;
        Ok(response.entry)
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let request = RangeRequest {
            prefix: prefix.to_owned(),
        };
        self.client.post(RANGE, &request).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let value = value.map(str::to_owned);
        let request = PutRequest {
            key: key.to_owned(),
            value,
            expectation,
            lease,
        };
        self.client.post(PUT, &request).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        let wait_ms = wait.as_millis() as u64;
        let request = WatchRequest {
            prefix: prefix.to_owned(),
            after,
            wait_ms,
        };
        self.client
            .post_within(WATCH, &request, wait + CALL_TIMEOUT)
            .await
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>> {
        let request = LeaseGrantRequest {
            ttl_ms: time_to_live.as_millis() as u64,
        };
        let response: LeaseGrantResponse = self.client.post(LEASE_GRANT, &request).await?;
        Ok(response.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        let request = LeaseRequest { lease };
        let response: LeaseRenewResponse = self.client.post(LEASE_RENEW, &request).await?;
        Ok(response.alive)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        let request = LeaseRequest { lease };
        let _: Empty = self.client.post(LEASE_REVOKE, &request).await?;
        Ok(())
    }
}

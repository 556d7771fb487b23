//! Wire formats shared by the HTTP clients in this crate and the simulated services (`standin`).

use serde::{Deserialize, Serialize};

/// Body of a 429 answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryAfter {
    /// Time to wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// An empty JSON object.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Empty {}

/// Paths and bodies of the key-value service.
pub mod key_value {
    use dalestand_types::Revision;
    use serde::{Deserialize, Serialize};

    use crate::key_value::{Entry, LeaseId, WriteExpectation};

    /// Reads one key.
    pub const GET: &str = "/v1/get";
    /// Reads all keys under a prefix.
    pub const RANGE: &str = "/v1/range";
    /// Writes or deletes a key by compare-and-swap.
    pub const PUT: &str = "/v1/put";
    /// Waits for changes under a prefix.
    pub const WATCH: &str = "/v1/watch";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/v1/lease/grant";
    /// Renews a lease.
    pub const LEASE_RENEW: &str = "/v1/lease/renew";
    /// Revokes a lease, which deletes its keys.
    pub const LEASE_REVOKE: &str = "/v1/lease/revoke";

    /// Body of [`GET`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct GetRequest {
        pub key: String,
    }

    /// Answer to [`GET`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct GetResponse {
        pub entry: Option<Entry>,
    }

    /// Body of [`RANGE`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct RangeRequest {
        pub prefix: String,
    }

    /// Body of [`PUT`]; a `value` of `None` deletes the key.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct PutRequest {
        pub key: String,
        pub value: Option<String>,
        pub expectation: WriteExpectation,
        pub lease: Option<LeaseId>,
    }

    /// Body of [`WATCH`]. The answer comes at the first change, or after `wait_ms` without events.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct WatchRequest {
        pub prefix: String,
        pub after: Revision,
        pub wait_ms: u64,
    }

    /// Body of [`LEASE_GRANT`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct LeaseGrantRequest {
        pub ttl_ms: u64,
    }

    /// Answer to [`LEASE_GRANT`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct LeaseGrantResponse {
        pub lease: LeaseId,
    }

    /// Body of [`LEASE_RENEW`] and [`LEASE_REVOKE`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct LeaseRequest {
        pub lease: LeaseId,
    }

    /// Answer to [`LEASE_RENEW`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct LeaseRenewResponse {
        /// Whether the lease still exists.
        pub alive: bool,
    }
}

/// Paths and bodies of engines.
pub mod engine {
    use dalestand_types::{AttemptId, Epoch};
    use serde::{Deserialize, Serialize};

    /// Runs a request; the answer is a stream of frames, one JSON object per line.
    pub const GENERATE: &str = "/v1/generate";
    /// Stops an attempt.
    pub const CANCEL: &str = "/v1/cancel";
    /// Sends an order (POST) or reads the order state (GET).
    pub const ORDERS: &str = "/v1/orders";
    /// Raises the highest epoch that the engine has seen.
    pub const EPOCH: &str = "/v1/epoch";
    /// Sends the KV cache of a prompt to the calling engine; answered after the transfer.
    pub const CACHE_EXPORT: &str = "/v1/cache/export";
    /// Reads the last load report.
    pub const LOAD: &str = "/v1/load";

    /// Reads events of the prefix cache; `?after=N` omits those with sequence numbers up to N.
    pub const CACHE_EVENTS: &str = "/v1/cache-events";
    /// Query parameter of [`CACHE_EVENTS`] with the last known sequence number.
    pub const CACHE_EVENTS_AFTER: &str = "after";

    /// Body of [`CANCEL`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct CancelRequest {
        pub attempt: AttemptId,
    }

    /// Body of [`CACHE_EXPORT`]. The answer is [`CacheExportResponse`], or 404 if the engine no
    /// longer holds the KV cache.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct CacheExportRequest {
        pub attempt: AttemptId,
    }

    /// Answer to [`CACHE_EXPORT`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct CacheExportResponse {
        /// Prompt tokens whose KV cache was sent.
        pub prompt_tokens: u32,
    }

    /// Body of [`EPOCH`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct RaiseEpochRequest {
        pub epoch: Epoch,
    }
}

/// Paths and bodies of the machine list.
pub mod machine_list {
    use dalestand_types::Machine;
    use serde::{Deserialize, Serialize};

    /// Reads the list (GET) or registers a machine (POST).
    pub const MACHINES: &str = "/v1/machines";

    /// Answer to a read of [`MACHINES`].
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct MachinesResponse {
        pub machines: Vec<Machine>,
    }
}

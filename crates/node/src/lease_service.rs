//! Group leases in the key-value service: each is a record that names the holder and is attached to
//! a lease of the service. The revision of the record is the fencing epoch.

use std::rc::Rc;
use std::time::Duration;

use dalestand_control::LeaseGrant;
use dalestand_edge::{CasOutcome, KeyValue, LeaseId, PlatformError, WriteExpectation};
use dalestand_types::{Epoch, GroupId, MonotonicTime, NodeId};
use error_stack::Report;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// Maximum number of reads to find out whether a write in doubt took effect.
const READ_BACK_ATTEMPTS: usize = 3;

/// Delay between two reads of [`READ_BACK_ATTEMPTS`].
const READ_BACK_DELAY: Duration = Duration::from_millis(200);

/// Stored value that names the holder of a group's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    node: NodeId,
    /// Id unique to the write, by which a writer recognizes its write if the answer was lost.
    writer: String,
}

/// Acquires, renews and releases group leases for one node.
pub(crate) struct LeaseService {
    key_value: Rc<dyn KeyValue>,
    node: NodeId,
    time_to_live: Duration,
}

impl LeaseService {
    /// A service that acquires leases of `time_to_live` for `node`.
    pub(crate) fn new(key_value: Rc<dyn KeyValue>, node: NodeId, time_to_live: Duration) -> Self {
        Self {
            key_value,
            node,
            time_to_live,
        }
    }

    pub(crate) fn time_to_live(&self) -> Duration {
        self.time_to_live
    }

    /// Tries to acquire a group's lease; `None` if another node holds it. `sent_at` is a time
    /// before the call, from which the validity of the lease counts.
    pub(crate) async fn acquire(
        &self,
        group: &GroupId,
        sent_at: MonotonicTime,
    ) -> Result<Option<LeaseGrant>, Report<PlatformError>> {
        let key = holder_key(group);
        // Avoids granting a lease in the common case that another node holds the group.
        if self.key_value.get(&key).await?.is_some() {
            return Ok(None);
        }
        let lease = self.key_value.grant_lease(self.time_to_live).await?;
        let written = self.write_holder(&key, lease).await;
        if !matches!(written, Ok(Some(_))) {
            // Revoking the lease also undoes the write in case it took effect.
            drop(self.key_value.revoke_lease(lease).await);
        }
        let grant = |epoch| LeaseGrant {
            lease: lease.0,
            epoch,
            sent_at,
            time_to_live: self.time_to_live,
        };
        Ok(written?.map(grant))
    }

    async fn write_holder(
        &self,
        key: &str,
        lease: LeaseId,
    ) -> Result<Option<Epoch>, Report<PlatformError>> {
        let writer = format!("{:032x}", rand::rng().random::<u128>());
        let value = serde_json::json!(HolderRecord {
            node: self.node.clone(),
            writer,
        })
        .to_string();
        let written = self
            .key_value
            .compare_and_swap(key, WriteExpectation::Absent, Some(&value), Some(lease))
            .await;
        match written {
            Ok(CasOutcome::Written { revision }) => Ok(Some(Epoch(revision.0))),
            Ok(CasOutcome::Conflict { .. }) => Ok(None),
            Err(error) if error.current_context().is_in_doubt() => {
                self.read_back(key, &value, error).await
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the record to find out whether a write whose answer was lost took effect.
    async fn read_back(
        &self,
        key: &str,
        value: &str,
        mut error: Report<PlatformError>,
    ) -> Result<Option<Epoch>, Report<PlatformError>> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.key_value.get(key).await {
                Ok(Some(entry)) if entry.value == value => {
                    return Ok(Some(Epoch(entry.revision.0)));
                }
                Ok(_) => return Ok(None),
                Err(next) => error = next,
            }
            actix_rt::time::sleep(READ_BACK_DELAY).await;
        }
        Err(error)
    }

    /// Renews a lease; `false` if it has expired or was revoked.
    pub(crate) async fn renew(&self, lease: u64) -> Result<bool, Report<PlatformError>> {
        self.key_value.renew_lease(LeaseId(lease)).await
    }

    pub(crate) async fn release(&self, lease: u64) -> Result<(), Report<PlatformError>> {
        self.key_value.revoke_lease(LeaseId(lease)).await
    }
}

fn holder_key(group: &GroupId) -> String {
    format!("groups/{group}/holder")
}

//! A group's lease as the key-value service keeps it: a record that names the holder, hanging on
//! a lease, whose revision is the fencing epoch.

use std::rc::Rc;
use std::time::Duration;

use dalestand_control::LeaseGrant;
use dalestand_edge::{CasOutcome, KeyValue, LeaseId, PlatformError, WriteExpectation};
use dalestand_types::{Epoch, GroupId, MonotonicTime, NodeId};
use error_stack::Report;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// How often a write in doubt is looked for.
const READ_BACK_ATTEMPTS: usize = 3;

/// Pause between two looks for a write in doubt.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Who holds a group's lease; the value of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    node: NodeId,
    /// Unique to the write, so that a writer whose answer was lost knows its own.
    writer: String,
}

/// Asks the key-value service for leases on behalf of one node.
pub(crate) struct LeaseService {
    key_value: Rc<dyn KeyValue>,
    node: NodeId,
    time_to_live: Duration,
}

impl LeaseService {
    /// Leases of `time_to_live` for `node`.
    pub(crate) fn new(key_value: Rc<dyn KeyValue>, node: NodeId, time_to_live: Duration) -> Self {
        Self {
            key_value,
            node,
            time_to_live,
        }
    }

    /// Time to live of a lease.
    pub(crate) fn time_to_live(&self) -> Duration {
        self.time_to_live
    }

    /// Asks for a group's lease; `None` if another node holds it. `sent_at` is the time before
    /// the call.
    pub(crate) async fn acquire(
        &self,
        group: &GroupId,
        sent_at: MonotonicTime,
    ) -> Result<Option<LeaseGrant>, Report<PlatformError>> {
        let key = holder_key(group);
        // One read settles the usual case of a group that is held after all.
        if self.key_value.get(&key).await?.is_some() {
            return Ok(None);
        }
        let lease = self.key_value.grant_lease(self.time_to_live).await?;
        let written = self.write_holder(&key, lease).await;
        if !matches!(written, Ok(Some(_))) {
            // Whatever became of the write, without its lease it is of no effect.
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

    /// Looks whether a write whose answer was lost took effect: the record says whose it is.
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
            actix_rt::time::sleep(READ_BACK_PAUSE).await;
        }
        Err(error)
    }

    /// Renews a lease; `false` if it is gone.
    pub(crate) async fn renew(&self, lease: u64) -> Result<bool, Report<PlatformError>> {
        self.key_value.renew_lease(LeaseId(lease)).await
    }

    /// Gives a lease up.
    pub(crate) async fn release(&self, lease: u64) -> Result<(), Report<PlatformError>> {
        self.key_value.revoke_lease(LeaseId(lease)).await
    }
}

fn holder_key(group: &GroupId) -> String {
    format!("groups/{group}/holder")
}

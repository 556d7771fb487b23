//! Model of the key-value service: the group's record and its lease.

use std::time::Duration;

use dalestand_types::{Epoch, MonotonicTime};

/// Time to live of a lease by the clock of the holders.
pub const LEASE: Duration = Duration::from_secs(6);

/// Time to live at the service, whose clock runs 10% faster.
const SERVICE_LEASE: Duration = Duration::from_millis(5_400);

/// The record that names the holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderRecord {
    /// Unique id of the write.
    pub writer: u64,
    /// Lease to which the record is bound.
    pub lease: u64,
    /// Epoch: the revision of the write.
    pub epoch: Epoch,
    expires: MonotonicTime,
}

#[derive(Default)]
pub struct KeyValueModel {
    record: Option<HolderRecord>,
    revision: u64,
    next_lease: u64,
}

impl KeyValueModel {
    /// The record, unless its lease has expired.
    pub fn record(&self, now: MonotonicTime) -> Option<HolderRecord> {
        self.record.filter(|record| now < record.expires)
    }

    /// Writes the record if it is absent.
    pub fn acquire(&mut self, now: MonotonicTime, writer: u64) -> Option<HolderRecord> {
        if self.record(now).is_some() {
            return None;
        }
        self.revision += 1;
        self.next_lease += 1;
        self.record = Some(HolderRecord {
            writer,
            lease: self.next_lease,
            epoch: Epoch(self.revision),
            expires: now + SERVICE_LEASE,
        });
        self.record
    }

    /// Renews a lease. Returns `false` if it no longer exists.
    pub fn renew(&mut self, now: MonotonicTime, lease: u64) -> bool {
        let alive = self.record(now).is_some_and(|record| record.lease == lease);
        if let Some(record) = self.record.as_mut().filter(|_| alive) {
            record.expires = now + SERVICE_LEASE;
        }
        alive
    }

    /// Deletes a lease and the record bound to it.
    pub fn revoke(&mut self, lease: u64) {
        self.record = self.record.filter(|record| record.lease != lease);
    }
}

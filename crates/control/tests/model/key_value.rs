//! The group's record in the key-value service, with its lease.

use std::time::Duration;

use dalestand_types::{Epoch, MonotonicTime};

/// Time to live of a lease, as holders count it.
pub const LEASE: Duration = Duration::from_secs(6);

/// The same by the service's clock, which runs a tenth faster.
const LEASE_AT_SERVICE: Duration = Duration::from_millis(5_400);

/// The record that names the holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderRecord {
    /// Unique to the write.
    pub writer: u64,
    /// The lease it hangs on.
    pub lease: u64,
    /// Revision of the write.
    pub epoch: Epoch,
    expires: MonotonicTime,
}

/// The service.
#[derive(Default)]
pub struct KeyValueModel {
    record: Option<HolderRecord>,
    revision: u64,
    next_lease: u64,
}

impl KeyValueModel {
    /// The record, unless its lease has run out.
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
            expires: now + LEASE_AT_SERVICE,
        });
        self.record
    }

    /// Renews a lease; `false` if it is gone.
    pub fn renew(&mut self, now: MonotonicTime, lease: u64) -> bool {
        let alive = self.record(now).is_some_and(|record| record.lease == lease);
        if let Some(record) = self.record.as_mut().filter(|_| alive) {
            record.expires = now + LEASE_AT_SERVICE;
        }
        alive
    }

    /// Gives a lease up.
    pub fn revoke(&mut self, lease: u64) {
        self.record = self.record.filter(|record| record.lease != lease);
    }
}

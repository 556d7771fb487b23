//! Pages of entries as a member was last sent them.

use std::rc::Rc;

use dalestand_dissemination::EntriesRequest;

use crate::dissemination::datagram::Datagram;

/// Pages that were sent to a member, for others that lack the same: after a start all members of a relay
/// know nothing, and are sent the same pages, built and encoded once instead of fifty times.
pub(crate) struct SentPages {
    pub(super) request: EntriesRequest,
    pub(super) table_digest: u64,
    pub(super) pages: Vec<Rc<Datagram>>,
}

impl SentPages {
    /// Whether they are what is asked for, as entries of this digest stand.
    pub(super) fn answers(&self, table_digest: u64, request: &EntriesRequest) -> bool {
        self.table_digest == table_digest
            && self.request.max_bytes == request.max_bytes
            && self.request.digests == request.digests
    }
}

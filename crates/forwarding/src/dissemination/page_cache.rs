//! Cache of the last answer to an entries request.

use dalestand_dissemination::EntriesRequest;

use crate::dissemination::datagram::EncodedPage;

/// Pages of the last answer, reused for members that send the same digests: after a start all members
/// of a relay have no entries and request the same pages.
pub(crate) struct PageCache {
    pub(super) request: EntriesRequest,
    pub(super) table_digest: u64,
    pub(super) pages: Vec<EncodedPage>,
}

impl PageCache {
    /// Whether the pages answer `request`, given the digest of the current entries.
    pub(super) fn matches(&self, table_digest: u64, request: &EntriesRequest) -> bool {
        self.table_digest == table_digest
            && self.request.max_bytes == request.max_bytes
            && self.request.digests == request.digests
    }
}

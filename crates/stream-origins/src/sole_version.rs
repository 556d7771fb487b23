//! Whether one version alone can have begun a stream of which no record is known.

use dalestand_types::SoftwareVersion;

use crate::pool_versions::VersionsServing;

/// What nodes know of the versions of a pool, when a stream without a known origin is to be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEvidence {
    /// What the node that resumes the stream knows.
    pub own: VersionsServing,
    /// Whether its entries of engines are current.
    pub is_current: bool,
    /// What those nodes know that would have a record of the stream. Nodes that did not answer are left out.
    pub peers: Vec<VersionsServing>,
    /// Whether all of these answered; false if there is none.
    pub all_answered: bool,
}

impl PoolEvidence {
    /// The version that must have begun the stream; `None` if that is not certain.
    ///
    /// No node that answered may have seen another version. A node that is cut off may have missed one, so that its own
    /// view counts only if its entries are current, or if all others agree.
    pub fn sole_version(&self) -> Option<&SoftwareVersion> {
        let VersionsServing::Sole(sole) = &self.own else {
            return None;
        };
        let mut peers = self.peers.iter();
        let agree = peers.all(|view| match view {
            VersionsServing::Sole(software) => software == sole,
            VersionsServing::Several => false,
            VersionsServing::Unknown => self.is_current,
        });
        (agree && (self.is_current || self.all_answered)).then_some(sole)
    }
}

//! The software versions that may have begun streams of a pool, as all nodes share them.

use std::collections::BTreeSet;

use dalestand_types::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// The software versions by which the streams of a pool may have been begun that can still be resumed.
///
/// The key-value service holds it. A version is in it before the first stream begins at one of its engines, so that
/// whoever reads it after a stream has begun finds the stream's version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredText")]
pub struct StoredVersions {
    /// The era of the key-value service in which it was written.
    era: u64,
    /// Versions at which streams may begin.
    serving: BTreeSet<SoftwareVersion>,
    /// Versions whose engines have ended. No stream begins at one until it serves again.
    retired: BTreeSet<SoftwareVersion>,
}

/// The forms in which it may be stored.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredText {
    Current {
        era: u64,
        serving: BTreeSet<SoftwareVersion>,
        retired: BTreeSet<SoftwareVersion>,
    },
    /// Of earlier builds, which began streams before they stored the version.
    List(BTreeSet<SoftwareVersion>),
}

impl From<StoredText> for StoredVersions {
    fn from(text: StoredText) -> Self {
        match text {
            StoredText::Current {
                era,
                serving,
                retired,
            } => Self {
                era,
                serving,
                retired,
            },
            StoredText::List(mut retired) => {
                retired.insert(SoftwareVersion::unknown());
                Self {
                    retired,
                    ..Self::default()
                }
            }
        }
    }
}

impl StoredVersions {
    /// For a pool for which none are stored, in this era of the key-value service. Unless `nothing_before`, streams may have
    /// been begun at a version that is not known.
    pub fn new(era: u64, nothing_before: bool) -> Self {
        let unknown = (!nothing_before).then(SoftwareVersion::unknown);
        Self {
            era,
            serving: BTreeSet::new(),
            retired: unknown.into_iter().collect(),
        }
    }

    /// What it tells in a later era of the key-value service. The service was restored from a backup, so that versions may
    /// have been lost.
    #[must_use]
    pub fn in_era(mut self, era: u64) -> Self {
        if self.era < era {
            self.era = era;
            self.retired.append(&mut self.serving);
            self.retired.insert(SoftwareVersion::unknown());
        }
        self
    }

    /// Whether streams may begin at engines of this version.
    pub fn is_serving(&self, software: &SoftwareVersion) -> bool {
        self.serving.contains(software)
    }

    /// Versions at which streams may begin.
    pub fn serving(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.serving.iter()
    }

    /// Versions whose engines have ended.
    pub fn retired(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.retired.iter()
    }

    /// The version that began every stream; `None` if there may be several, or if it is not known.
    pub fn sole(&self) -> Option<&SoftwareVersion> {
        let mut all = self.serving.union(&self.retired);
        let first = all.next().filter(|first| first.is_known());
        first.filter(|_| all.next().is_none())
    }

    /// Adds a version at which streams are to begin.
    pub fn serve(&mut self, software: SoftwareVersion) {
        self.retired.remove(&software);
        self.serving.insert(software);
    }

    /// Ends the use of a version: nodes that learn of it begin no more streams there.
    pub fn retire(&mut self, software: &SoftwareVersion) {
        if let Some(software) = self.serving.take(software) {
            self.retired.insert(software);
        }
    }

    /// Removes a retired version whose streams have expired.
    pub fn expire(&mut self, software: &SoftwareVersion) {
        self.retired.remove(software);
    }
}

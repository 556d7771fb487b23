//! What one node knows of the software versions of a pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dalestand_types::{MonotonicTime, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::stored_versions::StoredVersions;

/// Time after its first event within which a caller may resume a stream: a multiple of the deadlines of
/// requests, which bound all attempts together.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(120);

/// Age of what a node knows of the stored versions and of the engines beyond which it begins no streams: longer than most
/// outages of the key-value service, as streams go on to begin until then.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(600);

/// Time without engines after which a version is retired: longer than an engine that crashed takes to start again.
const RETIREMENT_DELAY: Duration = Duration::from_secs(30);

/// The software versions by which the streams of a pool may have been begun that can still be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionsServing {
    /// This one only.
    Sole(SoftwareVersion),
    /// More than one.
    Several,
    /// Not known.
    Unknown,
}

/// The versions of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolVersions {
    /// What is stored for all nodes, as this node has last read it.
    stored: Option<StoredVersions>,
    /// Listed engines by reported version.
    engines: HashMap<SoftwareVersion, usize>,
    /// Since when stored versions have had no listed engine, as far as this node has watched.
    absent_since: BTreeMap<SoftwareVersion, MonotonicTime>,
}

impl PoolVersions {
    pub(crate) fn add(&mut self, software: &SoftwareVersion) {
        *self.engines.entry(software.clone()).or_default() += 1;
        self.absent_since.remove(software);
    }

    pub(crate) fn remove(&mut self, software: &SoftwareVersion) {
        if let Some(count) = self.engines.get_mut(software) {
            *count -= 1;
            if *count == 0 {
                self.engines.remove(software);
            }
        }
    }

    pub(crate) fn stored(&self) -> Option<&StoredVersions> {
        self.stored.as_ref()
    }

    pub(crate) fn set_stored(&mut self, stored: Option<StoredVersions>) {
        let former = self.stored.take();
        let was_serving = |version: &SoftwareVersion| {
            former
                .as_ref()
                .is_some_and(|former| former.is_serving(version))
        };
        self.absent_since.retain(|version, _| {
            let Some(stored) = &stored else {
                return false;
            };
            stored.is_serving(version) && was_serving(version)
                || stored.retired().any(|retired| retired == version)
        });
        self.stored = stored;
    }

    /// Versions of listed engines at which streams may not begin yet.
    pub(crate) fn unstored(&self) -> BTreeSet<SoftwareVersion> {
        let stored = self.stored.as_ref();
        let versions = self.engines.keys();
        let unstored =
            versions.filter(|version| !stored.is_some_and(|stored| stored.is_serving(version)));
        unstored.cloned().collect()
    }

    pub(crate) fn serving(&self) -> VersionsServing {
        let Some(stored) = &self.stored else {
            return VersionsServing::Unknown;
        };
        match stored.sole() {
            Some(sole) if self.engines.keys().all(|version| version == sole) => {
                VersionsServing::Sole(sole.clone())
            }
            _ => VersionsServing::Several,
        }
    }

    /// Forgets for how long versions have been without engines: this node may have missed some, or other nodes' writes.
    pub(crate) fn restart_watch(&mut self) {
        self.absent_since.clear();
    }

    /// What to store instead, after versions have been without engines for long enough; `None` if nothing changes.
    pub(crate) fn without_expired(&mut self, now: MonotonicTime) -> Option<StoredVersions> {
        let stored = self.stored.as_ref()?;
        let mut next = stored.clone();
        for version in stored.serving().chain(stored.retired()) {
            if self.engines.contains_key(version) {
                continue;
            }
            let since = *self.absent_since.entry(version.clone()).or_insert(now);
            if stored.is_serving(version) {
                if now.since(since) >= RETIREMENT_DELAY {
                    next.retire(version);
                    // Nodes that do not hear of it may begin streams there until their view is too old.
                    self.absent_since.insert(version.clone(), now);
                }
            } else if now.since(since) >= MAX_VIEW_AGE + STREAM_LIFETIME {
                next.expire(version);
            }
        }
        (next != *stored).then_some(next)
    }
}

//! Software versions of the listed engines.

use std::collections::{BTreeSet, HashMap};

use dalestand_routing::staged::EngineKey;
use dalestand_types::{MonotonicTime, PoolName, SoftwareVersion};

use crate::pool_versions::{PoolVersions, VersionsServing};
use crate::stored_versions::StoredVersions;

/// Reports of engines that are not listed yet, or no more, that are kept at least.
const MIN_UNLISTED: usize = 1_024;

/// The version of an engine's software.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportedVersion {
    software: SoftwareVersion,
    /// Whether another node has reported that it is stored.
    is_stored: bool,
}

/// Software versions of the listed engines. A version may be reported before its engine is listed, or after. It counts once it
/// is stored for all nodes.
#[derive(Debug, Default)]
pub struct EngineVersions {
    reported: HashMap<EngineKey, ReportedVersion>,
    listed: HashMap<EngineKey, PoolName>,
    /// Listed engines at which no stream may begin.
    missing: BTreeSet<EngineKey>,
    pools: HashMap<PoolName, PoolVersions>,
}

impl EngineVersions {
    /// Records that an engine is listed.
    pub fn list(&mut self, engine: EngineKey, pool: &PoolName) {
        if self.listed.get(&engine) == Some(pool) {
            return;
        }
        let former = self.listed.insert(engine, pool.clone());
        if let Some(reported) = self.reported.get(&engine) {
            if let Some(former) = former.and_then(|former| self.pools.get_mut(&former)) {
                former.remove(&reported.software);
            }
            let pool = self.pools.entry(pool.clone()).or_default();
            pool.add(&reported.software);
        } else {
            self.pools.entry(pool.clone()).or_default();
        }
        self.update_missing(engine);
    }

    /// Records that an engine is no longer listed.
    pub fn unlist(&mut self, engine: EngineKey) {
        self.forget(engine);
        self.listed.remove(&engine);
        self.missing.remove(&engine);
    }

    /// Records the version that an engine's entry names.
    pub fn record(&mut self, engine: EngineKey, software: SoftwareVersion) {
        let is_stored = false;
        let reported = ReportedVersion {
            software,
            is_stored,
        };
        if self.software(engine) != Some(&reported.software) {
            self.replace(engine, reported);
        }
    }

    /// Records the version of an engine from another node, for which it is stored. An entry that this node has read
    /// outweighs it.
    pub fn record_stored_elsewhere(&mut self, engine: EngineKey, software: SoftwareVersion) {
        let known = self.software(engine);
        if known.is_some_and(|known| *known != software) {
            return;
        }
        let is_stored = true;
        let reported = ReportedVersion {
            software,
            is_stored,
        };
        self.replace(engine, reported);
    }

    fn replace(&mut self, engine: EngineKey, reported: ReportedVersion) {
        let former = self.reported.insert(engine, reported.clone());
        if let Some(pool) = self.listed.get(&engine) {
            let pool = self.pools.entry(pool.clone()).or_default();
            if let Some(former) = former {
                pool.remove(&former.software);
            }
            pool.add(&reported.software);
        }
        if self.reported.len() > 2 * self.listed.len() + MIN_UNLISTED {
            let listed = &self.listed;
            self.reported
                .retain(|known, _| *known == engine || listed.contains_key(known));
        }
        self.update_missing(engine);
    }

    /// Updates whether no stream may begin at an engine; returns whether that has changed.
    fn update_missing(&mut self, engine: EngineKey) -> bool {
        if self.listed.contains_key(&engine) && self.get(engine).is_none() {
            self.missing.insert(engine)
        } else {
            self.missing.remove(&engine)
        }
    }

    /// The engines at which streams may begin from now on, or no more.
    fn update_all_missing(&mut self, engines: Vec<EngineKey>) -> Vec<EngineKey> {
        let engines = engines.into_iter();
        engines
            .filter(|engine| self.update_missing(*engine))
            .collect()
    }

    /// Forgets the version of an engine that has restarted, perhaps with another one.
    pub fn forget(&mut self, engine: EngineKey) {
        let Some(former) = self.reported.remove(&engine) else {
            return;
        };
        let pool = self.listed.get(&engine);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.remove(&former.software);
        }
        self.update_missing(engine);
    }

    /// The version of a listed engine, once streams may begin there.
    pub fn get(&self, engine: EngineKey) -> Option<&SoftwareVersion> {
        let reported = self.reported.get(&engine)?;
        let pool = self.pools.get(self.listed.get(&engine)?)?;
        let stored = pool.stored();
        let is_stored = stored.is_some_and(|stored| stored.is_serving(&reported.software));
        (reported.is_stored || is_stored).then_some(&reported.software)
    }

    /// The version of an engine as it was reported, stored or not.
    pub fn software(&self, engine: EngineKey) -> Option<&SoftwareVersion> {
        self.reported
            .get(&engine)
            .map(|reported| &reported.software)
    }

    /// The pool of a listed engine.
    pub fn pool_of(&self, engine: EngineKey) -> Option<&PoolName> {
        self.listed.get(&engine)
    }

    /// The listed engines and their versions, if streams may begin there.
    pub fn listed(&self) -> impl Iterator<Item = (EngineKey, Option<&SoftwareVersion>)> {
        let listed = self.listed.keys();
        listed.map(|engine| (*engine, self.get(*engine)))
    }

    /// Listed engines whose version is not known, or at which no stream may begin yet.
    pub fn missing(&self) -> impl ExactSizeIterator<Item = EngineKey> {
        self.missing.iter().copied()
    }

    /// The pools that have had engines.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// The versions by which streams of the pool may have been begun, as this node has last heard.
    pub fn serving(&self, pool: &PoolName) -> VersionsServing {
        let pool = self.pools.get(pool);
        pool.map_or(VersionsServing::Unknown, PoolVersions::serving)
    }

    /// What is stored for the pool, as this node has last read it.
    pub fn stored(&self, pool: &PoolName) -> Option<&StoredVersions> {
        self.pools.get(pool)?.stored()
    }

    /// Records what is stored for the pool. Returns the engines at which streams may begin from now on, or no more.
    pub fn set_stored(
        &mut self,
        pool: &PoolName,
        stored: Option<StoredVersions>,
    ) -> Vec<EngineKey> {
        let known = self.pools.entry(pool.clone()).or_default();
        known.set_stored(stored);
        let listed = self.listed.iter().filter(|(_, other)| *other == pool);
        let engines = listed.map(|(engine, _)| *engine).collect();
        self.update_all_missing(engines)
    }

    /// Forgets what is stored: the key-value service has been restored from a backup. Returns the engines at which streams
    /// may begin no more.
    pub fn clear_stored(&mut self) -> Vec<EngineKey> {
        for pool in self.pools.values_mut() {
            pool.set_stored(None);
        }
        for reported in self.reported.values_mut() {
            reported.is_stored = false;
        }
        let engines = self.listed.keys().copied().collect();
        self.update_all_missing(engines)
    }

    /// Versions of listed engines of the pool that are still to be stored before streams may begin there.
    pub fn unstored(&self, pool: &PoolName) -> BTreeSet<SoftwareVersion> {
        let pool = self.pools.get(pool);
        pool.map(PoolVersions::unstored).unwrap_or_default()
    }

    /// Forgets for how long stored versions have been without engines: this node may have missed some.
    pub fn restart_watch(&mut self) {
        let pools = self.pools.values_mut();
        pools.for_each(PoolVersions::restart_watch);
    }

    /// What to store for the pool instead, once versions have been without engines for long enough.
    pub fn without_expired(
        &mut self,
        now: MonotonicTime,
        pool: &PoolName,
    ) -> Option<StoredVersions> {
        self.pools.get_mut(pool)?.without_expired(now)
    }
}

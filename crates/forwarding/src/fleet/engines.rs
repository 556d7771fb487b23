//! The engines that accept new work.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use dalestand_dissemination::EngineCode;
use dalestand_edge::routed::EngineEntry;
use dalestand_engine_link::LinkTarget;
use dalestand_routes::{PoolConfig, RouteTable};
use dalestand_routing::staged::{EngineKey, EnginePool, Stage, StagedEngine};
use dalestand_stream_origins::StreamBinding;
use dalestand_types::{PoolName, Role, SoftwareVersion};

/// Separates the run from its start time in connection targets, so that connections to a previous
/// start are not reused. Names of runs are sent in headers as one word, so that none holds it.
const START_SEPARATOR: char = ' ';

/// One run of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEngine {
    /// Its pool.
    pub pool: PoolName,
    /// Its listen address.
    pub address: SocketAddr,
    /// Name of the run.
    pub run: Arc<str>,
    /// Start time by the engine's clock, in milliseconds since 1970, if its entry states it.
    pub started_at_ms: Option<u64>,
    /// Capacity of its KV cache in tokens; 0 if it has none.
    pub kv_cache_tokens: u64,
    /// Version of its software, once streams may begin there.
    pub software: Option<SoftwareVersion>,
}

/// The name of the engine's run that a target is for.
pub(crate) fn engine_name(target: &LinkTarget) -> &str {
    target.run.split(START_SEPARATOR).next().unwrap_or_default()
}

impl FleetEngine {
    /// The target of connections to this start of the engine.
    pub fn target(&self) -> LinkTarget {
        LinkTarget {
            address: self.address,
            run: match self.started_at_ms {
                Some(start) => format!("{}{START_SEPARATOR}{start}", self.run).into(),
                None => Arc::clone(&self.run),
            },
        }
    }
}

/// Engines that accept new work, by pool. A change takes logarithmic time in their number.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pools: HashMap<PoolName, EnginePool>,
    /// The engines of `pools` whose software version is stored, by that version.
    versions: HashMap<PoolName, HashMap<SoftwareVersion, EnginePool>>,
    empty_pool: EnginePool,
    engines: HashMap<EngineKey, FleetEngine>,
    /// Engines that accept new work according to their entries but announced in an answer that they drain.
    draining: BTreeSet<EngineKey>,
    /// Engines by code; several engines may share one.
    codes: BTreeSet<(EngineCode, EngineKey)>,
}

impl Fleet {
    /// The engines of `entries` that accept new work, configured by `table`, except those for
    /// which `is_draining` holds.
    pub fn new<'e>(
        entries: impl Iterator<Item = &'e EngineEntry>,
        table: Option<&RouteTable>,
        is_draining: impl Fn(EngineKey) -> bool,
    ) -> Self {
        let mut fleet = Self::default();
        for entry in entries {
            fleet.set(entry, table, &is_draining);
        }
        fleet
    }

    /// Sets one engine's entry. Updates in place, because rebuilding the fleet for each change is
    /// expensive in large fleets.
    pub fn set(
        &mut self,
        entry: &EngineEntry,
        table: Option<&RouteTable>,
        is_draining: impl Fn(EngineKey) -> bool,
    ) {
        self.remove(entry);
        if !entry.accepting {
            return;
        }
        let key = EngineKey::of(&entry.run);
        if is_draining(key) {
            self.draining.insert(key);
            return;
        }
        let terms = table.and_then(|table| table.pool(&entry.pool));
        let staged = staged_engine(key, entry, terms.map(|terms| &**terms));
        let engine = FleetEngine {
            pool: entry.pool.clone(),
            kv_cache_tokens: staged.kv_cache_tokens,
            address: entry.address,
            run: Arc::clone(&entry.run),
            started_at_ms: entry.started_at_ms,
            software: entry.software.clone(),
        };
        if let Some(software) = entry.software.clone() {
            self.insert_of_version(&entry.pool, software, staged.clone());
        }
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        pool.insert(staged);
        self.engines.insert(key, engine);
        self.codes.insert((EngineCode::of(key), key));
    }

    /// Removes an engine.
    pub fn remove(&mut self, entry: &EngineEntry) {
        let key = EngineKey::of(&entry.run);
        self.draining.remove(&key);
        self.remove_key(key);
    }

    /// Removes an engine that announced that it drains, until its entry says so too. Returns whether it
    /// accepted new work before.
    pub fn drain(&mut self, key: EngineKey) -> bool {
        let was_accepting = self.remove_key(key);
        if was_accepting {
            self.draining.insert(key);
        }
        was_accepting
    }

    /// Sets the start time of an engine.
    pub fn set_started_at_ms(&mut self, key: EngineKey, started_at_ms: Option<u64>) {
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.started_at_ms = started_at_ms;
        }
    }

    /// Sets the software version of an engine.
    pub fn set_software(&mut self, key: EngineKey, software: Option<SoftwareVersion>) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let former = std::mem::replace(&mut engine.software, software);
        let (pool, software) = (engine.pool.clone(), engine.software.clone());
        if former == software {
            return;
        }
        self.remove_of_version(&pool, former.as_ref(), key);
        let staged = self.pool(&pool).get(key).cloned();
        if let (Some(software), Some(staged)) = (software, staged) {
            self.insert_of_version(&pool, software, staged);
        }
    }

    /// Engines that accept new work according to their entries but announced that they drain.
    pub fn draining(&self) -> impl ExactSizeIterator<Item = EngineKey> {
        self.draining.iter().copied()
    }

    fn remove_key(&mut self, key: EngineKey) -> bool {
        let Some(engine) = self.engines.remove(&key) else {
            return false;
        };
        self.codes.remove(&(EngineCode::of(key), key));
        remove_engine(&mut self.pools, &engine.pool, key);
        self.remove_of_version(&engine.pool, engine.software.as_ref(), key);
        true
    }

    fn insert_of_version(
        &mut self,
        pool: &PoolName,
        software: SoftwareVersion,
        engine: StagedEngine,
    ) {
        let versions = self.versions.entry(pool.clone()).or_default();
        versions.entry(software).or_default().insert(engine);
    }

    fn remove_of_version(
        &mut self,
        pool: &PoolName,
        software: Option<&SoftwareVersion>,
        key: EngineKey,
    ) {
        let Some(software) = software else {
            return;
        };
        if let Some(versions) = self.versions.get_mut(pool) {
            remove_engine(versions, software, key);
            if versions.is_empty() {
                self.versions.remove(pool);
            }
        }
    }

    /// Engines of a pool.
    pub fn pool(&self, pool: &PoolName) -> &EnginePool {
        self.pools.get(pool).unwrap_or(&self.empty_pool)
    }

    /// Engines of a pool whose software has this version.
    pub fn engines_of_version(&self, pool: &PoolName, software: &SoftwareVersion) -> &EnginePool {
        let versions = self.versions.get(pool);
        let engines = versions.and_then(|versions| versions.get(software));
        engines.unwrap_or(&self.empty_pool)
    }

    /// Engines of a pool at which a stream may begin. While streams may not begin at some, those of one version,
    /// drawn by their number.
    fn engines_for_new_stream(&self, pool: &PoolName, draw: u32) -> &EnginePool {
        let all = self.pool(pool);
        let Some(versions) = self.versions.get(pool) else {
            return &self.empty_pool;
        };
        let count: usize = versions.values().map(EnginePool::len).sum();
        if count == all.len() {
            return all;
        }
        let mut left = draw as usize % count.max(1);
        let drawn = versions.values().find(|engines| {
            let is_drawn = left < engines.len();
            left = left.saturating_sub(engines.len());
            is_drawn
        });
        drawn.unwrap_or(&self.empty_pool)
    }

    /// Engines of a pool that may send the next events of a stream with this binding.
    pub fn engines_for(&self, pool: &PoolName, binding: &StreamBinding) -> &EnginePool {
        match binding {
            StreamBinding::Unbound => self.pool(pool),
            StreamBinding::Beginning { draw } => self.engines_for_new_stream(pool, *draw),
            StreamBinding::Origin(origin) if origin.pool == *pool => {
                self.engines_of_version(pool, &origin.software)
            }
            StreamBinding::Origin(_) | StreamBinding::Unknown => &self.empty_pool,
        }
    }

    /// An engine by key; `None` if it does not accept new work.
    pub fn engine(&self, key: EngineKey) -> Option<&FleetEngine> {
        self.engines.get(&key)
    }

    /// The engines with this code: usually one. Reports for a shared code count for each of them.
    pub fn engines_of(&self, code: EngineCode) -> impl Iterator<Item = EngineKey> {
        let same = (code, EngineKey(u64::MIN))..=(code, EngineKey(u64::MAX));
        self.codes.range(same).map(|(_, key)| *key)
    }

    /// Number of engines that share their code with a previous one.
    pub fn code_collisions(&self) -> usize {
        let codes = self.codes.iter().map(|(code, _)| code);
        let pairs = codes.clone().zip(codes.skip(1));
        pairs.filter(|(code, next)| code == next).count()
    }

    /// The pool of the run, if it accepts new work at that address.
    pub fn pool_of(&self, target: &LinkTarget) -> Option<&PoolName> {
        let engine = self.engines.get(&EngineKey::of(engine_name(target)))?;
        (engine.target() == *target).then_some(&engine.pool)
    }

    /// Capacity of an engine's KV cache in tokens; 0 if the engine is unknown.
    pub fn kv_cache_tokens(&self, key: EngineKey) -> u64 {
        let engine = self.engines.get(&key);
        engine.map_or(0, |engine| engine.kv_cache_tokens)
    }

    /// All engines, with their pools.
    pub fn engines(&self) -> impl Iterator<Item = (&PoolName, &StagedEngine)> {
        let pools = self.pools.iter();
        pools.flat_map(|(pool, engines)| engines.iter().map(move |engine| (pool, engine)))
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// Removes an engine, and its pool if it was the last one there.
fn remove_engine<K: Eq + Hash>(pools: &mut HashMap<K, EnginePool>, name: &K, key: EngineKey) {
    if let Some(pool) = pools.get_mut(name) {
        pool.remove(key);
        if pool.is_empty() {
            pools.remove(name);
        }
    }
}

fn staged_engine(key: EngineKey, entry: &EngineEntry, terms: Option<&PoolConfig>) -> StagedEngine {
    let prompt = terms.and_then(|terms| terms.prompt_engine);
    StagedEngine {
        key,
        run: Arc::clone(&entry.run),
        zone: entry.zone.clone(),
        stage: match entry.role {
            Some(Role::Prefill) => Stage::Prefill,
            Some(Role::Decode | Role::Mixed) => Stage::Decode,
            None => Stage::Opaque,
        },
        slots: if entry.slots > 0 {
            entry.slots
        } else {
            prompt.map_or(1, |prompt| prompt.slots)
        },
        kv_cache_tokens: prompt.map_or(0, |prompt| prompt.memory_tokens),
    }
}

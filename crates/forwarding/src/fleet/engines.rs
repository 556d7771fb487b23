//! The engines, as their own entries tell.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use dalestand_dissemination::EngineCode;
use dalestand_edge::routed::EngineEntry;
use dalestand_engine_link::LinkTarget;
use dalestand_routes::{PoolConfig, RouteTable};
use dalestand_routing::staged::{EngineKey, EnginePool, Stage, StagedEngine};
use dalestand_types::{PoolName, Role};

/// Stands between the name of a run and its start in the names of connections: those to a former start are
/// not used for a later one.
const BORN_MARK: char = '@';

/// One engine's run.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEngine {
    /// Its pool.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Names the run.
    pub run: Arc<str>,
    /// When it started, where its entry says so.
    pub born: Option<u64>,
    /// Tokens its memory holds; 0 where it keeps none.
    pub memory_tokens: u64,
}

impl FleetEngine {
    /// For connections.
    pub fn target(&self) -> LinkTarget {
        LinkTarget {
            address: self.address,
            run: match self.born {
                Some(born) => format!("{}{BORN_MARK}{born}", self.run).into(),
                None => Arc::clone(&self.run),
            },
        }
    }
}

/// Engines that take new work, by pool. A change costs the logarithm of their number at most: with
/// lists of each pool that were kept in order, taking 10,000 engines in after a start cost four
/// gigabytes of moved memory.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pools: HashMap<PoolName, EnginePool>,
    no_engines: EnginePool,
    engines: HashMap<EngineKey, FleetEngine>,
    /// Engines that take new work by their entries, and have said in an answer that they drain.
    draining: BTreeSet<EngineKey>,
    /// Several engines may have the same code.
    codes: BTreeSet<(EngineCode, EngineKey)>,
}

impl Fleet {
    /// The engines of `entries` that take new work, under the terms of `table`, but for those that
    /// `drains` names.
    pub fn new<'e>(
        entries: impl Iterator<Item = &'e EngineEntry>,
        table: Option<&RouteTable>,
        drains: impl Fn(EngineKey) -> bool,
    ) -> Self {
        let mut fleet = Self::default();
        for entry in entries {
            fleet.set(entry, table, &drains);
        }
        fleet
    }

    /// Brings one engine's entry into force. Where thousands of engines change all the time, building
    /// the fleet anew for each change took a third of a small node's processor.
    pub fn set(
        &mut self,
        entry: &EngineEntry,
        table: Option<&RouteTable>,
        drains: impl Fn(EngineKey) -> bool,
    ) {
        self.remove(entry);
        if !entry.accepting {
            return;
        }
        let key = EngineKey::of(&entry.run);
        if drains(key) {
            self.draining.insert(key);
            return;
        }
        let terms = table.and_then(|table| table.pool(&entry.pool));
        let staged = staged(key, entry, terms.map(|terms| &**terms));
        let engine = FleetEngine {
            pool: entry.pool.clone(),
            memory_tokens: staged.memory_tokens,
            address: entry.address,
            run: Arc::clone(&entry.run),
            born: entry.born,
        };
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        pool.insert(staged);
        self.engines.insert(key, engine);
        self.codes.insert((EngineCode::of(key), key));
    }

    /// Takes an engine out.
    pub fn remove(&mut self, entry: &EngineEntry) {
        let key = EngineKey::of(&entry.run);
        self.draining.remove(&key);
        self.take_out(key);
    }

    /// Takes an engine out that has said that it drains, until its entry says so too. Whether it took
    /// new work.
    pub fn drain(&mut self, key: EngineKey) -> bool {
        let took_work = self.take_out(key);
        if took_work {
            self.draining.insert(key);
        }
        took_work
    }

    /// Notes when an engine started.
    pub fn set_born(&mut self, key: EngineKey, born: Option<u64>) {
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.born = born;
        }
    }

    /// Engines that take new work by their entries, and have said that they drain.
    pub fn draining(&self) -> impl ExactSizeIterator<Item = EngineKey> {
        self.draining.iter().copied()
    }

    fn take_out(&mut self, key: EngineKey) -> bool {
        let Some(engine) = self.engines.remove(&key) else {
            return false;
        };
        self.codes.remove(&(EngineCode::of(key), key));
        if let Some(pool) = self.pools.get_mut(&engine.pool) {
            pool.remove(key);
            if pool.is_empty() {
                self.pools.remove(&engine.pool);
            }
        }
        true
    }

    /// Engines of a pool.
    pub fn pool(&self, pool: &PoolName) -> &EnginePool {
        self.pools.get(pool).unwrap_or(&self.no_engines)
    }

    /// Where an engine is; `None` once it takes no new work.
    pub fn engine(&self, key: EngineKey) -> Option<&FleetEngine> {
        self.engines.get(&key)
    }

    /// The engines that other nodes mean by `code`: one, but for a rare collision. What is said of the
    /// code then counts for each of them.
    pub fn engines_of(&self, code: EngineCode) -> impl Iterator<Item = EngineKey> {
        let same = (code, EngineKey(u64::MIN))..=(code, EngineKey(u64::MAX));
        self.codes.range(same).map(|(_, key)| *key)
    }

    /// Engines whose code another engine has as well.
    pub fn code_collisions(&self) -> usize {
        let codes = self.codes.iter().map(|(code, _)| code);
        let pairs = codes.clone().zip(codes.skip(1));
        pairs.filter(|(code, next)| code == next).count()
    }

    /// Whether a run takes new work at that address.
    pub fn has_target(&self, target: &LinkTarget) -> bool {
        let name = target.run.split(BORN_MARK).next().unwrap_or_default();
        let engine = self.engines.get(&EngineKey::of(name));
        engine.is_some_and(|engine| engine.target() == *target)
    }

    /// Tokens that an engine's memory holds; 0 if the engine is not known.
    pub fn memory_tokens(&self, key: EngineKey) -> u64 {
        let engine = self.engines.get(&key);
        engine.map_or(0, |engine| engine.memory_tokens)
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

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

fn staged(key: EngineKey, entry: &EngineEntry, terms: Option<&PoolConfig>) -> StagedEngine {
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
        memory_tokens: prompt.map_or(0, |prompt| prompt.memory_tokens),
    }
}

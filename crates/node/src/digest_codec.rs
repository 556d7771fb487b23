//! Load digests as they travel: a few bytes an engine, so that a group of 64 fits one datagram.
//!
//! Engines are named by their place in the group's list in the deployment file, models by hash.
//! The digest carries a hash of that list; a reader whose list differs leaves the digest alone
//! until it has the same configuration.

use std::time::Duration;

use dalestand_config::{Deployment, Group};
use dalestand_types::{
    EngineDigest, EngineId, EngineLoad, Incarnation, LoadedModel, MonotonicTime, NodeId, Role,
    Sequence, Version,
};
use serde::{Deserialize, Serialize};

/// Tokens counted as one in `queued_prefill`.
const QUEUED_TOKENS_UNIT: u64 = 64;

/// Tokens counted as one in the totals.
const TOTAL_TOKENS_UNIT: u64 = 16;

/// Milliseconds counted as one in `age`.
const AGE_UNIT_MS: u64 = 10;

/// Set in `flags` if the holder lets the engine take new work.
const ACCEPTING: u8 = 0b100;

/// Bits of `flags` that hold the role.
const ROLE_BITS: u8 = 0b011;

/// Load of a group's engines on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CompactDigest {
    /// Who holds the group's lease.
    pub(crate) holder: NodeId,
    roster: u32,
    model_sets: Vec<Vec<CompactModel>>,
    engines: Vec<CompactEngine>,
}

/// A loaded model, by hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactModel {
    model: u32,
    version: u32,
    adapters: Vec<u32>,
}

/// One engine, in units that keep its numbers small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactEngine {
    place: u8,
    incarnation: u16,
    flags: u8,
    model_set: u8,
    running: u16,
    waiting: u16,
    queued_prefill: u16,
    capacity: u16,
    age: u16,
    prefill_total: u32,
    decode_total: u32,
}

/// One engine as a reader of a digest knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineReport {
    /// Place in the group's list.
    pub(crate) place: usize,
    /// Part of its incarnation.
    incarnation: u16,
    /// Its role; `None` while it is out of service.
    pub(crate) role: Option<Role>,
    /// Whether the holder lets it take new work.
    pub(crate) accepting: bool,
    /// Models it can serve.
    pub(crate) models: Vec<LoadedModel>,
    /// Requests being generated.
    pub(crate) running: u32,
    /// Requests accepted and not started.
    pub(crate) waiting: u32,
    /// Prompt tokens accepted and not yet run, rounded up.
    pub(crate) queued_prefill_tokens: u64,
    /// Most requests it holds at once.
    pub(crate) capacity: u32,
    /// How old the report was when the digest was made.
    pub(crate) age: Duration,
    /// Prompt tokens run since the engine's start, rounded down.
    prefill_tokens_total: u64,
    /// Output tokens generated since the engine's start, rounded down.
    decode_tokens_total: u64,
}

impl EngineReport {
    /// Whether the report is of this run of the engine.
    pub(crate) fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation_tag(incarnation)
    }

    /// The report as the planner takes it; `received_at` tells one digest from the next.
    pub(crate) fn into_digest(
        self,
        engine: EngineId,
        incarnation: Incarnation,
        now: MonotonicTime,
        received_at: MonotonicTime,
    ) -> EngineDigest {
        let age = self.age + now.since(received_at);
        EngineDigest {
            age_ms: age.as_millis() as u64,
            accepting: self.accepting,
            load: EngineLoad {
                engine,
                incarnation,
                sequence: Sequence(received_at.0),
                role: self.role,
                running: self.running,
                waiting: self.waiting,
                queued_prefill_tokens: self.queued_prefill_tokens,
                capacity: self.capacity,
                cache_tokens_used: 0,
                cache_tokens_total: 0,
                prefill_tokens_total: self.prefill_tokens_total,
                decode_tokens_total: self.decode_tokens_total,
                models: self.models,
            },
        }
    }
}

impl CompactDigest {
    /// Packs the reports of a group's engines; engines that are not of the group are left out.
    pub(crate) fn pack(holder: NodeId, group: &Group, reports: &[EngineDigest]) -> Self {
        let mut model_sets: Vec<Vec<CompactModel>> = Vec::new();
        let mut engines = Vec::new();
        for report in reports {
            let names = &mut group.engines.iter();
            let Some(place) = names.position(|engine| *engine == report.load.engine) else {
                continue;
            };
            let models: Vec<CompactModel> = report.load.models.iter().map(pack_model).collect();
            let known = model_sets.iter().position(|set| *set == models);
            let model_set = known.unwrap_or_else(|| {
                model_sets.push(models);
                model_sets.len() - 1
            });
            engines.push(pack_engine(place, model_set, report));
        }
        Self {
            holder,
            roster: roster_hash(group),
            model_sets,
            engines,
        }
    }

    /// Unpacks the reports; `None` if the reader's group lists other engines.
    pub(crate) fn unpack(
        &self,
        deployment: &Deployment,
        group: &Group,
    ) -> Option<Vec<EngineReport>> {
        if self.roster != roster_hash(group) {
            return None;
        }
        let sets: Vec<Vec<LoadedModel>> = self
            .model_sets
            .iter()
            .map(|set| {
                set.iter()
                    .filter_map(|one| find_model(deployment, one))
                    .collect()
            })
            .collect();
        let engines = self.engines.iter();
        let reports = engines.map(|engine| unpack_engine(engine, &sets));
        Some(reports.collect())
    }
}

fn pack_engine(place: usize, model_set: usize, report: &EngineDigest) -> CompactEngine {
    let load: &EngineLoad = &report.load;
    let role = match load.role {
        None => 0,
        Some(Role::Prefill) => 1,
        Some(Role::Decode) => 2,
        Some(Role::Mixed) => 3,
    };
    let accepting = if report.accepting { ACCEPTING } else { 0 };
    CompactEngine {
        place: narrow(place as u64),
        incarnation: incarnation_tag(load.incarnation),
        flags: role | accepting,
        model_set: narrow(model_set as u64),
        running: narrow(u64::from(load.running)),
        waiting: narrow(u64::from(load.waiting)),
        queued_prefill: narrow(load.queued_prefill_tokens.div_ceil(QUEUED_TOKENS_UNIT)),
        capacity: narrow(u64::from(load.capacity)),
        age: narrow(report.age_ms / AGE_UNIT_MS),
        prefill_total: wrapped(load.prefill_tokens_total / TOTAL_TOKENS_UNIT),
        decode_total: wrapped(load.decode_tokens_total / TOTAL_TOKENS_UNIT),
    }
}

fn unpack_engine(engine: &CompactEngine, sets: &[Vec<LoadedModel>]) -> EngineReport {
    let role = match engine.flags & ROLE_BITS {
        1 => Some(Role::Prefill),
        2 => Some(Role::Decode),
        3 => Some(Role::Mixed),
        _ => None,
    };
    EngineReport {
        place: usize::from(engine.place),
        incarnation: engine.incarnation,
        role,
        accepting: engine.flags & ACCEPTING != 0,
        models: sets
            .get(usize::from(engine.model_set))
            .cloned()
            .unwrap_or_default(),
        running: u32::from(engine.running),
        waiting: u32::from(engine.waiting),
        queued_prefill_tokens: u64::from(engine.queued_prefill) * QUEUED_TOKENS_UNIT,
        capacity: u32::from(engine.capacity),
        age: Duration::from_millis(u64::from(engine.age) * AGE_UNIT_MS),
        prefill_tokens_total: u64::from(engine.prefill_total) * TOTAL_TOKENS_UNIT,
        decode_tokens_total: u64::from(engine.decode_total) * TOTAL_TOKENS_UNIT,
    }
}

fn pack_model(loaded: &LoadedModel) -> CompactModel {
    let adapters = loaded.adapters.iter();
    CompactModel {
        model: text_hash(loaded.model.as_str()),
        version: text_hash(loaded.version.as_str()),
        adapters: adapters.map(|one| text_hash(one.as_str())).collect(),
    }
}

/// Finds a model by hash. A model that the deployment no longer names cannot be asked for either.
fn find_model(deployment: &Deployment, compact: &CompactModel) -> Option<LoadedModel> {
    let models = &mut deployment.models.iter();
    let model = models.find(|one| text_hash(one.name.as_str()) == compact.model)?;
    let current = text_hash(model.version.as_str()) == compact.version;
    let version = if current {
        model.version.clone()
    } else {
        // Still loaded from an earlier configuration; only its hash is known here.
        Version::from(format!("hash-{:08x}", compact.version))
    };
    let adapters = model.adapters.iter().map(|adapter| adapter.name.clone());
    Some(LoadedModel {
        model: model.name.clone(),
        version,
        adapters: adapters
            .filter(|name| compact.adapters.contains(&text_hash(name.as_str())))
            .collect(),
    })
}

/// The number as a smaller type; the type's greatest value if it does not fit.
fn narrow<T: TryFrom<u64> + Bounded>(value: u64) -> T {
    T::try_from(value).unwrap_or(T::MAX)
}

/// A total as it travels. It starts again at zero after 68 thousand million tokens, which one
/// reader takes for a restarted engine.
fn wrapped(total: u64) -> u32 {
    (total & u64::from(u32::MAX)) as u32
}

/// Types with a greatest value.
trait Bounded {
    /// The greatest value.
    const MAX: Self;
}

impl Bounded for u8 {
    const MAX: Self = Self::MAX;
}

impl Bounded for u16 {
    const MAX: Self = Self::MAX;
}

fn incarnation_tag(incarnation: Incarnation) -> u16 {
    (incarnation.0 & u64::from(u16::MAX)) as u16
}

fn roster_hash(group: &Group) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for engine in &group.engines {
        hasher.update(engine.as_str().as_bytes());
        hasher.update(&[0]);
    }
    first_four_bytes(&hasher.finalize())
}

fn text_hash(text: &str) -> u32 {
    first_four_bytes(&blake3::hash(text.as_bytes()))
}

fn first_four_bytes(hash: &blake3::Hash) -> u32 {
    let mut bytes = [0_u8; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}

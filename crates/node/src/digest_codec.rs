//! Compact encoding of load digests: a few bytes per engine, so that a group of 64 engines fits
//! into one datagram.
//!
//! Engines are identified by their index in the group's list in the deployment file, models by
//! hash. The digest carries a hash of that list; a reader whose list differs ignores the digest
//! until it has the same configuration.

use std::time::Duration;

use dalestand_config::{Deployment, Group};
use dalestand_types::{
    EngineDigest, EngineId, EngineLoad, Incarnation, LoadedModel, MonotonicTime, NodeId, Role,
    Sequence, Version,
};
use serde::{Deserialize, Serialize};

use crate::compact_number;
use crate::token_rates::{TokenRates, TokenTotals};

#[cfg(test)]
mod tests;

/// Tokens per unit of `queued_prefill`.
const QUEUED_TOKENS_UNIT: u64 = 64;

/// Prompt tokens per second per unit of `prefill_rate`.
const PREFILL_RATE_UNIT: f64 = 64.0;

/// Output tokens per second per unit of `decode_rate`.
const DECODE_RATE_UNIT: f64 = 16.0;

/// Milliseconds per unit of `age`.
const AGE_UNIT_MS: u64 = 10;

/// Mask of the role in `flags`.
const ROLE_BITS: u16 = 0b011;

/// Bit of `flags` that is set if the lease holder lets the engine accept new requests.
const ACCEPTING: u16 = 0b100;

/// Bit offset of the profile index in `flags`.
const PROFILE_SHIFT: u32 = 3;

/// Encoded load of a group's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CompactDigest {
    /// The node that holds the group's lease.
    pub(crate) holder: NodeId,
    /// Hash of the group's list of engines.
    roster: u32,
    profiles: Vec<Profile>,
    /// Entries in the order of the group's list; `None` for an engine without a report.
    engines: Vec<Option<CompactEngine>>,
}

/// Properties that are usually the same for most engines of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Profile {
    capacity: u32,
    models: Vec<CompactModel>,
}

/// Hashes that identify a loaded model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactModel {
    model: u32,
    version: u32,
    adapters: Vec<u32>,
}

/// Report of one engine. The counts are encoded by [`compact_number`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactEngine {
    incarnation: u16,
    flags: u16,
    running: u8,
    waiting: u8,
    queued_prefill: u8,
    age: u8,
    prefill_rate: u8,
    decode_rate: u8,
}

/// Decoded report of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineReport {
    /// Index in the group's list.
    pub(crate) index: usize,
    /// Lower 16 bits of the engine's incarnation.
    incarnation: u16,
    /// Role; `None` while the engine is out of service.
    pub(crate) role: Option<Role>,
    /// Whether the lease holder lets it accept new requests.
    pub(crate) accepting: bool,
    /// Models it can serve.
    pub(crate) models: Vec<LoadedModel>,
    /// Requests being generated.
    pub(crate) running: u32,
    /// Requests accepted and not started.
    pub(crate) waiting: u32,
    /// Prompt tokens accepted and not yet run, rounded up.
    pub(crate) queued_prefill_tokens: u64,
    /// Maximum number of requests that it accepts at once.
    pub(crate) capacity: u32,
    /// Age of the report when the digest was encoded.
    pub(crate) age: Duration,
}

/// Report of one engine with its token rates, as encoded by a lease holder.
#[derive(Clone, Debug)]
pub(crate) struct RatedReport {
    pub(crate) digest: EngineDigest,
    pub(crate) rates: TokenRates,
}

impl EngineReport {
    /// Whether the report is of this incarnation of the engine.
    pub(crate) fn matches_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation_tag(incarnation)
    }

    /// Converts the report for the planner. The sequence is taken from `received_at`, which differs
    /// between digests.
    pub(crate) fn into_digest(
        self,
        engine: EngineId,
        incarnation: Incarnation,
        totals: TokenTotals,
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
                prefill_tokens_total: totals.prefill as u64,
                decode_tokens_total: totals.decode as u64,
                models: self.models,
            },
        }
    }
}

impl CompactDigest {
    /// Encodes the reports of a group's engines and ignores those of other engines.
    pub(crate) fn pack(holder: NodeId, group: &Group, reports: &[RatedReport]) -> Self {
        let mut profiles: Vec<Profile> = Vec::new();
        let engines = group.engines.iter().map(|engine| {
            let mut reports = reports.iter();
            let report = reports.find(|one| one.digest.load.engine == *engine)?;
            let profile = profile_index(&mut profiles, &report.digest.load);
            Some(pack_engine(profile, report))
        });
        let engines = engines.collect();
        Self {
            holder,
            roster: roster_hash(group),
            profiles,
            engines,
        }
    }

    /// Token rates in the order of the group's list; zero for an engine without a report.
    pub(crate) fn rates(&self) -> impl Iterator<Item = TokenRates> {
        self.engines.iter().map(|engine| {
            let engine = engine.as_ref();
            engine.map(token_rates).unwrap_or_default()
        })
    }

    /// Decodes the reports; `None` if `group` has another list of engines than the sender's.
    pub(crate) fn unpack(
        &self,
        deployment: &Deployment,
        group: &Group,
    ) -> Option<Vec<EngineReport>> {
        if self.roster != roster_hash(group) {
            return None;
        }
        let model_sets: Vec<Vec<LoadedModel>> = self
            .profiles
            .iter()
            .map(|profile| find_models(deployment, profile))
            .collect();
        let engines = self.engines.iter().enumerate();
        let reports = engines.filter_map(|(index, engine)| {
            let engine = engine.as_ref()?;
            let profile = usize::from(engine.flags >> PROFILE_SHIFT);
            let capacity = self.profiles.get(profile)?.capacity;
            let models = model_sets.get(profile)?.clone();
            Some(unpack_engine(index, engine, capacity, models))
        });
        Some(reports.collect())
    }
}

fn profile_index(profiles: &mut Vec<Profile>, load: &EngineLoad) -> usize {
    let profile = Profile {
        capacity: load.capacity,
        models: load.models.iter().map(pack_model).collect(),
    };
    let known = profiles.iter().position(|one| *one == profile);
    known.unwrap_or_else(|| {
        profiles.push(profile);
        profiles.len() - 1
    })
}

fn pack_engine(profile: usize, rated: &RatedReport) -> CompactEngine {
    let report = &rated.digest;
    let load = &report.load;
    let role = match load.role {
        None => 0,
        Some(Role::Prefill) => 1,
        Some(Role::Decode) => 2,
        Some(Role::Mixed) => 3,
    };
    let accepting = if report.accepting { ACCEPTING } else { 0 };
    // A group has at most 64 engines, so that a profile index always fits.
    let profile = (profile as u16) << PROFILE_SHIFT;
    let queued = load.queued_prefill_tokens.div_ceil(QUEUED_TOKENS_UNIT);
    CompactEngine {
        incarnation: incarnation_tag(load.incarnation),
        flags: role | accepting | profile,
        running: compact_number::pack(u64::from(load.running)),
        waiting: compact_number::pack(u64::from(load.waiting)),
        queued_prefill: compact_number::pack(queued),
        age: compact_number::pack(report.age_ms / AGE_UNIT_MS),
        prefill_rate: pack_rate(rated.rates.prefill_per_s, PREFILL_RATE_UNIT),
        decode_rate: pack_rate(rated.rates.decode_per_s, DECODE_RATE_UNIT),
    }
}

fn unpack_engine(
    index: usize,
    engine: &CompactEngine,
    capacity: u32,
    models: Vec<LoadedModel>,
) -> EngineReport {
    let role = match engine.flags & ROLE_BITS {
        1 => Some(Role::Prefill),
        2 => Some(Role::Decode),
        3 => Some(Role::Mixed),
        _ => None,
    };
    EngineReport {
        index,
        incarnation: engine.incarnation,
        role,
        accepting: engine.flags & ACCEPTING != 0,
        models,
        running: compact_number::unpack(engine.running) as u32,
        waiting: compact_number::unpack(engine.waiting) as u32,
        queued_prefill_tokens: compact_number::unpack(engine.queued_prefill) * QUEUED_TOKENS_UNIT,
        capacity,
        age: Duration::from_millis(compact_number::unpack(engine.age) * AGE_UNIT_MS),
    }
}

fn token_rates(engine: &CompactEngine) -> TokenRates {
    TokenRates {
        prefill_per_s: unpack_rate(engine.prefill_rate, PREFILL_RATE_UNIT),
        decode_per_s: unpack_rate(engine.decode_rate, DECODE_RATE_UNIT),
    }
}

fn pack_rate(per_s: f64, unit: f64) -> u8 {
    compact_number::pack((per_s / unit) as u64)
}

fn unpack_rate(packed: u8, unit: f64) -> f64 {
    compact_number::unpack(packed) as f64 * unit
}

fn find_models(deployment: &Deployment, profile: &Profile) -> Vec<LoadedModel> {
    let models = profile.models.iter();
    models
        .filter_map(|model| find_model(deployment, model))
        .collect()
}

fn pack_model(loaded: &LoadedModel) -> CompactModel {
    let adapters = loaded.adapters.iter();
    CompactModel {
        model: name_hash(loaded.model.as_str()),
        version: name_hash(loaded.version.as_str()),
        adapters: adapters.map(|one| name_hash(one.as_str())).collect(),
    }
}

/// Finds a model by hash; `None` if the deployment does not contain it any more.
fn find_model(deployment: &Deployment, compact: &CompactModel) -> Option<LoadedModel> {
    let models = &mut deployment.models.iter();
    let model = models.find(|one| name_hash(one.name.as_str()) == compact.model)?;
    let current = name_hash(model.version.as_str()) == compact.version;
    let version = if current {
        model.version.clone()
    } else {
        // A version from another configuration; only its hash is known.
        Version::from(format!("hash-{:08x}", compact.version))
    };
    let adapters = model.adapters.iter().map(|adapter| adapter.name.clone());
    Some(LoadedModel {
        model: model.name.clone(),
        version,
        adapters: adapters
            .filter(|name| compact.adapters.contains(&name_hash(name.as_str())))
            .collect(),
    })
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

fn name_hash(text: &str) -> u32 {
    first_four_bytes(&blake3::hash(text.as_bytes()))
}

fn first_four_bytes(hash: &blake3::Hash) -> u32 {
    let mut bytes = [0_u8; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}

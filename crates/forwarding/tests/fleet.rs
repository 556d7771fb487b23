//! Incremental updates of the fleet of engines.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use dalestand_dissemination::EngineCode;
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::routed::EngineEntry;
use dalestand_forwarding::{Fleet, FleetEngine};
use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::{PoolName, Role, SoftwareVersion, ZoneName};
use proptest::prelude::*;

fn entry(number: u16, pool: u8, accepting: bool, prefill: bool) -> EngineEntry {
    EngineEntry {
        run: Arc::from(format!("i-{number}")),
        started_at_ms: None,
        pool: PoolName::from(format!("pool-{pool}")),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: ZoneName::from("here"),
        slots: 4,
        accepting,
        role: Some(if prefill { Role::Prefill } else { Role::Decode }),
        provisioning: ProvisioningModel::OnDemand,
        software: None,
    }
}

/// A version, or none.
fn version_of(number: u8) -> Option<SoftwareVersion> {
    (number < 3).then(|| SoftwareVersion::from(format!("v{number}")))
}

proptest! {
    /// Applying changes one by one gives the same fleet as building it from the final entries.
    #[test]
    fn changes_one_by_one_make_the_same_fleet(
        changes in proptest::collection::vec(
            (0_u16..12, 0_u8..2, any::<bool>(), any::<bool>(), any::<bool>(), 0_u8..4),
            0..80,
        ),
    ) {
        let mut fleet = Fleet::default();
        let mut expected: BTreeMap<u16, EngineEntry> = BTreeMap::new();
        for (number, pool, accepting, prefill, is_gone, version) in changes {
            // A run never changes its pool.
            let pool = expected.get(&number).map_or(pool, |entry| {
                u8::from(entry.pool.as_str().ends_with('1'))
            });
            let entry = entry(number, pool, accepting, prefill);
            // The version is reported after the entry, or never.
            let software = version_of(version);
            if is_gone {
                fleet.remove(&entry);
                expected.remove(&number);
            } else {
                fleet.set(&entry, None, |_| false);
                fleet.set_software(EngineKey::of(&entry.run), software.clone());
                expected.insert(number, EngineEntry { software, ..entry });
            }
        }
        let built = Fleet::new(expected.values(), None, |_| false);
        prop_assert_eq!(fleet.len(), built.len());
        prop_assert_eq!(fleet.is_empty(), built.is_empty());
        for pool in ["pool-0", "pool-1"].map(PoolName::from) {
            prop_assert_eq!(fleet.pool(&pool), built.pool(&pool));
            for version in (0..3).filter_map(version_of) {
                let engines = fleet.engines_of_version(&pool, &version);
                prop_assert_eq!(engines, built.engines_of_version(&pool, &version));
                let is_of_version = |key| fleet.engine(key).is_some_and(|engine: &FleetEngine| engine.software.as_ref() == Some(&version));
                prop_assert!(engines.iter().all(|engine| is_of_version(engine.key)));
                let of_version = fleet.pool(&pool).iter().filter(|engine| is_of_version(engine.key));
                prop_assert_eq!(of_version.count(), engines.len());
            }
        }
        for number in expected.keys() {
            let key = EngineKey::of(&format!("i-{number}"));
            prop_assert_eq!(fleet.engine(key), built.engine(key));
        }
    }
}

/// Enough names that two of them almost certainly share a 32-bit code.
const MAX_NAMES: u64 = 600_000;

fn named(run: &str) -> EngineEntry {
    EngineEntry {
        run: Arc::from(run),
        started_at_ms: None,
        ..entry(1, 0, true, false)
    }
}

/// Engines that share a code are both found by it, and removing one keeps the other.
#[test]
fn two_engines_with_one_code_are_both_served() {
    let mut names: HashMap<EngineCode, String> = HashMap::new();
    let pair = (0..MAX_NAMES).find_map(|number: u64| {
        let run = format!("i-{:016x}", rendezvous_weight(number, 7));
        let code = EngineCode::of(EngineKey::of(&run));
        names
            .insert(code, run.clone())
            .map(|other| (code, other, run))
    });
    let (code, first, second) = pair.expect("two names with one code");
    let mut fleet = Fleet::default();
    fleet.set(&named(&first), None, |_| false);
    assert_eq!(fleet.code_collisions(), 0);
    fleet.set(&named(&second), None, |_| false);
    assert_eq!(fleet.code_collisions(), 1);
    assert_eq!(fleet.engines_of(code).count(), 2);
    fleet.remove(&named(&first));
    let left: Vec<EngineKey> = fleet.engines_of(code).collect();
    assert_eq!(left, [EngineKey::of(&second)]);
    assert_eq!(fleet.code_collisions(), 0);
}

/// Guards against an engine whose id reads like another engine's start, and whose events would count for that one.
#[test]
fn an_id_that_ends_like_a_start_time_is_told_from_a_start() {
    let mut fleet = Fleet::default();
    fleet.set(&named("i-7@1000"), None, |_| false);
    let engine = fleet.engine(EngineKey::of("i-7@1000"));
    let target = engine.expect("the engine").target();
    assert_eq!(fleet.pool_of(&target), Some(&PoolName::from("pool-0")));
}

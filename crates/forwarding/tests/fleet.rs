//! The engines that take new work, changed one by one.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use dalestand_dissemination::EngineCode;
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::routed::EngineEntry;
use dalestand_forwarding::Fleet;
use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::{PoolName, Role, ZoneName};
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
    }
}

proptest! {
    /// A fleet that takes changes one by one is the one that is built of what stands in the end.
    #[test]
    fn changes_one_by_one_make_the_same_fleet(
        changes in proptest::collection::vec(
            (0_u16..12, 0_u8..2, any::<bool>(), any::<bool>(), any::<bool>()),
            0..80,
        ),
    ) {
        let mut fleet = Fleet::default();
        let mut standing: BTreeMap<u16, EngineEntry> = BTreeMap::new();
        for (number, pool, accepting, prefill, is_gone) in changes {
            // The pool of a run never changes.
            let pool = standing.get(&number).map_or(pool, |entry| {
                u8::from(entry.pool.as_str().ends_with('1'))
            });
            let entry = entry(number, pool, accepting, prefill);
            if is_gone {
                fleet.remove(&entry);
                standing.remove(&number);
            } else {
                fleet.set(&entry, None, |_| false);
                standing.insert(number, entry);
            }
        }
        let built = Fleet::new(standing.values(), None, |_| false);
        prop_assert_eq!(fleet.len(), built.len());
        prop_assert_eq!(fleet.is_empty(), built.is_empty());
        for pool in ["pool-0", "pool-1"].map(PoolName::from) {
            prop_assert_eq!(fleet.pool(&pool), built.pool(&pool));
        }
        for number in standing.keys() {
            let key = EngineKey::of(&format!("i-{number}"));
            prop_assert_eq!(fleet.engine(key), built.engine(key));
        }
    }
}

/// Two of so many names have the same short number, with a chance of one in a thousand million against.
const NAMES: u64 = 600_000;

fn named(run: &str) -> EngineEntry {
    EngineEntry {
        run: Arc::from(run),
        started_at_ms: None,
        ..entry(1, 0, true, false)
    }
}

/// Two engines whose short numbers are the same are both known by it, and one that goes leaves the other.
#[test]
fn two_engines_with_one_code_are_both_served() {
    let mut names: HashMap<EngineCode, String> = HashMap::new();
    let pair = (0..NAMES).find_map(|number: u64| {
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

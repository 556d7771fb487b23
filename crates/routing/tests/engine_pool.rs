//! The orders in which a pool keeps its engines hold whatever changes.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use dalestand_routing::staged::{EngineKey, EnginePool, SampleSize, Stage, StagedEngine};
use dalestand_types::ZoneName;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const STAGES: [Stage; 3] = [Stage::Prefill, Stage::Decode, Stage::Opaque];

fn zone(number: u8) -> ZoneName {
    ZoneName::from(format!("zone-{number}"))
}

fn engine(number: u8, stage: u8, zone_number: u8) -> StagedEngine {
    let run = format!("i-{number}");
    StagedEngine {
        key: EngineKey::of(&run),
        run: Arc::from(run),
        zone: zone(zone_number),
        stage: STAGES[usize::from(stage)],
        slots: 4,
        memory_tokens: 0,
    }
}

proptest! {
    /// What a pool holds after any changes is what was last set and not taken out, in each order.
    #[test]
    fn all_orders_hold_the_same_engines(
        changes in proptest::collection::vec((0_u8..20, 0_u8..3, 0_u8..3, any::<bool>()), 0..80),
        seed in any::<u64>(),
    ) {
        let mut pool = EnginePool::default();
        let mut standing: BTreeMap<EngineKey, StagedEngine> = BTreeMap::new();
        for (number, stage, zone_number, is_gone) in changes {
            let engine = engine(number, stage, zone_number);
            if is_gone {
                let removed = pool.remove(engine.key);
                prop_assert_eq!(removed, standing.remove(&engine.key));
            } else {
                pool.insert(engine.clone());
                standing.insert(engine.key, engine);
            }
        }
        prop_assert_eq!(pool.len(), standing.len());
        let rebuilt: EnginePool = standing.values().cloned().collect();
        prop_assert!(pool == rebuilt);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let everything = SampleSize { engines: 100, preferred_zone: 100 };
        for stage in STAGES {
            let of_stage = standing.values().filter(|engine| engine.stage == stage);
            let keys: HashSet<EngineKey> = of_stage.map(|engine| engine.key).collect();
            prop_assert_eq!(pool.count(stage), keys.len());
            let drawn = pool.sample(&mut random, stage, &zone(0), everything);
            let drawn: HashSet<EngineKey> = drawn.iter().map(|engine| engine.key).collect();
            prop_assert_eq!(&drawn, &keys);
            let target = pool.affinity_target(stage, seed, |_| true);
            prop_assert_eq!(target.is_some(), !keys.is_empty());
            prop_assert!(target.is_none_or(|target| keys.contains(&target)));
        }
    }

    /// A sample has no engine twice, keeps to its size, and prefers the zone as far as it was asked.
    #[test]
    fn samples_keep_to_their_size(
        engines in proptest::collection::vec((any::<u8>(), 0_u8..3), 0..120),
        most in 1_usize..40,
        seed in any::<u64>(),
    ) {
        let pool: EnginePool = engines
            .iter()
            .map(|(number, zone_number)| engine(*number, 1, *zone_number))
            .collect();
        let size = SampleSize { engines: most, preferred_zone: most.div_ceil(2) };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drawn = pool.sample(&mut random, Stage::Decode, &zone(0), size);
        let keys: HashSet<EngineKey> = drawn.iter().map(|engine| engine.key).collect();
        prop_assert_eq!(keys.len(), drawn.len());
        prop_assert_eq!(drawn.len(), pool.count(Stage::Decode).min(most));
        let is_own = |engine: &&StagedEngine| engine.zone == zone(0);
        let own = pool.iter().filter(is_own).count();
        let own_drawn = drawn.iter().filter(|engine| engine.zone == zone(0)).count();
        prop_assert!(own_drawn >= own.min(size.preferred_zone));
    }
}

//! The indexes of an engine pool stay consistent under any changes.

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
        kv_cache_tokens: 0,
    }
}

proptest! {
    /// After any inserts and removals, all indexes contain exactly the engines inserted and not removed.
    #[test]
    fn all_indexes_contain_the_same_engines(
        changes in proptest::collection::vec((0_u8..20, 0_u8..3, 0_u8..3, any::<bool>()), 0..80),
        seed in any::<u64>(),
    ) {
        let mut pool = EnginePool::default();
        let mut expected: BTreeMap<EngineKey, StagedEngine> = BTreeMap::new();
        for (number, stage, zone_number, is_gone) in changes {
            let engine = engine(number, stage, zone_number);
            if is_gone {
                let removed = pool.remove(engine.key);
                prop_assert_eq!(removed, expected.remove(&engine.key));
            } else {
                pool.insert(engine.clone());
                expected.insert(engine.key, engine);
            }
        }
        prop_assert_eq!(pool.len(), expected.len());
        let rebuilt: EnginePool = expected.values().cloned().collect();
        prop_assert!(pool == rebuilt);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let everything = SampleSize { engines: 100, preferred_zone: 100 };
        for stage in STAGES {
            let of_stage = expected.values().filter(|engine| engine.stage == stage);
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

    /// A sample has no duplicates, has the requested size, and contains engines of the preferred zone up to their
    /// limit.
    #[test]
    fn samples_respect_their_size(
        engines in proptest::collection::vec((any::<u8>(), 0_u8..3), 0..120),
        max in 1_usize..40,
        seed in any::<u64>(),
    ) {
        let pool: EnginePool = engines
            .iter()
            .map(|(number, zone_number)| engine(*number, 1, *zone_number))
            .collect();
        let size = SampleSize { engines: max, preferred_zone: max.div_ceil(2) };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drawn = pool.sample(&mut random, Stage::Decode, &zone(0), size);
        let keys: HashSet<EngineKey> = drawn.iter().map(|engine| engine.key).collect();
        prop_assert_eq!(keys.len(), drawn.len());
        prop_assert_eq!(drawn.len(), pool.count(Stage::Decode).min(max));
        let is_preferred = |engine: &&StagedEngine| engine.zone == zone(0);
        let preferred = pool.iter().filter(is_preferred).count();
        let preferred_drawn = drawn.iter().filter(|engine| engine.zone == zone(0)).count();
        prop_assert!(preferred_drawn >= preferred.min(size.preferred_zone));
    }
}

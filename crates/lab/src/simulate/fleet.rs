//! Static topology of a scenario: engines, groups and nodes, addressed by index.

use std::collections::HashMap;

use dalestand_planner::Composition;
use dalestand_types::{
    EngineId, GroupId, LoadedModel, ModelName, PoolName, Role, Version, ZoneName,
};

use super::scenario::{Fault, Pool, Scenario};
use super::workload::MICROS_PER_SECOND;

/// An engine of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct EngineInfo {
    pub(crate) id: EngineId,
    pub(crate) pool: usize,
    pub(crate) zone: usize,
    pub(crate) group: usize,
}

/// A group: the engines of a pool in a zone.
#[derive(Clone, Debug)]
pub(crate) struct GroupInfo {
    pub(crate) id: GroupId,
    pub(crate) pool: usize,
    pub(crate) zone: usize,
    pub(crate) engines: Vec<usize>,
}

/// A network partition that isolates a zone for a time.
#[derive(Clone, Copy, Debug)]
struct Partition {
    zone: usize,
    from_us: u64,
    until_us: u64,
}

/// The topology of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) engines: Vec<EngineInfo>,
    pub(crate) groups: Vec<GroupInfo>,
    /// Zone of each node.
    pub(crate) nodes: Vec<usize>,
    pub(crate) zone_names: Vec<ZoneName>,
    pub(crate) pool_names: Vec<PoolName>,
    by_id: HashMap<EngineId, usize>,
    /// One-way delay between zones, in microseconds.
    delays_us: Vec<Vec<u64>>,
    partitions: Vec<Partition>,
}

impl Fleet {
    /// Creates the fleet of a checked scenario.
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let zone_names: Vec<ZoneName> = scenario
            .zones
            .iter()
            .map(|zone| ZoneName::from(&*zone.name))
            .collect();
        let mut fleet = Self {
            engines: Vec::new(),
            groups: Vec::new(),
            nodes: Vec::new(),
            pool_names: scenario
                .pools
                .iter()
                .map(|pool| PoolName::from(&*pool.name))
                .collect(),
            by_id: HashMap::new(),
            delays_us: delays(scenario),
            partitions: Vec::new(),
            zone_names,
        };
        for (pool_index, pool) in scenario.pools.iter().enumerate() {
            fleet.add_pool(pool_index, pool, scenario);
        }
        for (zone_index, zone) in scenario.zones.iter().enumerate() {
            fleet
                .nodes
                .extend(std::iter::repeat_n(zone_index, zone.nodes));
        }
        fleet.partitions = partitions(scenario);
        fleet
    }

    fn add_pool(&mut self, pool_index: usize, pool: &Pool, scenario: &Scenario) {
        for (zone, info) in scenario.zones.iter().enumerate() {
            let count = pool.engines.get(&info.name).copied().unwrap_or(0);
            if count == 0 {
                continue;
            }
            let group = self.groups.len();
            let first = self.engines.len();
            for index in first..first + count {
                let pool_engines = self
                    .engines
                    .iter()
                    .filter(|engine| engine.pool == pool_index)
                    .count();
                let id = EngineId::from(format!("{}-{}", pool.name, pool_engines + 1));
                self.by_id.insert(id.clone(), index);
                self.engines.push(EngineInfo {
                    id,
                    pool: pool_index,
                    zone,
                    group,
                });
            }
            self.groups.push(GroupInfo {
                id: GroupId::of(&self.pool_names[pool_index], &self.zone_names[zone]),
                pool: pool_index,
                zone,
                engines: (first..first + count).collect(),
            });
        }
    }

    /// Index of the engine with this id.
    pub(crate) fn engine_index(&self, id: &EngineId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Models that the engines of a pool have loaded.
    pub(crate) fn models(&self, pool: usize) -> Vec<LoadedModel> {
        vec![LoadedModel {
            model: ModelName::from(self.pool_names[pool].as_str()),
            version: Version::from("1"),
            adapters: Vec::new(),
        }]
    }

    /// Assigns the roles of a fixed split to the engines of a pool, distributing each role over the
    /// zones.
    pub(crate) fn assign_roles(&self, pool: usize, split: Composition) -> Vec<(usize, Role)> {
        let mut members: Vec<(usize, usize)> = self
            .groups
            .iter()
            .filter(|group| group.pool == pool)
            .flat_map(|group| group.engines.iter().copied().enumerate())
            .collect();
        members.sort_unstable();
        let prefill = std::iter::repeat_n(Role::Prefill, split.prefill);
        let decode = std::iter::repeat_n(Role::Decode, split.decode);
        let roles = prefill.chain(decode).chain(std::iter::repeat(Role::Mixed));
        let members = members.into_iter().map(|(_, engine)| engine);
        members.zip(roles).collect()
    }

    /// One-way delay between two zones, in microseconds.
    pub(crate) fn delay_us(&self, from: usize, to: usize) -> u64 {
        self.delays_us[from][to]
    }

    /// When the current partition between two zones ends; `None` if there is none.
    pub(crate) fn partitioned_until_us(&self, from: usize, to: usize, now_us: u64) -> Option<u64> {
        if from == to {
            return None;
        }
        let partitions = self.partitions.iter();
        let between = partitions.filter(|partition| partition.zone == from || partition.zone == to);
        let current =
            between.filter(|partition| (partition.from_us..partition.until_us).contains(&now_us));
        current.map(|partition| partition.until_us).max()
    }
}

fn delays(scenario: &Scenario) -> Vec<Vec<u64>> {
    let network = &scenario.network;
    let zones = &scenario.zones;
    let between = |from: usize, to: usize| {
        if from == to {
            network.same_zone_us
        } else if zones[from].region == zones[to].region {
            network.other_zone_us
        } else {
            network.other_region_us
        }
    };
    (0..zones.len())
        .map(|from| (0..zones.len()).map(|to| between(from, to)).collect())
        .collect()
}

fn partitions(scenario: &Scenario) -> Vec<Partition> {
    scenario
        .faults
        .iter()
        .filter_map(|fault| match fault {
            Fault::Cut {
                zone,
                at_s,
                length_s,
            } => Some(Partition {
                zone: scenario
                    .zones
                    .iter()
                    .position(|candidate| candidate.name == *zone)?,
                from_us: (at_s * MICROS_PER_SECOND) as u64,
                until_us: ((at_s + length_s) * MICROS_PER_SECOND) as u64,
            }),
            _ => None,
        })
        .collect()
}

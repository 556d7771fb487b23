//! Builds the picture of the fleet that requests are routed on.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_cluster::{Cluster, RecordKey, RecordVersion};
use dalestand_config::{Deployment, Group};
use dalestand_routing::{EngineView, FleetView};
use dalestand_types::{
    EngineDigest, EngineId, GroupDigest, GroupId, MachineState, MonotonicTime, Revision,
};

use crate::drains::is_draining;
use crate::machines::Machines;

struct ReceivedDigest {
    version: RecordVersion,
    received_at: MonotonicTime,
    digest: GroupDigest,
}

/// Digests as they were received, decoded once.
#[derive(Default)]
pub(crate) struct Digests {
    by_group: HashMap<GroupId, ReceivedDigest>,
}

impl Digests {
    /// Takes new digests from the cluster's records.
    pub(crate) fn refresh(&mut self, now: MonotonicTime, cluster: &Cluster) {
        for record in cluster.records() {
            let RecordKey::GroupDigest(group) = &record.key else {
                continue;
            };
            let known = self.by_group.get(group).map(|received| received.version);
            if known == Some(record.version) {
                continue;
            }
            // A payload that cannot be read is skipped; the next digest replaces it.
            let Ok(digest) = rmp_serde::from_slice(&record.payload) else {
                continue;
            };
            let received = ReceivedDigest {
                version: record.version,
                received_at: now,
                digest,
            };
            self.by_group.insert(group.clone(), received);
        }
    }

    /// When a group's last digest came in.
    pub(crate) fn heard_at(&self, group: &GroupId) -> Option<MonotonicTime> {
        self.by_group
            .get(group)
            .map(|received| received.received_at)
    }

    /// Who sent a group's last digest.
    pub(crate) fn digest(&self, group: &GroupId) -> Option<&GroupDigest> {
        self.by_group.get(group).map(|received| &received.digest)
    }

    /// The picture of the fleet.
    pub(crate) fn view(
        &self,
        revision: Revision,
        deployment: &Deployment,
        machines: &Machines,
        cluster: &Cluster,
    ) -> FleetView {
        let groups = deployment.groups.iter();
        let engines = groups
            .flat_map(|group| self.group_view(group, machines, cluster))
            .collect();
        FleetView { revision, engines }
    }

    fn group_view(&self, group: &Group, machines: &Machines, cluster: &Cluster) -> Vec<EngineView> {
        let Some(received) = self.by_group.get(&group.id()) else {
            return Vec::new();
        };
        let reports = received.digest.engines.iter();
        reports
            .filter(|report| group.engines.contains(&report.load.engine))
            .filter_map(|report| engine_view(group, received.received_at, report, machines))
            .map(|view| EngineView {
                accepting: view.accepting && !is_draining(cluster, &view.engine),
                ..view
            })
            .collect()
    }
}

fn engine_view(
    group: &Group,
    received_at: MonotonicTime,
    report: &EngineDigest,
    machines: &Machines,
) -> Option<EngineView> {
    let load = &report.load;
    let engine: EngineId = load.engine.clone();
    let machine = machines.engine(&engine)?;
    let live = machine.state == MachineState::Live && machine.incarnation == load.incarnation;
    Some(EngineView {
        engine,
        group: group.id(),
        pool: group.pool.clone(),
        zone: group.zone.clone(),
        address: machine.address,
        incarnation: load.incarnation,
        role: load.role,
        models: load.models.clone(),
        running: load.running,
        waiting: load.waiting,
        queued_prefill_tokens: load.queued_prefill_tokens,
        capacity: load.capacity,
        reported_at: received_at.saturating_sub(Duration::from_millis(report.age_ms)),
        accepting: live && report.accepting,
    })
}

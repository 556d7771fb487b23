//! Builds the picture of the fleet that requests are routed on.
//!
//! The engines of a group are rebuilt only when its digest, the configuration or the machines
//! changed; the rest of the picture is copied.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dalestand_cluster::{Cluster, RecordKey, RecordVersion};
use dalestand_config::{Deployment, Group};
use dalestand_routing::{EngineView, FleetView};
use dalestand_types::{
    Epoch, GroupDigest, GroupId, MachineState, MonotonicTime, NodeId, Revision, Sequence,
};

use crate::digest_codec::{CompactDigest, EngineReport};
use crate::machines::Machines;
use crate::token_rates::{TokenRates, TokenTotals};

/// Least time between two pictures; digests are several times as old when they come in.
const MIN_REBUILD_INTERVAL: Duration = Duration::from_millis(100);

struct ReceivedDigest {
    version: RecordVersion,
    totals: Vec<TokenTotals>,
    received_at: MonotonicTime,
    digest: CompactDigest,
}

/// What the last picture was built from.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Basis {
    revision: Revision,
    machines: u64,
}

/// Digests as they were received, decoded once, and the engines built from them.
#[derive(Default)]
pub(crate) struct Digests {
    by_group: HashMap<GroupId, ReceivedDigest>,
    built: HashMap<GroupId, Vec<EngineView>>,
    groups: Vec<GroupId>,
    unplanned: BTreeSet<GroupId>,
    basis: Option<Basis>,
    changed: bool,
    built_at: MonotonicTime,
}

impl Digests {
    /// Takes new digests from the cluster's records.
    pub(crate) fn refresh(&mut self, now: MonotonicTime, cluster: &mut Cluster) {
        for group in cluster.take_changed_digests() {
            let record = cluster.record(&RecordKey::GroupDigest(group.clone()));
            // A payload that cannot be read is skipped; the next digest replaces it.
            let digest = record.and_then(|record| {
                let digest = rmp_serde::from_slice(&record.payload).ok()?;
                Some((record.version, digest))
            });
            let Some((version, digest)) = digest else {
                continue;
            };
            let received = ReceivedDigest {
                version,
                received_at: now,
                totals: self.totals(now, &group, &digest),
                digest,
            };
            self.built.remove(&group);
            self.unplanned.insert(group.clone());
            self.by_group.insert(group, received);
            self.changed = true;
        }
    }

    /// Totals of a group's engines, by place, after the time since the digest before.
    fn totals(
        &self,
        now: MonotonicTime,
        group: &GroupId,
        digest: &CompactDigest,
    ) -> Vec<TokenTotals> {
        let before = self.by_group.get(group);
        let elapsed = before.map_or(Duration::ZERO, |before| now.since(before.received_at));
        let rates = digest.rates().enumerate();
        rates
            .map(|(place, rates)| {
                let known = before.and_then(|before| before.totals.get(place));
                known.copied().unwrap_or_default().advanced(rates, elapsed)
            })
            .collect()
    }

    /// When a group's last digest came in.
    pub(crate) fn heard_at(&self, group: &GroupId) -> Option<MonotonicTime> {
        self.by_group
            .get(group)
            .map(|received| received.received_at)
    }

    /// Who sent a group's last digest.
    pub(crate) fn holder(&self, group: &GroupId) -> Option<&NodeId> {
        self.by_group
            .get(group)
            .map(|received| &received.digest.holder)
    }

    /// Whether a group's digest came in since the last call.
    pub(crate) fn take_unplanned(&mut self, group: &GroupId) -> bool {
        self.unplanned.remove(group)
    }

    /// A group's last digest, with its packed numbers rounded.
    pub(crate) fn group_digest(
        &self,
        now: MonotonicTime,
        deployment: &Deployment,
        group: &Group,
        machines: &Machines,
    ) -> Option<GroupDigest> {
        let received = self.by_group.get(&group.id())?;
        let received_at = received.received_at;
        let reports = received.digest.unpack(deployment, group)?.into_iter();
        let engines = reports.filter_map(|report| {
            let engine = group.engines.get(report.place)?.clone();
            let machine = machines.engine(&engine)?;
            if !report.is_of(machine.incarnation) {
                return None;
            }
            let totals = received.totals.get(report.place).copied();
            let totals = totals.unwrap_or_default();
            Some(report.into_digest(engine, machine.incarnation, totals, now, received_at))
        });
        Some(GroupDigest {
            group: group.id(),
            epoch: Epoch(received.version.major),
            sequence: Sequence(received.version.minor),
            holder: received.digest.holder.clone(),
            engines: engines.collect(),
        })
    }

    /// The picture of the fleet, if it changed since the last call.
    pub(crate) fn view(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        deployment: &Deployment,
        machines: &Machines,
    ) -> Option<FleetView> {
        let basis = Basis {
            revision,
            machines: machines.changes(),
        };
        if self.basis != Some(basis) {
            self.basis = Some(basis);
            self.built.clear();
            self.groups = deployment.groups.iter().map(Group::id).collect();
            self.changed = true;
        }
        if !self.changed || now.since(self.built_at) < MIN_REBUILD_INTERVAL {
            return None;
        }
        self.changed = false;
        self.built_at = now;
        let mut engines = Vec::new();
        for (id, group) in self.groups.iter().zip(&deployment.groups) {
            if !self.built.contains_key(id) {
                let built = self.group_view(id, deployment, group, machines);
                self.built.insert(id.clone(), built);
            }
            engines.extend_from_slice(&self.built[id]);
        }
        Some(FleetView { revision, engines })
    }

    fn group_view(
        &self,
        id: &GroupId,
        deployment: &Deployment,
        group: &Group,
        machines: &Machines,
    ) -> Vec<EngineView> {
        let Some(received) = self.by_group.get(id) else {
            return Vec::new();
        };
        let rates: Vec<TokenRates> = received.digest.rates().collect();
        let reports = received.digest.unpack(deployment, group);
        let reports = reports.unwrap_or_default().into_iter();
        reports
            .filter_map(|report| {
                let rates = rates.get(report.place).copied().unwrap_or_default();
                engine_view(id, group, received.received_at, report, rates, machines)
            })
            .collect()
    }
}

fn engine_view(
    id: &GroupId,
    group: &Group,
    received_at: MonotonicTime,
    report: EngineReport,
    rates: TokenRates,
    machines: &Machines,
) -> Option<EngineView> {
    let engine = group.engines.get(report.place)?.clone();
    let machine = machines.engine(&engine)?;
    let live = machine.state == MachineState::Live && report.is_of(machine.incarnation);
    let draining = machines.is_draining(&engine);
    Some(EngineView {
        engine,
        group: id.clone(),
        pool: group.pool.clone(),
        zone: group.zone.clone(),
        address: machine.address,
        incarnation: machine.incarnation,
        role: report.role,
        models: report.models,
        running: report.running,
        waiting: report.waiting,
        queued_prefill_tokens: report.queued_prefill_tokens,
        prefill_tokens_per_s: rates.prefill_per_s,
        decode_tokens_per_s: rates.decode_per_s,
        capacity: report.capacity,
        reported_at: received_at.saturating_sub(report.age),
        accepting: live && !draining && report.accepting,
    })
}

//! Builds the fleet view that routing uses from the received load digests.
//!
//! The engines of a group are rebuilt only if its digest, the configuration or the machines
//! changed, and are copied from the previous view otherwise.

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

/// Minimum time between two views; short compared to the age of received digests.
const MIN_REBUILD_INTERVAL: Duration = Duration::from_millis(100);

struct ReceivedDigest {
    version: RecordVersion,
    totals: Vec<TokenTotals>,
    received_at: MonotonicTime,
    digest: CompactDigest,
}

/// Versions of the configuration and machines that a view was built from.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ViewInputs {
    revision: Revision,
    machines: u64,
}

/// The last received digest of each group, and the engines built from it.
#[derive(Default)]
pub(crate) struct DigestTable {
    by_group: HashMap<GroupId, ReceivedDigest>,
    /// Engines of the groups whose digest and inputs have not changed since they were built.
    built: HashMap<GroupId, Vec<EngineView>>,
    /// Ids of the groups, in the order of the deployment.
    groups: Vec<GroupId>,
    /// Groups with a digest that [`Self::take_unobserved`] has not returned yet.
    unobserved: BTreeSet<GroupId>,
    inputs: Option<ViewInputs>,
    /// Whether a digest or the inputs changed since the last view.
    changed: bool,
    built_at: MonotonicTime,
}

impl DigestTable {
    /// Reads the digests that changed in the cluster's records.
    pub(crate) fn refresh(&mut self, now: MonotonicTime, cluster: &mut Cluster) {
        for group in cluster.take_changed_digests() {
            let record = cluster.record(&RecordKey::GroupDigest(group.clone()));
            // A malformed digest is skipped; the next one replaces it.
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
            self.unobserved.insert(group.clone());
            self.by_group.insert(group, received);
            self.changed = true;
        }
    }

    /// Token totals of a group's engines, in the order of its list, extrapolated from the previous
    /// digest.
    fn totals(
        &self,
        now: MonotonicTime,
        group: &GroupId,
        digest: &CompactDigest,
    ) -> Vec<TokenTotals> {
        let previous = self.by_group.get(group);
        let elapsed = previous.map_or(Duration::ZERO, |previous| now.since(previous.received_at));
        let rates = digest.rates().enumerate();
        rates
            .map(|(index, rates)| {
                let known = previous.and_then(|previous| previous.totals.get(index));
                known.copied().unwrap_or_default().after(rates, elapsed)
            })
            .collect()
    }

    /// When the last digest of a group was received.
    pub(crate) fn last_received_at(&self, group: &GroupId) -> Option<MonotonicTime> {
        self.by_group
            .get(group)
            .map(|received| received.received_at)
    }

    /// The sender of the last digest of a group.
    pub(crate) fn holder(&self, group: &GroupId) -> Option<&NodeId> {
        self.by_group
            .get(group)
            .map(|received| &received.digest.holder)
    }

    /// Whether a digest of the group was received since the last call.
    pub(crate) fn take_unobserved(&mut self, group: &GroupId) -> bool {
        self.unobserved.remove(group)
    }

    /// The last digest of a group, with counts as decoded from their compact encoding.
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
            let engine = group.engines.get(report.index)?.clone();
            let machine = machines.engine(&engine)?;
            if !report.matches_incarnation(machine.incarnation) {
                return None;
            }
            let totals = received.totals.get(report.index).copied();
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

    /// Builds a fleet view if the inputs changed since the last view and the last view is at least
    /// [`MIN_REBUILD_INTERVAL`] old.
    pub(crate) fn view(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        deployment: &Deployment,
        machines: &Machines,
    ) -> Option<FleetView> {
        let inputs = ViewInputs {
            revision,
            machines: machines.change_count(),
        };
        if self.inputs != Some(inputs) {
            self.inputs = Some(inputs);
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
                let built = self.build_group(id, deployment, group, machines);
                self.built.insert(id.clone(), built);
            }
            engines.extend_from_slice(&self.built[id]);
        }
        Some(FleetView { revision, engines })
    }

    fn build_group(
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
                let rates = rates.get(report.index).copied().unwrap_or_default();
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
    let engine = group.engines.get(report.index)?.clone();
    let machine = machines.engine(&engine)?;
    let live =
        machine.state == MachineState::Live && report.matches_incarnation(machine.incarnation);
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

//! Acquires, renews and releases group leases.

use std::time::Duration;

use dalestand_config::Group;
use dalestand_control::{Candidate, GroupController, LeaseGrant, acquire_delay, successor};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineId, GroupId, MonotonicTime};
use rand::RngExt as _;

use super::ControlDriver;
use crate::peer_calls::PeerRequest;

/// Maximum number of retries of a failed acquisition within the time to live of a lease; jitter may
/// lower it.
const ACQUIRE_RETRIES_PER_LEASE: u32 = 2;

impl ControlDriver {
    /// Releases all leases and asks other nodes to take over the groups.
    pub(crate) async fn release_leases(&self) {
        let retry_at = self.shared.clock.now() + self.leases.time_to_live();
        let grants: Vec<(GroupId, LeaseGrant)> = {
            let mut state = self.state.borrow_mut();
            let controllers = state.controllers.iter_mut();
            controllers
                .filter_map(|(group, controller)| {
                    Some((group.clone(), controller.hand_over(retry_at)?))
                })
                .collect()
        };
        let releases = grants.into_iter().map(|(group, grant)| async move {
            if self.release(grant.lease).await {
                log_event!(self.shared.logger, Event::LeaseReleased, "group" => %group);
                self.request_takeover(&group).await;
            }
        });
        futures_util::future::join_all(releases).await;
    }

    /// Asks the first candidate to take over a group. If the call fails, a node takes over when no
    /// digest of the group has been received for the time to live of a lease.
    async fn request_takeover(&self, group: &GroupId) {
        let Some(active) = self.shared.configuration.load_full() else {
            return;
        };
        let groups = &active.deployment.groups;
        let zone = groups
            .iter()
            .find(|one| one.id() == *group)
            .map(|one| &one.zone);
        let candidates = self.candidates();
        let next_holder = zone.and_then(|zone| successor(group, zone, &candidates));
        let address = {
            let cluster = self.cluster.borrow();
            next_holder.and_then(|one| Some(cluster.member(&one.node)?.address))
        };
        if let Some(address) = address {
            let group = group.clone();
            drop(
                self.peers
                    .call(address, &PeerRequest::TakeOver { group })
                    .await,
            );
        }
    }

    /// Tries at once to acquire the lease of a group that its holder has released.
    pub(crate) fn take_over(&self, group: &GroupId) {
        self.with_controller(group, GroupController::acquire_immediately);
    }

    pub(super) async fn release(&self, lease: u64) -> bool {
        self.shared.metrics.key_value_calls.inc();
        let released = self.leases.release(lease).await;
        if let Err(error) = &released {
            // The lease expires by itself.
            log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
        }
        released.is_ok()
    }

    /// Postpones the acquisition of leases that other nodes hold or are to acquire first.
    pub(super) fn postpone_acquires(&self, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(active) = &state.configuration else {
            return;
        };
        let time_to_live = self.leases.time_to_live();
        for group in &active.deployment.groups {
            let id = group.id();
            let (Some(controller), Some(holder_expires_at)) = (
                state.controllers.get_mut(&id),
                state.holder_expires_at.get_mut(&id),
            ) else {
                continue;
            };
            if let Some(last_received_at) = state.digests.last_received_at(&id) {
                *holder_expires_at = (*holder_expires_at).max(last_received_at + time_to_live);
            }
            controller.postpone_acquire(*holder_expires_at);
            if controller.acquire_due(now) {
                match self.acquire_delay(group) {
                    Some(delay) => controller.postpone_acquire(*holder_expires_at + delay),
                    None => controller.postpone_acquire(now + time_to_live),
                }
            }
        }
    }

    pub(super) fn acquire_delay(&self, group: &Group) -> Option<Duration> {
        let me = Candidate {
            node: self.shared.node.clone(),
            zone: self.shared.zone.clone(),
        };
        let others = self.candidates();
        let time_to_live = self.leases.time_to_live();
        acquire_delay(&group.id(), &group.zone, &me, &others, time_to_live)
    }

    /// The other live nodes.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let cluster = self.cluster.borrow();
        let members = cluster.members();
        members
            .map(|member| Candidate {
                node: member.node.clone(),
                zone: member.zone.clone(),
            })
            .collect()
    }

    pub(super) async fn acquire(&self, group: &GroupId) {
        let sent_at = self.shared.clock.now();
        self.shared.metrics.key_value_calls.inc();
        let granted = self.leases.acquire(group, sent_at).await;
        let now = self.shared.clock.now();
        match granted {
            Ok(Some(grant)) => {
                self.shared.metrics.key_value_calls.inc_by(2);
                log_event!(self.shared.logger, Event::LeaseAcquired,
                    "group" => %group, "epoch" => grant.epoch.0);
                self.with_controller(group, |controller| controller.lease_acquired(now, grant));
                self.restore_drains(group).await;
            }
            Ok(None) => self.retry_acquire(group, now),
            Err(error) => {
                log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
                self.retry_acquire(group, now);
            }
        }
    }

    pub(super) fn retry_acquire(&self, group: &GroupId, now: MonotonicTime) {
        let pause = self.leases.time_to_live() / ACQUIRE_RETRIES_PER_LEASE;
        let jitter = rand::rng().random_range(0..=pause.as_millis() as u64);
        let retry_at = now + pause + Duration::from_millis(jitter);
        self.with_controller(group, |controller| controller.lease_not_acquired(retry_at));
    }

    /// Publishes the stored drain marks of a group whose lease was just acquired.
    pub(super) async fn restore_drains(&self, group: &GroupId) {
        let engines: Vec<EngineId> = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            let statuses = controller
                .map(GroupController::statuses)
                .unwrap_or_default();
            statuses.into_iter().map(|status| status.engine).collect()
        };
        self.shared.metrics.key_value_calls.inc();
        if let Err(error) = self.drains.restore(&engines).await {
            log_event!(self.shared.logger, Event::DrainMarksUnreadable, "group" => %group,
                "error" => %error);
        }
    }

    pub(super) async fn renew(&self, group: &GroupId, lease: u64) {
        let sent_at = self.shared.clock.now();
        self.shared.metrics.key_value_calls.inc();
        let renewed = self.leases.renew(lease).await;
        let now = self.shared.clock.now();
        self.with_controller(group, |controller| match &renewed {
            Ok(true) => controller.lease_renewed(lease, sent_at),
            Ok(false) => controller.lease_gone(now, lease),
            Err(_) => controller.lease_renewal_failed(now, lease),
        });
        match renewed {
            Ok(true) => {}
            Ok(false) => {
                log_event!(self.shared.logger, Event::LeaseLost, "group" => %group);
            }
            Err(error) => {
                log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
            }
        }
    }
}

//! Load reports of the engines this node controls, and the digests made of them.

use std::rc::Rc;

use bytes::Bytes;
use dalestand_cluster::{Record, RecordKey, RecordVersion};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineDigest, EngineId, EngineLoad, GroupDigest, GroupId, MonotonicTime};

use super::{ControlDriver, LoadSample};
use crate::digest_codec::CompactDigest;

impl ControlDriver {
    pub(super) fn poll_due_loads(self: &Rc<Self>, now: MonotonicTime) {
        let due: Vec<GroupId> = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let held = state
                .controllers
                .values()
                .filter(|one| one.grant(now).is_some());
            let due: Vec<GroupId> = held
                .map(|controller| controller.group().clone())
                .filter(|group| {
                    let polled_at = state.polled_at.get(group);
                    polled_at.is_none_or(|at| now.since(*at) >= self.load_poll)
                })
                .collect();
            for group in &due {
                state.polled_at.insert(group.clone(), now);
            }
            due
        };
        for group in due {
            let driver = Rc::clone(self);
            actix_rt::spawn(async move { driver.poll_loads(&group).await });
        }
    }

    /// Asks the group's engines for load and publishes the digest.
    async fn poll_loads(&self, group: &GroupId) {
        let engines: Vec<EngineId> = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            controller
                .map(|one| {
                    one.statuses()
                        .into_iter()
                        .map(|status| status.engine)
                        .collect()
                })
                .unwrap_or_default()
        };
        let calls = engines.iter().map(|engine| self.read_load(engine));
        let reports = futures_util::future::join_all(calls).await;
        let now = self.shared.clock.now();
        let mut state = self.state.borrow_mut();
        for load in reports.into_iter().flatten() {
            if let Some(controller) = state.controllers.get_mut(group) {
                controller.engine_seen(&load.engine, load.incarnation);
            }
            state
                .loads
                .insert(load.engine.clone(), LoadSample { load, at: now });
        }
        drop(state);
        self.publish_digest(group, &engines, now);
    }

    pub(super) async fn read_load(&self, engine: &EngineId) -> Option<EngineLoad> {
        let client = self.client(engine)?;
        client.load().await.ok()
    }

    pub(super) fn publish_digest(&self, group: &GroupId, engines: &[EngineId], now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(grant) = state.controllers.get(group).and_then(|one| one.grant(now)) else {
            return;
        };
        let sequence = state.sequences.entry(group.clone()).or_default();
        *sequence = sequence.next();
        let Some(active) = &state.configured else {
            return;
        };
        let groups = &mut active.deployment.groups.iter();
        let Some(configured) = groups.find(|one| one.id() == *group) else {
            return;
        };
        let reports = engines.iter().filter_map(|engine| state.loads.get(engine));
        let reports: Vec<EngineDigest> = reports.map(|sample| engine_digest(sample, now)).collect();
        let whole = GroupDigest {
            group: group.clone(),
            epoch: grant.epoch,
            sequence: *sequence,
            holder: self.shared.node.clone(),
            engines: reports,
        };
        state.planning.observe(now, &configured.pool, &whole);
        let reports = whole.engines;
        let digest = CompactDigest::pack(self.shared.node.clone(), configured, &reports);
        let Ok(payload) = rmp_serde::to_vec(&digest) else {
            return;
        };
        let version = RecordVersion {
            major: grant.epoch.0,
            minor: sequence.0,
        };
        let record = Record {
            key: RecordKey::GroupDigest(group.clone()),
            version,
            payload: Bytes::from(payload),
        };
        let mut cluster = self.cluster.borrow_mut();
        if let Err(error) = cluster.publish_digest(record, &configured.zone) {
            log_event!(self.shared.logger, Event::DatagramUnreadable, "error" => %error);
        }
    }
}

fn engine_digest(sample: &LoadSample, now: MonotonicTime) -> EngineDigest {
    EngineDigest {
        load: sample.load.clone(),
        age_ms: now.since(sample.at).as_millis() as u64,
        accepting: true,
    }
}

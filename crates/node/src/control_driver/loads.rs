//! Polls the load of controlled engines and publishes it as group digests.

use std::rc::Rc;

use bytes::Bytes;
use dalestand_cluster::{Record, RecordKey, RecordVersion};
use dalestand_control::EngineObservation;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{EngineDigest, EngineId, EngineLoad, GroupDigest, GroupId, MonotonicTime};

use super::{ControlDriver, LoadSample};
use crate::digest_codec::{CompactDigest, RatedReport};
use crate::token_rates::TokenRates;

impl ControlDriver {
    pub(super) fn poll_due_loads(self: &Rc<Self>, now: MonotonicTime) {
        let due: Vec<GroupId> = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let held = state
                .controllers
                .values()
                .filter(|controller| controller.grant(now).is_some());
            let due: Vec<GroupId> = held
                .map(|controller| controller.group().clone())
                .filter(|group| {
                    let polled_at = state.polled_at.get(group);
                    polled_at.is_none_or(|at| now.since(*at) >= self.load_poll_interval)
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

    /// Polls the load of a group's engines and publishes a digest.
    async fn poll_loads(&self, group: &GroupId) {
        let engines: Vec<EngineId> = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            controller
                .map(|controller| {
                    controller
                        .statuses()
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
                let observation = EngineObservation {
                    incarnation: load.incarnation,
                    role: load.role,
                    requests: load.running + load.waiting,
                };
                controller.engine_reported(now, &load.engine, &observation);
            }
            let previous = state.loads.get(&load.engine);
            let rates = previous.map_or_else(TokenRates::default, |previous| {
                TokenRates::between(
                    previous.rates,
                    (&previous.load, previous.received_at),
                    (&load, now),
                )
            });
            let engine = load.engine.clone();
            let sample = LoadSample {
                load,
                received_at: now,
                rates,
            };
            state.loads.insert(engine, sample);
        }
        drop(state);
        self.publish_digest(group, &engines, now);
    }

    pub(super) async fn read_load(&self, engine: &EngineId) -> Option<EngineLoad> {
        let client = self.client(engine)?;
        // An unresponsive engine must not delay the digest of its group.
        let answer = actix_rt::time::timeout(self.load_poll_interval, client.load()).await;
        answer.ok()?.ok()
    }

    /// Publishes the group's digest, if this node holds its lease, and gives it to the planner.
    pub(super) fn publish_digest(&self, group: &GroupId, engines: &[EngineId], now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(controller) = state.controllers.get(group) else {
            return;
        };
        let Some(grant) = controller.grant(now) else {
            return;
        };
        let sequence = state.sequences.entry(group.clone()).or_default();
        *sequence = sequence.next();
        let Some(active) = &state.configuration else {
            return;
        };
        let groups = &mut active.deployment.groups.iter();
        let Some(configured_group) = groups.find(|candidate| candidate.id() == *group) else {
            return;
        };
        let samples = engines.iter().filter_map(|engine| state.loads.get(engine));
        let reports: Vec<RatedReport> = samples
            .map(|sample| rated_report(sample, now, !controller.is_draining(&sample.load.engine)))
            .collect();
        let full_digest = GroupDigest {
            group: group.clone(),
            epoch: grant.epoch,
            sequence: *sequence,
            holder: self.shared.node.clone(),
            engines: reports.iter().map(|rated| rated.digest.clone()).collect(),
        };
        state
            .planning
            .observe(now, &configured_group.pool, &full_digest);
        let digest = CompactDigest::pack(self.shared.node.clone(), configured_group, &reports);
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
        if let Err(error) = cluster.publish_digest(record, &configured_group.zone) {
            log_event!(self.shared.logger, Event::DatagramUnreadable, "error" => %error);
        }
    }
}

fn rated_report(sample: &LoadSample, now: MonotonicTime, accepting: bool) -> RatedReport {
    RatedReport {
        digest: EngineDigest {
            load: sample.load.clone(),
            age_ms: now.since(sample.received_at).as_millis() as u64,
            accepting,
        },
        rates: sample.rates,
    }
}

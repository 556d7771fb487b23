//! The newest configuration known to this node: activates it and serves it to peers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_config::Deployment;
use dalestand_gateway::{ActiveConfiguration, SharedState};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use tokio::sync::Notify;

use super::ConfigurationRecord;
use super::exchange::{ConfigurationQuery, ConfigurationReply, MAX_PARTS_PER_QUERY, Manifest};
use super::parts::{PartName, SplitText};

struct HeldConfiguration {
    manifest: Manifest,
    text: SplitText,
}

/// Holds the newest known configuration; its revision never decreases.
pub(crate) struct ConfigurationStore {
    shared: Arc<SharedState>,
    cluster: Rc<RefCell<Cluster>>,
    /// Wakes the cluster driver to send a record without waiting for its next tick.
    wake: Rc<Notify>,
    held: RefCell<Option<HeldConfiguration>>,
}

impl ConfigurationStore {
    /// A store without a configuration.
    pub(crate) fn new(
        shared: Arc<SharedState>,
        cluster: Rc<RefCell<Cluster>>,
        wake: Rc<Notify>,
    ) -> Self {
        Self {
            shared,
            cluster,
            wake,
            held: RefCell::new(None),
        }
    }

    /// Newest known revision; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        let held = self.held.borrow();
        held.as_ref()
            .map_or(Revision(0), |held| held.manifest.revision)
    }

    /// Manifest of the newest configuration, if it is newer than `newer_than`.
    pub(crate) fn manifest(&self, newer_than: Revision) -> Option<Manifest> {
        let held = self.held.borrow();
        let manifest = held.as_ref().map(|held| &held.manifest);
        manifest
            .filter(|manifest| manifest.revision > newer_than)
            .cloned()
    }

    /// Answers a query of another node.
    pub(crate) fn answer(&self, query: &ConfigurationQuery) -> ConfigurationReply {
        match query {
            ConfigurationQuery::Manifest { newer_than } => {
                ConfigurationReply::Manifest(self.manifest(*newer_than))
            }
            ConfigurationQuery::Parts { names } => {
                let names = names.iter().take(MAX_PARTS_PER_QUERY);
                ConfigurationReply::Parts(names.map(|name| self.part(name)).collect())
            }
        }
    }

    /// A part of the newest configuration.
    pub(crate) fn part(&self, name: &PartName) -> Option<Bytes> {
        let held = self.held.borrow();
        held.as_ref()?.text.parts.get(name).cloned()
    }

    /// Applies a record read from the key-value service.
    pub(crate) fn apply_entry(&self, revision: Revision, value: &str) {
        match serde_json::from_str(value) {
            Ok(record) => self.apply(revision, record),
            Err(error) => self.log_unusable(revision, &error.to_string()),
        }
    }

    /// Applies a configuration if it is newer than the known one: activates it and announces it to
    /// the cluster.
    pub(crate) fn apply(&self, revision: Revision, record: ConfigurationRecord) {
        if revision <= self.revision() {
            return;
        }
        match Deployment::parse(&record.text) {
            Ok(deployment) => self.activate(revision, deployment),
            // Stored and announced nevertheless: nodes of another version may accept it.
            Err(faults) => self.log_unusable(revision, &faults.to_string()),
        }
        let text = SplitText::split(&record.text);
        let manifest = Manifest {
            revision,
            writer: record.writer,
            author: record.author,
            unix_ms: record.unix_ms,
            former: record.former,
            names: text.names.clone(),
        };
        *self.held.borrow_mut() = Some(HeldConfiguration { manifest, text });
        self.announce(revision);
    }

    fn activate(&self, revision: Revision, deployment: Deployment) {
        let active = ActiveConfiguration {
            revision,
            deployment: Arc::new(deployment),
        };
        self.shared.configuration.store(Some(Arc::new(active)));
        let gauge = &self.shared.metrics.configuration_revision;
        gauge.set(revision.0 as i64);
        log_event!(self.shared.logger, Event::ConfigurationInForce, "revision" => revision.0);
    }

    fn announce(&self, revision: Revision) {
        let record = Record {
            key: RecordKey::Configuration,
            version: RecordVersion {
                major: revision.0,
                minor: 0,
            },
            payload: Bytes::new(),
        };
        let published = self.cluster.borrow_mut().publish(record);
        match published {
            Ok(_) => self.wake.notify_one(),
            Err(error) => {
                log_event!(self.shared.logger, Event::DatagramUnreadable, "error" => %error);
            }
        }
    }

    fn log_unusable(&self, revision: Revision, fault: &str) {
        log_event!(self.shared.logger, Event::ConfigurationInvalid,
            "revision" => revision.0, "fault" => fault);
    }
}

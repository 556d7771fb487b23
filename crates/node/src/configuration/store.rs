//! The configuration this node holds, in force and ready to be passed on.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_config::Deployment;
use dalestand_gateway::{ActiveConfiguration, Shared};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use tokio::sync::Notify;

use super::ConfigurationRecord;
use super::exchange::{Answer, MAX_PARTS_ASKED, Manifest, Question};
use super::parts::{PartName, PartedText};

struct Held {
    manifest: Manifest,
    text: PartedText,
}

/// Holds the newest configuration seen; a revision never goes back.
pub(crate) struct ConfigurationStore {
    shared: Arc<Shared>,
    cluster: Rc<RefCell<Cluster>>,
    /// Notified when there is news that should not wait for the cluster's next tick.
    news: Rc<Notify>,
    held: RefCell<Option<Held>>,
}

impl ConfigurationStore {
    /// A store without a configuration.
    pub(crate) fn new(
        shared: Arc<Shared>,
        cluster: Rc<RefCell<Cluster>>,
        news: Rc<Notify>,
    ) -> Self {
        Self {
            shared,
            cluster,
            news,
            held: RefCell::new(None),
        }
    }

    /// The newest revision seen.
    pub(crate) fn revision(&self) -> Revision {
        let held = self.held.borrow();
        held.as_ref()
            .map_or(Revision(0), |held| held.manifest.revision)
    }

    /// What the newest configuration is made of, if it is newer than a revision.
    pub(crate) fn manifest(&self, newer_than: Revision) -> Option<Manifest> {
        let held = self.held.borrow();
        let manifest = held.as_ref().map(|held| &held.manifest);
        manifest
            .filter(|manifest| manifest.revision > newer_than)
            .cloned()
    }

    /// Answers another node.
    pub(crate) fn answer(&self, question: &Question) -> Answer {
        match question {
            Question::Manifest { newer_than } => Answer::Manifest(self.manifest(*newer_than)),
            Question::Parts { names } => {
                let names = names.iter().take(MAX_PARTS_ASKED);
                Answer::Parts(names.map(|name| self.part(name)).collect())
            }
        }
    }

    /// A part of the newest configuration.
    pub(crate) fn part(&self, name: &PartName) -> Option<Bytes> {
        let held = self.held.borrow();
        held.as_ref()?.text.parts.get(name).cloned()
    }

    /// Takes what the key-value service holds.
    pub(crate) fn take_entry(&self, revision: Revision, value: &str) {
        match serde_json::from_str(value) {
            Ok(record) => self.take(revision, record),
            Err(error) => self.report_unusable(revision, &error.to_string()),
        }
    }

    /// Puts a configuration in force if it is newer than what was seen, and tells the other nodes.
    pub(crate) fn take(&self, revision: Revision, record: ConfigurationRecord) {
        if revision <= self.revision() {
            return;
        }
        match Deployment::parse(&record.text) {
            Ok(deployment) => self.put_in_force(revision, deployment),
            // Kept and passed on all the same: another node may understand it.
            Err(faults) => self.report_unusable(revision, &faults.to_string()),
        }
        let text = PartedText::cut(&record.text);
        let manifest = Manifest {
            revision,
            writer: record.writer,
            author: record.author,
            unix_ms: record.unix_ms,
            former: record.former,
            names: text.names.clone(),
        };
        *self.held.borrow_mut() = Some(Held { manifest, text });
        self.announce(revision);
    }

    fn put_in_force(&self, revision: Revision, deployment: Deployment) {
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
            Ok(_) => self.news.notify_one(),
            Err(error) => {
                log_event!(self.shared.logger, Event::DatagramUnreadable, "error" => %error);
            }
        }
    }

    fn report_unusable(&self, revision: Revision, fault: &str) {
        log_event!(self.shared.logger, Event::ConfigurationInvalid,
            "revision" => revision.0, "fault" => fault);
    }
}

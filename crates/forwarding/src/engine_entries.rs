//! Engines' own entries, from the key-value service or from a relay.

use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::EntryRecord;
use dalestand_edge::routed::EngineEntry;
use dalestand_edge::{Listing, WatchEvent};
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::follow::Follower;
use crate::spread::recent_changes::ChangeSource;

/// Changes of engines' entries are gathered for this time for each node that follows them.
const ENGINES_GATHERED_PER_NODE: Duration = Duration::from_millis(4);

/// Longest time for which they are gathered. It is part of the time in which an engine that leaves
/// still gets requests, so it is a small part of any drain bound.
const ENGINES_GATHERED: Duration = Duration::from_millis(250);

/// Brings changed entries into force at this node, and has them sent on.
pub(crate) fn apply(context: &Context, records: Vec<EntryRecord>, source: ChangeSource) {
    if records.is_empty() {
        return;
    }
    context.spread.changes.borrow_mut().push(&records, source);
    let mut changes = Vec::new();
    for record in records {
        let Some(value) = &record.value else {
            log_event!(context.logger, Event::EngineGone, "key" => &record.key,
                "revision" => record.revision, "source" => ?source);
            changes.push((record.key, None));
            continue;
        };
        if let Some(entry) = read(context, &record.key, value) {
            log_listed(context, &entry, record.revision, source);
            changes.push((record.key, Some(entry)));
        }
    }
    context.change_entries(changes);
}

fn read(context: &Context, key: &str, value: &str) -> Option<EngineEntry> {
    match context.form.read_engine(key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_event!(context.logger, Event::EngineUnreadable, "key" => key, "error" => error);
            None
        }
    }
}

fn log_listed(context: &Context, entry: &EngineEntry, revision: u64, source: ChangeSource) {
    log_event!(context.logger, Event::EngineListed, "engine" => &*entry.run,
        "pool" => %entry.pool, "address" => %entry.address, "zone" => %entry.zone,
        "accepting" => entry.accepting, "role" => ?entry.role, "revision" => revision,
        "source" => ?source);
}

/// Takes engines' entries from the key-value service.
pub(crate) struct EngineFollower(pub(crate) Rc<Context>);

impl Follower for EngineFollower {
    fn listed(&self, listing: Listing) {
        let records = listing.entries.into_iter().map(|entry| EntryRecord {
            key: entry.key,
            value: Some(entry.value),
            revision: entry.revision.0,
        });
        let mut entries = self.0.spread.entries.borrow_mut();
        let changes = entries.take_listing(listing.revision.0, records.collect());
        drop(entries);
        apply(&self.0, changes, ChangeSource::Store);
    }

    fn changed(&self, event: WatchEvent) {
        let record = EntryRecord {
            key: event.key,
            value: event.value,
            revision: event.revision.0,
        };
        let is_new = self.0.spread.entries.borrow_mut().take(record.clone());
        if is_new {
            apply(&self.0, vec![record], ChangeSource::Store);
        }
    }

    fn gather(&self) -> Duration {
        let followers = self.0.spread.other_relays().len() as u32 + 1;
        (ENGINES_GATHERED_PER_NODE * followers).min(ENGINES_GATHERED)
    }
}

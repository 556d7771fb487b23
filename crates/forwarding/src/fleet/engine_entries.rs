//! Engine entries from the key-value service or from a relay.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{BootInstant, sleep};
use dalestand_dissemination::EntryRecord;
use dalestand_edge::routed::EngineEntry;
use dalestand_edge::{Entry, Listing, WatchEvent};
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::SoftwareVersion;

use crate::context::Context;
use crate::dissemination::notice_queue::NoticeSource;
use crate::dissemination::recent_changes::ChangeSource;
use crate::fleet::engine_runs::known_start;
use crate::fleet::entry_text;
use crate::fleet::follow::{Follower, MIN_OUTAGE};
use crate::fleet::restored_entries::RESTORED_ENTRY_HOLD_TIME;
use crate::fleet::signals::apply_start;
use crate::quarantine::engine_end::{EndProof, record_engine_end};

/// Upper bound per relay of the random delay before a relay watches for further changes of engine
/// entries. The relay that watches first informs the others within 25 ms, so the delay may grow with
/// the number of relays, and a change costs few calls.
const BATCH_DELAY_PER_RELAY: Duration = Duration::from_millis(32);

/// The delay is at most this part of the drain bound: it delays drain notices where a relay hears of no
/// other.
const BATCH_DELAYS_PER_DRAIN: u32 = 8;

/// Time for engines to rewrite entries that expired while the key-value service was unavailable, as
/// guaranteed by the platform. An engine that has not done so by then is gone.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_secs(2);

/// Minimum share of the engines that must disappear at once to be treated as expired entries.
/// Engines that end without draining first are few at a time. Such engines serve on for the drain
/// bound, so that treating them as expired does no harm before half of it is over.
const MIN_LAPSED_SHARE: f64 = 0.1;

/// Removals of many entries at once are held back for this part of the drain bound at most.
const MAX_HOLD_SHARE: f64 = 0.5;

/// They are applied at the latest this part of the drain bound after the entries were last proved complete:
/// the entries may have been removed right after that. The rest is for the way through relays.
const HOLD_END_SHARE: f64 = 0.75;

/// Limit on changes that are logged individually; a start changes all engines at once. A line for
/// each of 10,000 engines would take longer than applying their entries.
const MAX_LOGGED_EACH: usize = 16;

/// Limit on unreadable entries that are logged, one line each.
const MAX_UNREADABLE_LOGGED: usize = 256;

/// Limit on the changes of one listing that are sent to other nodes as changes.
const MAX_LISTED_CHANGES_SENT: usize = 256;

/// Merges records into the known entries and applies those that are newer.
pub(crate) fn merge(context: &Context, records: Vec<EntryRecord>, source: ChangeSource) {
    let records = match source {
        ChangeSource::Store => records,
        ChangeSource::Listing | ChangeSource::Relay => {
            context.dissemination.drop_withheld(context.now(), records)
        }
    };
    let is_outdated = |record: &EntryRecord| {
        let entries = context.dissemination.entries.borrow();
        source == ChangeSource::Relay && entries.is_removed_before_complete(record)
    };
    let records: Vec<EntryRecord> = records
        .into_iter()
        .filter(|record| !is_outdated(record))
        .collect();
    let mut entries = context.dissemination.entries.borrow_mut();
    let taken = records
        .into_iter()
        .filter(|record| entries.insert_if_newer(record.clone()));
    let taken: Vec<EntryRecord> = taken.collect();
    drop(entries);
    apply_changes(context, taken, source);
}

/// Applies changed entries at this node and queues them for other nodes.
pub(crate) fn apply_changes(context: &Context, records: Vec<EntryRecord>, source: ChangeSource) {
    if records.is_empty() {
        return;
    }
    queue_changes(context, &records, source);
    let is_logged_each = records.len() <= MAX_LOGGED_EACH;
    if !is_logged_each {
        log_event!(context.logger, Event::EnginesListed, "changes" => records.len(),
            "source" => ?source);
    }
    let mut changes = Vec::new();
    for record in records {
        let Some(value) = &record.value else {
            if is_logged_each {
                log_event!(context.logger, Event::EngineRemoved, "key" => &record.key,
                    "revision" => record.revision, "source" => ?source);
            }
            if let Some(entry) = context.entry(&record.key).filter(|entry| entry.accepting) {
                let engine = EngineKey::of(&entry.run);
                record_engine_end(context, engine, &entry.run, EndProof::EntryGone);
            }
            changes.push((record.key, None));
            continue;
        };
        let entry = match entry_text::read(value) {
            Ok(entry) => entry,
            Err(error) => {
                log_event!(context.logger, Event::EngineUnreadable, "key" => &record.key,
                    "error" => %error);
                continue;
            }
        };
        if is_logged_each {
            log_listed(context, &entry, record.revision, source);
        }
        let engine = EngineKey::of(&entry.run);
        if !entry.accepting {
            context.router.borrow_mut().signals.record_draining(engine);
        } else if context.is_draining(engine) {
            log_event!(context.logger, Event::EntryContradictsDrain, "engine" => &*entry.run,
                "revision" => record.revision, "source" => ?source);
        }
        changes.push((record.key, Some(entry)));
    }
    context.apply_entry_changes(changes);
}

/// Queues changes for other nodes if this node is a relay. Large listings are left out: relays read
/// them themselves, and members request what differs at the pace of their links.
fn queue_changes(context: &Context, records: &[EntryRecord], source: ChangeSource) {
    let is_bulk_listing =
        source == ChangeSource::Listing && records.len() > MAX_LISTED_CHANGES_SENT;
    if !is_bulk_listing && context.dissemination.role(context.now()).is_relay {
        context
            .dissemination
            .changes
            .borrow_mut()
            .push(records, source);
    }
}

/// Converts an entry to the form sent between nodes; an unreadable one counts as removed. Applies the
/// engine's start time at once.
fn to_record(
    context: &Context,
    key: String,
    value: Option<&str>,
    revision: u64,
    source: ChangeSource,
) -> EntryRecord {
    let read = value.and_then(
        |value| match context.store_format.read_engine(&key, value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                report_unreadable(context, &key, &error);
                None
            }
        },
    );
    if let Some(entry) = &read {
        apply_entry_start(context, entry, source);
        let start = known_start(context, EngineKey::of(&entry.run));
        if let Some(start) = start.filter(|_| source == ChangeSource::Store) {
            context.engine_runs.record_rewritten(start);
        }
        if !is_of_former_start(context, entry) {
            let software = entry.software.clone();
            let software = software.unwrap_or_else(SoftwareVersion::unknown);
            context.record_software(EngineKey::of(&entry.run), software);
        }
    }
    EntryRecord {
        value: read.as_ref().map(entry_text::write),
        key,
        revision,
    }
}

/// Applies the start time of an engine's entry. A watch delivers recent writes, but a listing may come
/// from a restored service and show a previous start.
fn apply_entry_start(context: &Context, entry: &EngineEntry, source: ChangeSource) {
    let (engine, started_at_ms) = (
        EngineKey::of(&entry.run),
        entry.started_at_ms.unwrap_or_default(),
    );
    let known = context.router.borrow().signals.started_at_ms(engine);
    if source == ChangeSource::Store || started_at_ms > known {
        apply_start(context, engine, started_at_ms, NoticeSource::Entry);
    }
}

/// Whether the entry describes another start of the engine than the one that is known.
fn is_of_former_start(context: &Context, entry: &EngineEntry) -> bool {
    let engine = EngineKey::of(&entry.run);
    let known = context.router.borrow().signals.started_at_ms(engine);
    let started_at_ms = entry.started_at_ms;
    started_at_ms.is_some_and(|started_at_ms| started_at_ms > 0 && started_at_ms != known)
}

/// Counts an unreadable entry and logs it once per key, since it may be rewritten repeatedly.
fn report_unreadable(context: &Context, key: &str, error: &str) {
    context.metrics.entry_unreadable();
    let mut logged = context.dissemination.unreadable_entries.borrow_mut();
    if logged.len() < MAX_UNREADABLE_LOGGED && logged.insert(key.to_owned()) {
        log_event!(context.logger, Event::EngineUnreadable, "key" => key, "error" => error);
    }
}

fn log_listed(context: &Context, entry: &EngineEntry, revision: u64, source: ChangeSource) {
    log_event!(context.logger, Event::EngineListed, "engine" => &*entry.run,
        "pool" => %entry.pool, "address" => %entry.address, "zone" => %entry.zone,
        "accepting" => entry.accepting, "role" => ?entry.role,
        "software" => context.engine_versions().software(EngineKey::of(&entry.run))
            .map(SoftwareVersion::as_str),
        "revision" => revision,
        "source" => ?source);
}

/// Keys of known entries that a listing lacks.
fn missing_keys(context: &Context, listing: &Listing, records: &[EntryRecord]) -> Vec<String> {
    let present: HashSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
    let entries = context.dissemination.entries.borrow();
    let missing = entries.live().filter(|known| {
        known.revision <= listing.revision.0 && !present.contains(known.key.as_str())
    });
    missing.map(|record| record.key.clone()).collect()
}

/// Records and logs that removals are held back.
fn log_held(context: &Context, count: usize, wait: Duration) {
    context.entries_proof.hold(count);
    log_event!(context.logger, Event::EntryRemovalsHeld, "entries" => count,
        "for_ms" => wait.as_millis() as u64);
}

/// Whether so many engines disappeared at once without draining that their entries must have expired
/// while the engines still run.
fn is_mass_lapse<'k>(context: &Context, removed: impl Iterator<Item = &'k str>) -> bool {
    let accepting = removed.filter(|key| context.entry(key).is_some_and(|entry| entry.accepting));
    let count = accepting.count();
    let share = count as f64 / context.fleet().len().max(1) as f64;
    count > 1 && share >= MIN_LAPSED_SHARE
}

/// How long removals of many entries at once are held back. Not at all while the service answers: entries expire at once
/// only if it was away.
fn mass_lapse_hold(context: &Context) -> Duration {
    let bound = context.settings.engine_drain();
    let unproved_for = context.entries_proof.age().unwrap_or(bound);
    if unproved_for < MIN_OUTAGE {
        return Duration::ZERO;
    }
    let left = bound.mul_f64(HOLD_END_SHARE).saturating_sub(unproved_for);
    left.min(bound.mul_f64(MAX_HOLD_SHARE))
        .min(LAPSED_ENTRY_GRACE)
}

/// Applies a full listing of the key-value service.
fn apply_listing(context: &Context, revision: u64, records: Vec<EntryRecord>) {
    let records = context.dissemination.drop_withheld(context.now(), records);
    let mut entries = context.dissemination.entries.borrow_mut();
    let changes = entries.apply_listing(revision, records);
    drop(entries);
    apply_changes(context, changes, ChangeSource::Listing);
}

/// Follows engine entries in the key-value service.
pub(crate) struct EngineFollower {
    context: Rc<Context>,
    /// Records of the current listing's pages so far.
    listed: RefCell<Vec<EntryRecord>>,
}

impl EngineFollower {
    pub(crate) fn new(context: Rc<Context>) -> Self {
        Self {
            context,
            listed: RefCell::default(),
        }
    }
}

impl Follower for EngineFollower {
    fn confirm(&self, at: BootInstant) {
        self.context.entries_proof.confirm(at);
    }

    fn begin_listing(&self) {
        self.listed.borrow_mut().clear();
    }

    fn apply_page(&self, entries: &[Entry]) {
        let records = entries.iter().map(|entry| {
            let value = Some(entry.value.as_str());
            let revision = entry.revision.0;
            to_record(
                &self.context,
                entry.key.clone(),
                value,
                revision,
                ChangeSource::Listing,
            )
        });
        let records = records.filter(|record| record.value.is_some());
        let records: Vec<EntryRecord> = records.collect();
        self.listed.borrow_mut().extend_from_slice(&records);
        merge(&self.context, records, ChangeSource::Listing);
    }

    fn apply_listing(&self, listing: Listing, after_outage: bool) {
        let records = std::mem::take(&mut *self.listed.borrow_mut());
        let context = Rc::clone(&self.context);
        let missing = missing_keys(&context, &listing, &records);
        // Entries expire while the service is unavailable and are rewritten when it is back: present
        // entries apply at once, missing ones are removed after a grace period unless rewritten.
        let grace = if after_outage {
            LAPSED_ENTRY_GRACE
        } else if is_mass_lapse(&context, missing.iter().map(String::as_str)) {
            mass_lapse_hold(&context)
        } else {
            Duration::ZERO
        };
        if grace.is_zero() {
            apply_listing(&context, listing.revision.0, records);
            return;
        }
        let missing = missing.len();
        if missing > 0 {
            log_held(&context, missing, grace);
        }
        actix_rt::spawn(async move {
            sleep(grace).await;
            context.entries_proof.release(missing);
            let withheld = {
                let entries = context.dissemination.entries.borrow();
                let withheld = records
                    .iter()
                    .filter(|record| entries.was_removed_in_earlier_era(record));
                withheld.cloned().collect::<Vec<_>>()
            };
            apply_listing(&context, listing.revision.0, records);
            // Withheld entries that still exist belong to running engines.
            sleep(RESTORED_ENTRY_HOLD_TIME).await;
            merge(&context, withheld, ChangeSource::Listing);
        });
    }

    fn apply_events(&self, events: Vec<WatchEvent>) {
        let newest = events.iter().map(|event| event.revision.0).max();
        let context = Rc::clone(&self.context);
        let events = events.into_iter();
        let records = events.map(|event| {
            let revision = event.revision.0;
            let value = event.value.as_deref();
            to_record(&context, event.key, value, revision, ChangeSource::Store)
        });
        let records: Vec<EntryRecord> = records.collect();
        let removed = records.iter().filter(|record| record.value.is_none());
        let wait = if is_mass_lapse(&context, removed.map(|record| record.key.as_str())) {
            mass_lapse_hold(&context)
        } else {
            Duration::ZERO
        };
        if wait.is_zero() {
            merge(&context, records, ChangeSource::Store);
            let mut entries = context.dissemination.entries.borrow_mut();
            entries.advance_complete_to(newest.unwrap_or_default());
            return;
        }
        // A watch that spans an outage reports expired entries when it ends. Entries rewritten during
        // the grace period have higher revisions and remain.
        let (present, removed) = records
            .into_iter()
            .partition(|record| record.value.is_some());
        merge(&context, present, ChangeSource::Store);
        let removed: Vec<EntryRecord> = removed;
        let count = removed.len();
        log_held(&context, count, wait);
        actix_rt::spawn(async move {
            sleep(wait).await;
            context.entries_proof.release(count);
            merge(&context, removed, ChangeSource::Store);
            let mut entries = context.dissemination.entries.borrow_mut();
            entries.advance_complete_to(newest.unwrap_or_default());
        });
    }

    fn batch_delay(&self) -> Duration {
        let relays = self.context.dissemination.other_relays().len() as u32 + 1;
        let max_delay = self.context.settings.engine_drain() / BATCH_DELAYS_PER_DRAIN;
        let max_delay = (BATCH_DELAY_PER_RELAY * relays).min(max_delay);
        max_delay.mul_f64(rand::random_range(0.0..1.0))
    }
}

//! Engines' own entries, from the key-value service or from a relay.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::sleep;
use dalestand_dissemination::EntryRecord;
use dalestand_edge::routed::EngineEntry;
use dalestand_edge::{Entry, Listing, WatchEvent};
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;

use crate::context::Context;
use crate::dissemination::notice_queue::NoticeSource;
use crate::dissemination::recent_changes::ChangeSource;
use crate::fleet::entry_text;
use crate::fleet::follow::Follower;
use crate::fleet::restored_entries::RESTORED_ENTRIES_LAPSE;
use crate::fleet::signals::apply_start;
use crate::quarantine::engine_end::{EndProof, record_engine_end};

/// Relays ask for changes of engines' entries again after up to this time for each relay, at random.
/// Whichever asks first tells the others within 25 ms, so that the fleet hears of a change after a few
/// tens of milliseconds, however many relays there are, and a change costs few calls: a quarter fewer
/// in a fleet of 63 nodes with 12 relays than when all asked again after 48 ms.
const ENGINES_GATHERED_PER_RELAY: Duration = Duration::from_millis(32);

/// Longest time after which a relay asks again. It is part of the time in which an engine that leaves
/// still gets requests where a relay hears of no other, so it is a quarter of the shortest drain bound.
const ENGINES_GATHERED: Duration = Duration::from_millis(500);

/// Engines whose entries lapsed while the key-value service was away have written them again within
/// this time of its return, as the platform promises; one that has not is gone.
const LAPSED_ENTRIES_RETURN: Duration = Duration::from_secs(2);

/// Share of the engines from which a simultaneous end is taken for a lapse. Engines that end without
/// having said so are few at a time, and serve on for the drain bound: until half of it is over, to
/// take them for lapsed does no harm.
const LAPSE_SHARE: f64 = 0.1;

/// Most changes at a time that are logged one by one. A start tells of all engines at once, and a line for
/// each of 10,000 takes longer than to take them in.
const LOGGED_EACH: usize = 16;

/// Entries that cannot be read and are logged: a line each.
const MOST_UNREADABLE_LOGGED: usize = 256;

/// Most changes found by one reading of the key-value service that are sent to other nodes by themselves.
const READ_CHANGES_SENT: usize = 256;

/// Takes changed entries in; what is newer than what was known is brought into force.
pub(crate) fn merge(context: &Context, records: Vec<EntryRecord>, source: ChangeSource) {
    let records = match source {
        ChangeSource::Store => records,
        ChangeSource::Listing | ChangeSource::Relay => context
            .dissemination
            .without_withheld(context.now(), records),
    };
    let mut entries = context.dissemination.entries.borrow_mut();
    let taken = records
        .into_iter()
        .filter(|record| entries.insert_if_newer(record.clone()));
    let taken: Vec<EntryRecord> = taken.collect();
    drop(entries);
    apply_changes(context, taken, source);
}

/// Brings changed entries into force at this node, and has them sent to other nodes.
pub(crate) fn apply_changes(context: &Context, records: Vec<EntryRecord>, source: ChangeSource) {
    if records.is_empty() {
        return;
    }
    pass_on(context, &records, source);
    let is_logged_each = records.len() <= LOGGED_EACH;
    if !is_logged_each {
        log_event!(context.logger, Event::EnginesListed, "changes" => records.len(),
            "source" => ?source);
    }
    let mut changes = Vec::new();
    for record in records {
        let Some(value) = &record.value else {
            if is_logged_each {
                log_event!(context.logger, Event::EngineGone, "key" => &record.key,
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
        let (engine, era) = (EngineKey::of(&entry.run), Revision(record.revision).era());
        let mut router = context.router.borrow_mut();
        router.signals.record_entry(engine, entry.accepting, era);
        drop(router);
        changes.push((record.key, Some(entry)));
    }
    context.apply_entry_changes(changes);
}

/// Has changed entries sent to other nodes, if this one passes state on. Those of a first reading are
/// not: relays read for themselves, and members are sent what differs, at the pace that their links bear.
fn pass_on(context: &Context, records: &[EntryRecord], source: ChangeSource) {
    let is_first = source == ChangeSource::Listing && records.len() > READ_CHANGES_SENT;
    if !is_first && context.dissemination.role(context.now()).is_relay {
        context
            .dissemination
            .changes
            .borrow_mut()
            .push(records, source);
    }
}

/// An entry of the key-value service as nodes pass it on; as one that is gone if it cannot be read. What it
/// says of the engine's start is taken in at once.
fn record(
    context: &Context,
    key: String,
    value: Option<&str>,
    revision: u64,
    source: ChangeSource,
) -> EntryRecord {
    let read = value.and_then(|value| match context.form.read_engine(&key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            note_unreadable(context, &key, &error);
            None
        }
    });
    if let Some(entry) = &read {
        note_born(context, entry, source);
    }
    EntryRecord {
        value: read.as_ref().map(entry_text::write),
        key,
        revision,
    }
}

/// Notes when an engine started. What a watch tells was written just now; a reading may be that of a restored
/// service, which tells of a former start.
fn note_born(context: &Context, entry: &EngineEntry, source: ChangeSource) {
    let (engine, born) = (EngineKey::of(&entry.run), entry.born.unwrap_or_default());
    let known = context.router.borrow().signals.started_at_ms(engine);
    if source == ChangeSource::Store || born > known {
        apply_start(context, engine, born, NoticeSource::Entry);
    }
}

/// Counts an entry that names no engine, and logs it once: another writer may write it again and again.
fn note_unreadable(context: &Context, key: &str, error: &str) {
    context.metrics.entry_unreadable();
    let mut logged = context.dissemination.unreadable_entries.borrow_mut();
    if logged.len() < MOST_UNREADABLE_LOGGED && logged.insert(key.to_owned()) {
        log_event!(context.logger, Event::EngineUnreadable, "key" => key, "error" => error);
    }
}

fn log_listed(context: &Context, entry: &EngineEntry, revision: u64, source: ChangeSource) {
    log_event!(context.logger, Event::EngineListed, "engine" => &*entry.run,
        "pool" => %entry.pool, "address" => %entry.address, "zone" => %entry.zone,
        "accepting" => entry.accepting, "role" => ?entry.role, "revision" => revision,
        "source" => ?source);
}

/// Whether so many engines went at once, none of which had said that it leaves, that their entries
/// lapsed rather than the engines ended.
fn is_lapse(context: &Context, records: &[EntryRecord]) -> bool {
    let gone = records.iter().filter(|record| {
        record.value.is_none()
            && context
                .entry(&record.key)
                .is_some_and(|entry| entry.accepting)
    });
    let share = gone.clone().count() as f64 / context.fleet().len().max(1) as f64;
    gone.count() > 1 && share >= LAPSE_SHARE
}

/// Takes a whole reading of the key-value service in.
fn apply_listing(context: &Context, revision: u64, records: Vec<EntryRecord>) {
    let records = context
        .dissemination
        .without_withheld(context.now(), records);
    let mut entries = context.dissemination.entries.borrow_mut();
    let changes = entries.apply_listing(revision, records);
    drop(entries);
    apply_changes(context, changes, ChangeSource::Listing);
}

/// Takes engines' entries from the key-value service.
pub(crate) struct EngineFollower {
    context: Rc<Context>,
    /// What the pages of the reading under way told.
    listed: RefCell<Vec<EntryRecord>>,
}

impl EngineFollower {
    /// A follower that has read nothing.
    pub(crate) fn new(context: Rc<Context>) -> Self {
        Self {
            context,
            listed: RefCell::default(),
        }
    }
}

impl Follower for EngineFollower {
    fn listing_begins(&self) {
        self.listed.borrow_mut().clear();
    }

    fn page(&self, entries: &[Entry]) {
        let records = entries.iter().map(|entry| {
            let value = Some(entry.value.as_str());
            let revision = entry.revision.0;
            record(
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

    fn listed(&self, listing: Listing, after_outage: bool) {
        let records = std::mem::take(&mut *self.listed.borrow_mut());
        let context = Rc::clone(&self.context);
        if !after_outage {
            apply_listing(&context, listing.revision.0, records);
            return;
        }
        // Entries lapse while the service is away and are written again when it is back: what is
        // there counts at once, what is missing a little later, unless it was written meanwhile.
        actix_rt::spawn(async move {
            sleep(LAPSED_ENTRIES_RETURN).await;
            let held = {
                let entries = context.dissemination.entries.borrow();
                let held = records
                    .iter()
                    .filter(|record| entries.was_removed_in_earlier_era(record));
                held.cloned().collect::<Vec<_>>()
            };
            apply_listing(&context, listing.revision.0, records);
            // Those that do not lapse are engines like any other.
            sleep(RESTORED_ENTRIES_LAPSE).await;
            merge(&context, held, ChangeSource::Listing);
        });
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        let newest = events.iter().map(|event| event.revision.0).max();
        let context = Rc::clone(&self.context);
        let events = events.into_iter();
        let records = events.map(|event| {
            let revision = event.revision.0;
            let value = event.value.as_deref();
            record(&context, event.key, value, revision, ChangeSource::Store)
        });
        let records: Vec<EntryRecord> = records.collect();
        if !is_lapse(&context, &records) {
            merge(&context, records, ChangeSource::Store);
            let mut entries = context.dissemination.entries.borrow_mut();
            entries.advance_complete_to(newest.unwrap_or_default());
            return;
        }
        // A watch that waited through an outage learns at its end which entries lapsed. By their
        // revisions, what is written again before the wait is over stands.
        let (present, gone) = records
            .into_iter()
            .partition(|record| record.value.is_some());
        merge(&context, present, ChangeSource::Store);
        let wait = LAPSED_ENTRIES_RETURN.min(context.settings.engine_drain() / 2);
        actix_rt::spawn(async move {
            sleep(wait).await;
            merge(&context, gone, ChangeSource::Store);
            let mut entries = context.dissemination.entries.borrow_mut();
            entries.advance_complete_to(newest.unwrap_or_default());
        });
    }

    fn gather(&self) -> Duration {
        let relays = self.context.dissemination.other_relays().len() as u32 + 1;
        let longest = (ENGINES_GATHERED_PER_RELAY * relays).min(ENGINES_GATHERED);
        longest.mul_f64(rand::random_range(0.0..1.0))
    }
}

//! Applies declarations from the key-value service or from a relay.

use std::rc::Rc;

use dalestand_clock::BootInstant;
use dalestand_dissemination::MAX_RELAYED_DECLARATION_BYTES;
use dalestand_edge::{Listing, WatchEvent};
use dalestand_routes::RouteTable;
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::fleet::declaration_text::DeclarationText;
use crate::fleet::follow::Follower;

/// Applies a declaration unless it is unusable or not newer than the active one.
pub(crate) fn apply(context: &Context, text: &str) {
    let read = context.store_format.read_configuration(text);
    let table = read.and_then(|file| {
        RouteTable::new(file).map_err(|faults| {
            let faults = faults.iter().map(ToString::to_string);
            faults.collect::<Vec<_>>().join("; ")
        })
    });
    let table = match table {
        Ok(table) => table,
        Err(error) => {
            log_event!(context.logger, Event::ConfigurationInvalid, "error" => error);
            return;
        }
    };
    let (revision, routes) = (table.revision().0, table.route_count());
    if context.set_table(table) {
        let text = (text.len() <= MAX_RELAYED_DECLARATION_BYTES).then(|| DeclarationText {
            revision,
            text: Rc::from(text),
        });
        context.dissemination.declaration.replace(text);
        log_event!(context.logger, Event::ConfigurationInForce,
            "revision" => revision, "routes" => routes);
    }
}

/// Applies declarations from the key-value service.
pub(crate) struct DeclarationFollower(pub(crate) Rc<Context>);

impl Follower for DeclarationFollower {
    fn confirm(&self, at: BootInstant) {
        self.0.confirm_declaration(at);
    }

    fn apply_listing(&self, listing: Listing, _after_outage: bool) {
        let key = self.0.store_format.configuration_key();
        let entries = listing.entries.iter();
        for entry in entries.filter(|entry| entry.key == key) {
            apply(&self.0, &entry.value);
        }
    }

    fn apply_events(&self, events: Vec<WatchEvent>) {
        let key = self.0.store_format.configuration_key();
        for event in events.iter().filter(|event| event.key == key) {
            if let Some(value) = &event.value {
                apply(&self.0, value);
            }
        }
    }
}

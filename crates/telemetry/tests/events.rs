//! Checks that `docs/EVENTS.md` lists exactly the events in the code.

use std::collections::BTreeSet;

use dalestand_telemetry::EVENTS;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn the_catalogue_lists_exactly_the_events_of_the_code() {
    let listed: BTreeSet<(u32, String, String)> =
        CATALOGUE.lines().filter_map(catalogue_row).collect();
    let coded: BTreeSet<(u32, String, String)> = EVENTS
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            (event.number(), level, event.message().to_owned())
        })
        .collect();
    assert_eq!(listed, coded);
}

#[test]
fn no_two_events_share_a_number() {
    let numbers: BTreeSet<u32> = EVENTS.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), EVENTS.len());
}

/// Parses a row of the form `| number | level | message | meaning |`.
fn catalogue_row(line: &str) -> Option<(u32, String, String)> {
    let mut cells = line.split('|').skip(1).map(str::trim);
    let number = cells.next()?.parse().ok()?;
    Some((number, cells.next()?.to_owned(), cells.next()?.to_owned()))
}

//! Unknown headers are reported once each, up to a maximum, and long names are truncated.

use dalestand_edge::unknown_headers::{HeaderSender, UnknownHeaders};

#[test]
fn each_name_is_reported_once() {
    let headers = UnknownHeaders::default();
    for _ in 0..3 {
        headers.record(HeaderSender::Engine, "server-extra");
        headers.record(HeaderSender::KeyValue, "server-extra");
    }
    assert_eq!(headers.take_new().len(), 2, "one per sender");
    headers.record(HeaderSender::Engine, "server-extra");
    assert!(headers.take_new().is_empty());
    assert_eq!(headers.count(HeaderSender::Engine), 4);
    assert_eq!(headers.count(HeaderSender::KeyValue), 3);
}

#[test]
fn all_names_are_counted_and_at_most_64_are_reported() {
    let headers = UnknownHeaders::default();
    for number in 0..10_000 {
        headers.record(HeaderSender::Engine, &format!("server-{number}"));
    }
    assert_eq!(headers.take_new().len(), 64);
    assert!(headers.take_new().is_empty());
    assert_eq!(headers.count(HeaderSender::Engine), 10_000);
}

#[test]
fn a_long_name_is_truncated() {
    let headers = UnknownHeaders::default();
    headers.record(
        HeaderSender::Engine,
        &format!("server-{}", "\u{e9}".repeat(8_000)),
    );
    let reported = headers.take_new();
    assert!(
        reported[0].name.chars().count() == 64,
        "{}",
        reported[0].name.len()
    );
}

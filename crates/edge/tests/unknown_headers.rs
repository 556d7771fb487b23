//! Unknown headers are told once, few of them, and cut where they are long.

use dalestand_edge::unknown_headers::{UnknownHeaders, UnknownSender};

#[test]
fn each_name_is_told_once() {
    let headers = UnknownHeaders::default();
    for _ in 0..3 {
        headers.record(UnknownSender::Engine, "server-mood");
        headers.record(UnknownSender::KeyValue, "server-mood");
    }
    assert_eq!(headers.take_new().len(), 2, "one for each sender");
    headers.record(UnknownSender::Engine, "server-mood");
    assert!(headers.take_new().is_empty());
    assert_eq!(headers.count(UnknownSender::Engine), 4);
    assert_eq!(headers.count(UnknownSender::KeyValue), 3);
}

#[test]
fn ten_thousand_names_are_counted_and_few_are_told() {
    let headers = UnknownHeaders::default();
    for number in 0..10_000 {
        headers.record(UnknownSender::Engine, &format!("server-{number}"));
    }
    assert_eq!(headers.take_new().len(), 64);
    assert!(headers.take_new().is_empty());
    assert_eq!(headers.count(UnknownSender::Engine), 10_000);
}

#[test]
fn a_long_name_is_cut() {
    let headers = UnknownHeaders::default();
    headers.record(
        UnknownSender::Engine,
        &format!("server-{}", "\u{e9}".repeat(8_000)),
    );
    let told = headers.take_new();
    assert!(told[0].name.chars().count() == 64, "{}", told[0].name.len());
}

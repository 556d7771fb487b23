//! Streams whose events carry the version of their engine's software.

use std::io::Write as _;
use std::net::TcpStream;

use super::engine::id_of;
use super::node::{TestNode, get};

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

/// The last event before engines break off a stream that they begin.
pub const LAST_BEFORE_CUT: u64 = 3;

/// Streams a test.
pub const STREAMS: usize = 24;

/// The first event that the request still lacks.
pub fn first_event(head: &str) -> u64 {
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    last.and_then(|last| last.parse().ok())
        .map_or(1, |last: u64| last + 1)
}

/// Streams events that carry the version of the engine's software. A stream that begins here breaks off.
pub fn stream(version: &str, head: &str, stream: &mut TcpStream) {
    let first = first_event(head);
    let last = if first == 1 { LAST_BEFORE_CUT } else { EVENTS };
    let events: String = (first..=last)
        .map(|event| format!("id: {event}\ndata: {version}\n\n"))
        .collect();
    let missing = if last < EVENTS { 1_000 } else { 0 };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n\r\n",
        id_of(head),
        events.len() + missing
    );
    let _ = stream.write_all(format!("{head}{events}").as_bytes());
    if last < EVENTS {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

pub fn former(head: &str, connection: &mut TcpStream) {
    stream("v1", head, connection);
}

pub fn newer(head: &str, connection: &mut TcpStream) {
    stream("v1.1", head, connection);
}

/// Versions and ids of the events in an answer.
pub fn events(answer: &str) -> Vec<(u64, String)> {
    let mut ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    let versions = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let ids = std::iter::from_fn(|| ids.next().and_then(|id| id.parse().ok()));
    ids.zip(versions.map(str::to_owned)).collect()
}

/// Whether the events are those of one version, in order and without gaps.
pub fn is_of_one_version(events: &[(u64, String)]) -> bool {
    let mut expected = 1..;
    events.iter().all(|(id, version)| {
        expected.next() == Some(*id) && events.first().is_some_and(|(_, first)| first == version)
    })
}

/// A request for a stream, or to go on with one after its last event.
pub async fn request_stream(node: &TestNode, id: &str, resumed: Option<(&str, u64)>) -> String {
    let resumed =
        resumed.map(|(attempt, last)| format!("x-resumes: {attempt}\r\nlast-event-id: {last}\r\n"));
    let headers = format!(
        "x-id: {id}\r\nhost: a.example\r\n{}",
        resumed.unwrap_or_default()
    );
    get(node.callers, &headers, "/r/x").await
}

//! The share of a node's link that messages take, and what is kept to be sent on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    EngineCode, EngineLoad, EntryRecord, News, NodeEntry, NodeNumber, PlacedPart, Placement,
    PlacementState, RoleChange,
};
use dalestand_types::MonotonicTime;
use rstest::rstest;

use super::Dissemination;
use super::bulk_queue::BulkQueue;
use super::datagram::Datagram;
use super::news_queue::NewsQueue;
use super::own_reports::OwnReports;
use super::recent_changes::{ChangeSource, RecentChanges};

use super::pacing::{LONGEST_PAUSE, MESSAGES_LINK_SHARE, pause};
use crate::node::settings::{ForwardingSettings, SettingsFault};

fn settings(link: &str) -> ForwardingSettings {
    parsed(link).expect("sound settings")
}

fn parsed(link: &str) -> Result<ForwardingSettings, Vec<SettingsFault>> {
    let text = format!(
        "node = \"n\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:1\"\n\
         ready_listen = \"127.0.0.1:2\"\npeer_listen = \"127.0.0.1:3\"\nkey_value = \"127.0.0.1:4\"\n\
         {link}[retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n[stop]\ngrace_s = 8\n\
         [roles]\nlease_ms = 3000\n"
    );
    ForwardingSettings::parse(&text)
}

/// Found on a grown site: a notice to 65 peers was some 40 KB, one went out for each change of work,
/// and links of 10 Mbit/s carried nothing else.
#[rstest]
fn messages_leave_callers_their_share_of_the_link() {
    const NOTICES_BYTES: usize = 40_000;
    let settings = settings("link_mbps = 10.0\n");
    let carried = settings.link_time(NOTICES_BYTES);
    assert_eq!(carried, Duration::from_millis(32));
    let pause = pause(&settings, NOTICES_BYTES);
    assert!(carried.as_secs_f64() / pause.as_secs_f64() <= MESSAGES_LINK_SHARE + 1e-9);
}

#[rstest]
#[case::a_link_without_bounds("", 40_000, Duration::ZERO)]
#[case::nothing_sent("link_mbps = 10.0\n", 0, Duration::ZERO)]
#[case::a_link_that_hardly_carries("link_mbps = 0.001\n", 40_000, LONGEST_PAUSE)]
fn the_pause_is_bounded(#[case] link: &str, #[case] bytes: usize, #[case] expected: Duration) {
    assert_eq!(pause(&settings(link), bytes), expected);
}

#[rstest]
fn a_link_without_speed_is_a_fault() {
    let faults = parsed("link_mbps = 0.0\n").expect_err("a fault");
    assert!(
        matches!(
            faults[..],
            [SettingsFault::OutOfBounds {
                field: "link_mbps",
                ..
            }]
        ),
        "{faults:?}"
    );
}

fn record(key: &str, revision: u64) -> EntryRecord {
    EntryRecord {
        key: key.to_owned(),
        value: Some("value".to_owned()),
        revision,
    }
}

#[rstest]
fn a_change_goes_out_several_times_and_only_readers_tell_relays() {
    let mut changes = RecentChanges::default();
    changes.push(&[record("read", 5)], ChangeSource::Store);
    changes.push(&[record("heard", 6)], ChangeSource::Relay);
    for _ in 0..3 {
        let records = changes.for_exchange().concat();
        let keys: Vec<String> = records.into_iter().map(|one| one.key).collect();
        assert_eq!(keys, ["read"]);
        assert_eq!(changes.for_table().concat().len(), 2);
    }
    assert!(changes.for_exchange().is_empty());
    assert!(changes.for_table().is_empty());
}

fn placed(parts: usize) -> News {
    let parts = (0..parts as u64).map(|id| PlacedPart { id, tokens: 500 });
    News {
        placed: vec![Placement {
            engine: EngineCode(1),
            state: PlacementState::Prefilled,
            parts: parts.collect(),
            own_tokens: 0,
        }],
        ..News::none(NodeNumber(1))
    }
}

#[rstest]
fn news_go_out_in_batches_that_fit_a_datagram() {
    let mut queue = NewsQueue::default();
    for _ in 0..10 {
        queue.push(placed(50));
    }
    let batches = queue.take_batches();
    let sizes: Vec<usize> = batches.iter().map(Vec::len).collect();
    // Each is 50 parts and the head of a placement.
    assert_eq!(sizes, [5, 5]);
    assert!(queue.take_batches().is_empty());
}

/// Found on a grown site: news of role changes alone were dropped, and nodes went on to send requests to
/// engines that changed their roles.
#[rstest]
fn news_without_placements_go_out() {
    let mut queue = NewsQueue::default();
    queue.push(News {
        role_changes: vec![RoleChange {
            engine: 1,
            at_most_ms: 14_000,
        }],
        ..News::none(NodeNumber(1))
    });
    assert_eq!(queue.take_batches().concat().len(), 1);
}

#[rstest]
fn a_node_knows_the_work_of_the_report_that_a_table_includes() {
    let load = |requests| EngineLoad {
        engine: EngineCode(1),
        requests,
        starting: 0,
        unread_tokens: 0,
    };
    let mut reports = OwnReports::default();
    let first = reports.next(vec![load(3)]);
    reports.next(vec![load(4)]);
    assert_eq!(reports.work_of(first), [load(3)]);
    assert_eq!(reports.work_of(77), []);
}

/// Found on a site of 63 nodes: a batch of 21 engines that left at once was dropped, and members went
/// on to send requests to them for 9 s.
#[rstest]
fn changes_beyond_one_message_go_with_the_next() {
    let records: Vec<EntryRecord> = (0..40).map(|key| record(&key.to_string(), 7)).collect();
    let mut changes = RecentChanges::default();
    changes.push(&records, ChangeSource::Store);
    let mut sent = std::collections::HashSet::new();
    for _ in 0..9 {
        let records = changes.for_table().concat();
        sent.extend(records.into_iter().map(|one| one.key));
    }
    assert_eq!(sent.len(), records.len());
}

/// While no relay is heard and none is known a node reads for itself, after a time; relays that send
/// their sums to a node make it one of them, for a time.
#[rstest]
fn a_node_reads_while_it_is_a_relay_or_hears_none() {
    let dissemination = Dissemination::new(&settings("link_mbps = 10.0\n"));
    let at = MonotonicTime::from_millis;
    assert!(!dissemination.role(at(1_000)).reads_store);
    assert!(dissemination.role(at(2_100)).reads_store);
    dissemination.addressed(at(5_000), ([127, 0, 0, 1], 9).into());
    assert!(dissemination.role(at(7_900)).is_relay);
    assert!(!dissemination.role(at(8_100)).is_relay);
    let entry = |link_mbps| NodeEntry {
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        link_mbps,
    };
    dissemination.change_directory(|nodes| nodes.set("n", Some(entry(10))));
    assert!(dissemination.role(at(9_000)).is_relay);
    for faster in ["a", "b", "c"] {
        dissemination.change_directory(|nodes| nodes.set(faster, Some(entry(200))));
    }
    assert!(!dissemination.role(at(9_000)).is_relay);
    assert_eq!(dissemination.node_count(), 4);
}

/// Found at 9,560 engines: all that a relay read of kept parts after a start went out as one node's news,
/// which no datagram holds.
#[rstest]
fn news_of_thousands_of_engines_go_out_in_messages_that_fit() {
    let mut queue = NewsQueue::default();
    let many = vec![placed(3).placed.remove(0); 2_000];
    queue.push(News {
        placed: many,
        ..News::none(NodeNumber(1))
    });
    let batches = queue.take_batches();
    let mut sent = 0;
    for batch in &batches {
        let message = rmp_serde::to_vec(batch).expect("a message");
        assert!(message.len() <= 8_000, "{} bytes", message.len());
        sent += batch.iter().map(|news| news.placed.len()).sum::<usize>();
    }
    assert_eq!(sent, 2_000);
    assert_eq!(queue.take_dropped(), 0);
}

#[rstest]
fn news_that_are_dropped_are_counted() {
    let mut queue = NewsQueue::default();
    for _ in 0..1_010 {
        queue.push(placed(1));
    }
    assert_eq!(queue.take_batches().concat().len(), 1_000);
    assert_eq!(queue.take_dropped(), 10);
    assert_eq!(queue.take_dropped(), 0);
}

/// The pattern of half of 9,560 engines replaced at once: all changes are told before any is told again,
/// and within a second.
#[rstest]
fn the_changes_of_half_a_fleet_are_told_within_a_second() {
    const TABLES_PER_S: usize = 40;
    let records: Vec<EntryRecord> = (0..4_300).map(|key| record(&key.to_string(), 7)).collect();
    let mut changes = RecentChanges::default();
    changes.push(&records, ChangeSource::Store);
    let mut sent = std::collections::HashSet::new();
    for _ in 0..TABLES_PER_S {
        for message in changes.for_table() {
            let bytes = rmp_serde::to_vec(&message).expect("a message").len();
            assert!(bytes <= 8_000, "{bytes} bytes");
            sent.extend(message.into_iter().map(|one| one.key));
        }
    }
    assert_eq!(sent.len(), records.len());
}

fn datagram(byte: u8) -> Rc<Datagram> {
    Rc::new(Datagram {
        kind: "entries",
        bytes: vec![byte],
    })
}

/// The pattern of a start: fifty members ask for a hundred pages each. Found at 986 nodes: all were sent at
/// once, faster than the link carries, and tables and changes were lost with them.
#[rstest]
fn long_answers_go_to_all_by_turns() {
    let queue = BulkQueue::default();
    let nodes: Vec<SocketAddr> = (1..=50).map(|port| ([127, 0, 0, 1], port).into()).collect();
    for node in &nodes {
        for page in 0..100 {
            queue.push(*node, datagram(page));
        }
    }
    assert!(queue.has(nodes[0]));
    for page in 0..100 {
        for node in &nodes {
            let (address, sent) = queue.pop().expect("a page");
            assert_eq!((address, &sent.bytes), (*node, &vec![page]));
        }
    }
    assert!(queue.pop().is_none());
    assert!(!queue.has(nodes[0]));
    assert_eq!(queue.take_dropped(), 0);
}

#[rstest]
fn a_long_answer_has_a_bound() {
    let queue = BulkQueue::default();
    let node: SocketAddr = ([127, 0, 0, 1], 1).into();
    for _ in 0..9_000 {
        queue.push(node, datagram(0));
    }
    assert_eq!(queue.take_dropped(), 9_000 - 8_192);
    let left = std::iter::from_fn(|| queue.pop()).count();
    assert_eq!(left, 8_192);
}

/// Found at 986 nodes: the key-value service turned a third of the nodes away and revoked their leases. A
/// relay among them went on as one, while the others no longer sent it their sums: its members sent a
/// request to an engine 5.5 s after that had said that it leaves.
#[rstest]
fn a_relay_that_lost_its_entry_is_still_sent_what_changes() {
    let dissemination = Dissemination::new(&settings("link_mbps = 10.0\n"));
    let at = MonotonicTime::from_millis;
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let entry = |port| NodeEntry {
        address: address(port),
        zone: "z".into(),
        link_mbps: 10,
    };
    dissemination.change_directory(|nodes| {
        nodes.set("a", Some(entry(1)));
        nodes.set("b", Some(entry(2)));
    });
    dissemination.addressed(at(1_000), address(1));
    dissemination.change_directory(|nodes| nodes.set("a", None));
    let sent_to: Vec<SocketAddr> = dissemination
        .exchange_addresses(at(1_100))
        .into_iter()
        .collect();
    assert_eq!(sent_to, [address(1), address(2)]);
    dissemination.addressed(at(3_000), address(1));
    assert_eq!(dissemination.exchange_addresses(at(5_900)).len(), 2);
    assert_eq!(
        dissemination.exchange_addresses(at(6_100)).len(),
        1,
        "it fell silent"
    );
}

//! A relay's long answers to nodes that ask for entries and declarations, on a slow link.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::time::Duration;

use dalestand_dissemination::{
    DeclarationRequest, EntriesPage, EntriesRequest, EntryTable, MESSAGE_VERSION, Message,
    NodeNumber, entries_request,
};
use support::{TestEngine, TestNode, declaration, succeeding};
use tokio::net::UdpSocket;

/// A link whose half carries a declaration to all members of [`MEMBERS`] in several seconds.
const LINK_MBPS: f64 = 4.0;

/// Members that ask for the declaration at once.
const MEMBERS: usize = 40;

/// Time for the first page of an answer: a turn of each member and a margin for a busy machine.
const FIRST_PAGE_TIME: Duration = Duration::from_millis(900);

async fn send(socket: &UdpSocket, node: &TestNode, message: Message) {
    let datagram = rmp_serde::to_vec(&(MESSAGE_VERSION, message)).expect("encoded");
    socket.send_to(&datagram, node.peers).await.expect("sent");
}

/// The next page of entries that arrives at `member` within `time`.
async fn next_page(member: &UdpSocket, time: Duration) -> Option<EntriesPage> {
    let mut buffer = vec![0; 64 << 10];
    let page = async {
        loop {
            let (length, _) = member.recv_from(&mut buffer).await.expect("a datagram");
            let message = rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]);
            if let Ok((_, Message::Entries(page))) = message {
                return page;
            }
        }
    };
    tokio::time::timeout(time, page).await.ok()
}

/// A request of a member that knows no entries.
fn request_for_all() -> EntriesRequest {
    entries_request(NodeNumber::of("member"), &EntryTable::default(), u32::MAX)
}

/// Engines whose entries a relay sends in about a second.
const ENGINES: usize = 1_500;

async fn start() -> TestNode {
    let node = TestNode::start_with_link(LINK_MBPS).await;
    node.wait_for_metric("dalestand_is_relay", 1).await;
    node
}

/// Guards against entries that were not sent to a member, and its requests ignored, while another long answer to it
/// waited for the relay's link: it did not hear of engines that drain.
#[actix_rt::test]
async fn entries_do_not_wait_for_other_long_answers() {
    let node = start().await;
    let engine = TestEngine::start(succeeding);
    node.write_entry("e0", &engine, "ready");
    let text = format!(
        "{}# {}\n",
        declaration(2, "", "repeatable", 2, 1_000, 1_000),
        "x".repeat(60_000)
    );
    node.store.write("declaration", Some(&text));
    node.wait_for_engines(1).await;
    node.wait_for_declaration(2).await;
    let mut members = Vec::new();
    for _ in 0..MEMBERS {
        let member = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let request = DeclarationRequest {
            node: NodeNumber::of("member"),
            revision: 2,
            missing: Vec::new(),
        };
        send(&member, &node, Message::DeclarationRequest(request)).await;
        members.push(member);
    }
    let member = members.last().expect("members");
    send(member, &node, Message::EntriesRequest(request_for_all())).await;
    let page = next_page(member, FIRST_PAGE_TIME).await;
    assert!(page.is_some(), "no entries within {FIRST_PAGE_TIME:?}");
}

/// Guards against pages that told a member of an engine as accepting that had drained while they were queued: if the
/// change itself was lost, the member sent it requests until a further repair.
#[actix_rt::test]
async fn pages_hold_the_entries_of_the_time_at_which_they_are_sent() {
    let node = start().await;
    let engine = TestEngine::start(succeeding);
    for index in 0..ENGINES {
        node.write_entry(&format!("e{index}"), &engine, "ready");
    }
    node.wait_for_engines(ENGINES).await;
    let member = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    send(&member, &node, Message::EntriesRequest(request_for_all())).await;
    next_page(&member, FIRST_PAGE_TIME).await.expect("a page");
    for index in 0..ENGINES {
        node.write_entry(&format!("e{index}"), &engine, "draining");
    }
    node.wait_for_engines(0).await;
    // What had been sent before.
    while next_page(&member, Duration::from_millis(1)).await.is_some() {}
    let page = next_page(&member, FIRST_PAGE_TIME).await;
    let records = page.expect("pages were still queued").records;
    let accepting = records.iter().filter(|record| {
        let value = record.value.as_deref().unwrap_or_default();
        value.contains("true")
    });
    assert_eq!(accepting.count(), 0, "{:?}", records.first());
}

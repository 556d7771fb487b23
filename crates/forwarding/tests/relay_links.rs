//! A relay with a slow link leaves members to one with a fast link.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of it"
)]
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    Exchange, LoadSlice, MESSAGE_VERSION, Message, News, NodeEntry, NodeNumber, Report,
};
use support::{MemoryStore, TestNode};
use tokio::net::UdpSocket;

/// Several times the interval between tables.
const ANSWER_TIME: Duration = Duration::from_millis(600);

async fn send(socket: &UdpSocket, address: SocketAddr, message: Message) {
    let datagram = rmp_serde::to_vec(&(MESSAGE_VERSION, message)).expect("encoded");
    socket.send_to(&datagram, address).await.expect("sent");
}

fn probe(sequence: u32) -> Message {
    let node = NodeNumber::of("member");
    Message::Report(Report {
        node,
        sequence,
        is_probe: true,
        work: Vec::new(),
        demand: Vec::new(),
        news: News::none(node),
    })
}

fn exchange() -> Message {
    Message::Exchange(Exchange {
        node: NodeNumber::of("fast"),
        age_ms: 0,
        work: LoadSlice {
            slice: 0,
            slices: 1,
            loads: Vec::new(),
        },
        demand: Vec::new(),
        news: Vec::new(),
        changes: Vec::new(),
        stopped: Vec::new(),
        holder: None,
        declaration: 0,
    })
}

/// Whether a table arrives at `member`.
async fn receives_table(member: &UdpSocket) -> bool {
    let mut buffer = vec![0; 64 << 10];
    let table = async {
        loop {
            let (length, _) = member.recv_from(&mut buffer).await.expect("a datagram");
            let message = rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]);
            if matches!(message, Ok((_, Message::Table(_)))) {
                return;
            }
        }
    };
    tokio::time::timeout(ANSWER_TIME, table).await.is_ok()
}

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
}

/// Guards against a zone whose members all followed the relay with the slowest link, because it answered first:
/// callers' requests filled that link, and the tables that said that engines drain were lost.
#[actix_rt::test]
async fn a_relay_with_a_slow_link_answers_members_only_while_no_faster_relay_is_heard() {
    let store: Rc<MemoryStore> = Rc::default();
    let fast = socket().await;
    let entry = NodeEntry {
        address: fast.local_addr().expect("an address"),
        zone: "here".into(),
        link_mbps: 200,
    };
    let text = entry.to_text().expect("a text");
    store.write("dalestand/nodes/here/fast", Some(&text));
    let node = TestNode::start_on_with(&store, "link_mbps = 10.0\n").await;
    node.wait_for_metric("dalestand_is_relay", 1).await;
    node.wait_for_metric("dalestand_nodes_known", 2).await;

    let member = socket().await;
    send(&member, node.peers, probe(1)).await;
    assert!(receives_table(&member).await, "no faster relay was heard");

    let later = socket().await;
    send(&fast, node.peers, exchange()).await;
    send(&later, node.peers, probe(2)).await;
    assert!(!receives_table(&later).await, "a faster relay was heard");

    // Longer than a relay counts as heard after its last exchange.
    actix_rt::time::sleep(ANSWER_TIME).await;
    send(&later, node.peers, probe(3)).await;
    assert!(receives_table(&later).await, "the faster relay is silent");
}

//! A relay whose messages to a node are scripted.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    EntryTable, LoadSlice, MESSAGE_VERSION, Message, NodeEntry, NodeNumber, Table, entries_pages,
};
use tokio::net::UdpSocket;

use super::node::own_host;
use super::store::MemoryStore;

/// Interval between two tables.
const TABLE_INTERVAL: Duration = Duration::from_millis(100);

/// Link speed in its entry. Nodes of the tests state none, so that they elect it.
const LINK_MBPS: u32 = 1_000;

/// What a [`ScriptedRelay`] answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayScript {
    /// Reports and requests.
    All,
    /// Requests for entries, but no reports, so that no node follows it.
    Requests,
    /// Reports, but no requests for entries.
    Reports,
    /// The same, but most tables are lost.
    RareReports,
}

/// One table in this many arrives if most are lost.
const RARE_TABLE_ONE_IN: usize = 10;

/// A relay, registered in a key-value service, that sends tables to the last node that reported to it. Its
/// tables carry no changes, as if those that did were lost.
pub struct ScriptedRelay {
    script: Rc<Cell<RelayScript>>,
    /// Its engine entries.
    pub entries: Rc<RefCell<EntryTable>>,
    /// Number of requests for entries that it received.
    pub requests: Rc<Cell<usize>>,
}

impl ScriptedRelay {
    /// Starts a relay and registers it.
    pub async fn start(store: &MemoryStore, name: &str, script: RelayScript) -> Self {
        let socket = UdpSocket::bind((own_host(), 0)).await.expect("a free port");
        let entry = NodeEntry {
            address: socket.local_addr().expect("an address"),
            zone: "here".into(),
            link_mbps: LINK_MBPS,
        };
        let text = entry.to_text().expect("a text");
        store.write(&format!("dalestand/nodes/here/{name}"), Some(&text));
        let relay = Self {
            script: Rc::new(Cell::new(script)),
            entries: Rc::default(),
            requests: Rc::default(),
        };
        actix_rt::spawn(serve(
            socket,
            NodeNumber::of(name),
            Rc::clone(&relay.script),
            Rc::clone(&relay.entries),
            Rc::clone(&relay.requests),
        ));
        relay
    }

    /// Sets what it answers.
    pub fn set_script(&self, script: RelayScript) {
        self.script.set(script);
    }
}

async fn serve(
    socket: UdpSocket,
    number: NodeNumber,
    script: Rc<Cell<RelayScript>>,
    entries: Rc<RefCell<EntryTable>>,
    requests: Rc<Cell<usize>>,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut member = None;
    let mut tables = 0;
    let mut interval = actix_rt::time::interval(TABLE_INTERVAL);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, sender)) = received else { continue };
                match rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]) {
                    Ok((_, Message::Report(_))) => member = Some(sender),
                    Ok((_, Message::EntriesRequest(request))) => {
                        requests.set(requests.get() + 1);
                        if matches!(script.get(), RelayScript::All | RelayScript::Requests) {
                            let pages = entries_pages(number, &entries.borrow(), &request, 0);
                            for page in pages {
                                send(&socket, sender, Message::Entries(page)).await;
                            }
                        }
                    }
                    _ => {}
                }
            }
            _ = interval.tick() => {
                tables += 1;
                let is_sent = match script.get() {
                    RelayScript::All | RelayScript::Reports => true,
                    RelayScript::Requests => false,
                    RelayScript::RareReports => tables % RARE_TABLE_ONE_IN == 0,
                };
                if let Some(member) = member.filter(|_| is_sent) {
                    let digest = entries.borrow().digest();
                    send(&socket, member, Message::Table(table(number, digest))).await;
                }
            }
        }
    }
}

fn table(node: NodeNumber, entries_digest: u64) -> Table {
    Table {
        node,
        node_count: 4,
        age_ms: 0,
        work: LoadSlice {
            slice: 0,
            slices: 1,
            loads: Vec::new(),
        },
        included: Vec::new(),
        news: Vec::new(),
        changes: Vec::new(),
        entries_digest,
        stopped: Vec::new(),
        relays: Vec::new(),
        holder: None,
        declaration: 0,
    }
}

async fn send(socket: &UdpSocket, address: SocketAddr, message: Message) {
    let datagram = rmp_serde::to_vec(&(MESSAGE_VERSION, message)).expect("encoded");
    socket.send_to(&datagram, address).await.expect("sent");
}

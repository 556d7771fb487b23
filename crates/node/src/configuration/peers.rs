//! Passes the configuration on between nodes: serves what this node holds and fetches what a peer
//! offers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_gateway::Shared;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedReceiver;

use super::ConfigurationRecord;
use super::exchange::{Answer, ExchangeError, MAX_PARTS_ASKED, Manifest, Question, receive, send};
use super::parts::{PartName, PartedText};
use super::store::ConfigurationStore;
use crate::cluster_driver::PeerLink;

/// Peers served at once; more wait in the listener's queue.
const MAX_SERVED_AT_ONCE: usize = 16;

/// Time limit of one connection.
const CONNECTION_LIMIT: Duration = Duration::from_secs(10);

/// Time limit of opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A peer that has a configuration newer than this node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Offer {
    /// The revision.
    pub(crate) revision: Revision,
    /// The peer.
    pub(crate) from: SocketAddr,
}

/// A configuration could not be fetched from a peer.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The peer cannot be reached.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer took too long.
    #[error("the peer took too long")]
    TooSlow,
    /// The peer's answer does not fit the question, or a part is not what its name says.
    #[error("the peer's answer does not fit the question")]
    WrongAnswer,
    /// The peer holds another configuration by now.
    #[error("the peer has moved on")]
    MovedOn,
}

/// Serves peers until dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    link: Rc<PeerLink>,
    store: Rc<ConfigurationStore>,
) {
    let permits = Arc::new(Semaphore::new(MAX_SERVED_AT_ONCE));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        // A connection that failed before it was accepted is the peer's matter.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let link = Rc::clone(&link);
        let store = Rc::clone(&store);
        actix_rt::spawn(async move {
            let served = serve_peer(stream, &link, &store);
            // The peer sees the connection end and asks elsewhere.
            let _ = actix_rt::time::timeout(CONNECTION_LIMIT, served).await;
            drop(permit);
        });
    }
}

async fn serve_peer(
    mut stream: TcpStream,
    link: &PeerLink,
    store: &ConfigurationStore,
) -> Result<(), ExchangeError> {
    loop {
        let answer = match receive(&mut stream, &link.seal).await? {
            Question::Manifest { newer_than } => Answer::Manifest(store.manifest(newer_than)),
            Question::Parts { names } => {
                let names = names.iter().take(MAX_PARTS_ASKED);
                Answer::Parts(names.map(|name| store.part(name)).collect())
            }
        };
        send(&mut stream, &link.seal, &answer).await?;
    }
}

/// Fetches what peers offer, until dropped.
pub(crate) async fn follow(
    shared: Arc<Shared>,
    link: Rc<PeerLink>,
    store: Rc<ConfigurationStore>,
    mut offers: UnboundedReceiver<Offer>,
) {
    while let Some(offer) = offers.recv().await {
        if offer.revision <= store.revision() {
            continue;
        }
        let fetched = actix_rt::time::timeout(CONNECTION_LIMIT, fetch(&link, &store, offer.from));
        match fetched.await.unwrap_or(Err(FetchError::TooSlow)) {
            Ok((revision, record)) => store.take(revision, record),
            // Whoever offers it next is asked next.
            Err(error) => {
                log_event!(shared.logger, Event::ConfigurationNotFetched,
                    "peer" => %offer.from, "error" => %error);
            }
        }
    }
}

async fn fetch(
    link: &PeerLink,
    store: &ConfigurationStore,
    from: SocketAddr,
) -> Result<(Revision, ConfigurationRecord), FetchError> {
    if !link.passes(from) {
        return Err(FetchError::Unreachable);
    }
    let connecting = actix_rt::time::timeout(CONNECT_LIMIT, TcpStream::connect(from));
    let connected = connecting.await.map_err(|_| FetchError::Unreachable)?;
    let mut stream = connected.map_err(ExchangeError::from)?;
    let newer_than = store.revision();
    let question = Question::Manifest { newer_than };
    let Answer::Manifest(manifest) = ask(&mut stream, link, &question).await? else {
        return Err(FetchError::WrongAnswer);
    };
    let manifest = manifest.ok_or(FetchError::MovedOn)?;
    let parts = fetch_parts(&mut stream, link, store, &manifest).await?;
    let text = PartedText {
        names: manifest.names,
        parts,
    };
    let record = ConfigurationRecord {
        writer: manifest.writer,
        author: manifest.author,
        text: text.text().ok_or(FetchError::WrongAnswer)?,
    };
    Ok((manifest.revision, record))
}

/// Gathers the parts: those this node has, and the others from the peer.
async fn fetch_parts(
    stream: &mut TcpStream,
    link: &PeerLink,
    store: &ConfigurationStore,
    manifest: &Manifest,
) -> Result<HashMap<PartName, Bytes>, FetchError> {
    let mut parts = HashMap::new();
    let mut missing = Vec::new();
    for name in &manifest.names {
        match store.part(name) {
            Some(part) => drop(parts.insert(*name, part)),
            None => missing.push(*name),
        }
    }
    for names in missing.chunks(MAX_PARTS_ASKED) {
        let question = Question::Parts {
            names: names.to_vec(),
        };
        let Answer::Parts(answered) = ask(stream, link, &question).await? else {
            return Err(FetchError::WrongAnswer);
        };
        for (name, part) in names.iter().zip(answered) {
            let part = part.ok_or(FetchError::MovedOn)?;
            if PartName::of(&part) != *name {
                return Err(FetchError::WrongAnswer);
            }
            parts.insert(*name, part);
        }
    }
    Ok(parts)
}

async fn ask(
    stream: &mut TcpStream,
    link: &PeerLink,
    question: &Question,
) -> Result<Answer, ExchangeError> {
    send(stream, &link.seal, question).await?;
    receive(stream, &link.seal).await
}

//! Fetches the configuration that a peer offers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_gateway::SharedState;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use tokio::sync::mpsc::UnboundedReceiver;

use super::ConfigurationRecord;
use super::exchange::{Answer, MAX_PARTS_ASKED, Manifest, Question};
use super::parts::{PartName, PartedText};
use super::store::ConfigurationStore;
use crate::cluster_driver::PeerLink;
use crate::peer_calls::{PeerCallError, PeerClient, PeerRequest, PeerResponse};

/// Time limit of one fetch.
const FETCH_LIMIT: Duration = Duration::from_secs(10);

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
    /// The call failed.
    #[error(transparent)]
    Call(#[from] PeerCallError),
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

/// Fetches what peers offer, until dropped.
pub(crate) async fn follow(
    shared: Arc<SharedState>,
    link: Rc<PeerLink>,
    peers: PeerClient,
    store: Rc<ConfigurationStore>,
    mut offers: UnboundedReceiver<Offer>,
) {
    while let Some(offer) = offers.recv().await {
        if offer.revision <= store.revision() {
            continue;
        }
        let fetched =
            actix_rt::time::timeout(FETCH_LIMIT, fetch(&link, &peers, &store, offer.from));
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
    peers: &PeerClient,
    store: &ConfigurationStore,
    from: SocketAddr,
) -> Result<(Revision, ConfigurationRecord), FetchError> {
    if !link.passes(from) {
        return Err(FetchError::Unreachable);
    }
    let newer_than = store.revision();
    let question = Question::Manifest { newer_than };
    let Answer::Manifest(manifest) = ask(peers, from, question).await? else {
        return Err(FetchError::WrongAnswer);
    };
    let manifest = manifest.ok_or(FetchError::MovedOn)?;
    let parts = fetch_parts(peers, from, store, &manifest).await?;
    let text = PartedText {
        names: manifest.names,
        parts,
    };
    let record = ConfigurationRecord {
        writer: manifest.writer,
        author: manifest.author,
        unix_ms: manifest.unix_ms,
        former: manifest.former,
        text: text.text().ok_or(FetchError::WrongAnswer)?,
    };
    Ok((manifest.revision, record))
}

/// Gathers the parts: those this node has, and the others from the peer.
async fn fetch_parts(
    peers: &PeerClient,
    from: SocketAddr,
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
        let Answer::Parts(answered) = ask(peers, from, question).await? else {
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
    peers: &PeerClient,
    from: SocketAddr,
    question: Question,
) -> Result<Answer, FetchError> {
    match peers
        .call(from, &PeerRequest::Configuration(question))
        .await?
    {
        PeerResponse::Configuration(answer) => Ok(answer),
        _ => Err(FetchError::WrongAnswer),
    }
}

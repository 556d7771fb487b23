//! Fetches configurations that peers announce.

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
use super::exchange::{ConfigurationQuery, ConfigurationReply, MAX_PARTS_PER_QUERY, Manifest};
use super::parts::{PartName, SplitText};
use super::store::ConfigurationStore;
use crate::cluster_driver::PeerLink;
use crate::peer_calls::{PeerCallError, PeerClient, PeerRequest, PeerResponse};

const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A peer's announcement of a configuration that was newer than this node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConfigurationAnnouncement {
    pub(crate) revision: Revision,
    pub(crate) from: SocketAddr,
}

/// Why a configuration could not be fetched from a peer.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Call(#[from] PeerCallError),
    /// An injected fault blocks the link to the peer.
    #[error("the peer cannot be reached")]
    LinkDown,
    /// The fetch took longer than [`FETCH_TIMEOUT`].
    #[error("the fetch timed out")]
    Timeout,
    /// The reply does not match the query, or the content of a part does not match its name.
    #[error("the reply of the peer does not match the query")]
    InvalidReply,
    #[error("the peer has another configuration by now")]
    Superseded,
}

/// Fetches and applies announced configurations until dropped.
pub(crate) async fn fetch_announced(
    shared: Arc<SharedState>,
    link: Rc<PeerLink>,
    peers: PeerClient,
    store: Rc<ConfigurationStore>,
    mut announcements: UnboundedReceiver<ConfigurationAnnouncement>,
) {
    while let Some(announcement) = announcements.recv().await {
        if announcement.revision <= store.revision() {
            continue;
        }
        let fetched = actix_rt::time::timeout(
            FETCH_TIMEOUT,
            fetch(&link, &peers, &store, announcement.from),
        );
        match fetched.await.unwrap_or(Err(FetchError::Timeout)) {
            Ok((revision, record)) => store.apply(revision, record),
            // Retried when another peer announces it.
            Err(error) => {
                log_event!(shared.logger, Event::ConfigurationNotFetched,
                    "peer" => %announcement.from, "error" => %error);
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
        return Err(FetchError::LinkDown);
    }
    let newer_than = store.revision();
    let query = ConfigurationQuery::Manifest { newer_than };
    let ConfigurationReply::Manifest(manifest) = query_peer(peers, from, query).await? else {
        return Err(FetchError::InvalidReply);
    };
    let manifest = manifest.ok_or(FetchError::Superseded)?;
    let parts = fetch_parts(peers, from, store, &manifest).await?;
    let text = SplitText {
        names: manifest.names,
        parts,
    };
    let record = ConfigurationRecord {
        writer: manifest.writer,
        author: manifest.author,
        unix_ms: manifest.unix_ms,
        former: manifest.former,
        text: text.text().ok_or(FetchError::InvalidReply)?,
    };
    Ok((manifest.revision, record))
}

/// Collects the parts of a manifest; those that this node lacks are fetched from the peer.
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
    for names in missing.chunks(MAX_PARTS_PER_QUERY) {
        let query = ConfigurationQuery::Parts {
            names: names.to_vec(),
        };
        let ConfigurationReply::Parts(answered) = query_peer(peers, from, query).await? else {
            return Err(FetchError::InvalidReply);
        };
        for (name, part) in names.iter().zip(answered) {
            let part = part.ok_or(FetchError::Superseded)?;
            if PartName::of(&part) != *name {
                return Err(FetchError::InvalidReply);
            }
            parts.insert(*name, part);
        }
    }
    Ok(parts)
}

async fn query_peer(
    peers: &PeerClient,
    from: SocketAddr,
    query: ConfigurationQuery,
) -> Result<ConfigurationReply, FetchError> {
    match peers.call(from, &PeerRequest::Configuration(query)).await? {
        PeerResponse::Configuration(answer) => Ok(answer),
        _ => Err(FetchError::InvalidReply),
    }
}

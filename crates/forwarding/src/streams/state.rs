//! What one node knows of the origins of streams.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use std::rc::Rc;

use dalestand_dissemination::OriginAnswer;
use dalestand_stream_origins::{OriginTable, StreamKey};
use dalestand_types::{PoolName, Revision};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::streams::stored_versions::VersionsByPool;

/// Lookups at one time; a caller beyond them is told to come again.
pub(super) const MAX_LOOKUPS: usize = 256;

/// Why the origins of a pool's streams are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SharingReason {
    /// Which versions served is not known.
    UnknownVersions,
    /// Several versions served. The streams that this node had begun before were shared as well.
    SeveralVersions,
    /// The key-value service does not answer, so that it can't be asked for the versions. Earlier streams were shared too.
    NoService,
}

/// Origins of streams at one node.
pub(crate) struct StreamState {
    /// Origins of streams that this node began.
    pub(super) own: RefCell<OriginTable>,
    /// Origins that other nodes sent to this one.
    pub(super) held: RefCell<OriginTable>,
    /// Pools whose origins are shared.
    pub(super) shared_pools: RefCell<HashMap<PoolName, SharingReason>>,
    /// Own streams whose origins are still to be sent.
    pub(super) outgoing: RefCell<VecDeque<StreamKey>>,
    /// Notified when [`Self::outgoing`] gets an entry.
    pub(super) queued: Notify,
    /// Lookups that wait for answers, by number.
    pub(super) lookups: RefCell<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, OriginAnswer)>>>,
    pub(super) last_lookup: Cell<u64>,
    /// Revisions of the stored versions of each pool.
    pub(super) stored: RefCell<BTreeMap<PoolName, Revision>>,
    /// The newest era of the key-value service that this node knows of.
    era: Cell<u64>,
    /// Notified when the version of a listed engine is to be stored.
    pub(crate) unstored: Notify,
    /// Lookups that wait for a read of the stored versions.
    pub(super) readers: RefCell<Vec<oneshot::Sender<Rc<VersionsByPool>>>>,
    /// Notified when [`Self::readers`] gets an entry.
    pub(super) read_requested: Notify,
}

impl Default for StreamState {
    fn default() -> Self {
        Self {
            own: RefCell::default(),
            held: RefCell::default(),
            shared_pools: RefCell::default(),
            outgoing: RefCell::default(),
            queued: Notify::new(),
            lookups: RefCell::default(),
            // A random start, so that answers to lookups from before a restart are not mistaken for new ones.
            last_lookup: Cell::new(rand::random::<u32>().into()),
            stored: RefCell::default(),
            era: Cell::default(),
            unstored: Notify::new(),
            readers: RefCell::default(),
            read_requested: Notify::new(),
        }
    }
}

impl StreamState {
    /// The newest era of the key-value service that this node knows of.
    pub(super) fn era(&self) -> u64 {
        self.era.get()
    }

    /// Records that the key-value service has told of this era.
    pub(super) fn observe_era(&self, era: u64) {
        self.era.set(self.era.get().max(era));
    }

    /// Forgets what is stored: the key-value service has been restored from a backup, in this era.
    pub(crate) fn begin_store_era(&self, era: u64) {
        self.observe_era(era);
        self.stored.borrow_mut().clear();
    }

    /// Number of streams whose origins this node has, of its own and of others.
    pub(crate) fn recorded(&self) -> (usize, usize) {
        (self.own.borrow().len(), self.held.borrow().len())
    }

    /// Number of pools whose origins are shared.
    pub(crate) fn shared_pool_count(&self) -> usize {
        self.shared_pools.borrow().len()
    }
}

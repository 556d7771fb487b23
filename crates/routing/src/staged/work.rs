//! Work at each engine: this node's own, and its peers' as they last told.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::EngineKey;

/// What a peer told counts for this long; a peer that lives tells again before.
const PEER_WORK_COUNTS: Duration = Duration::from_millis(1_500);

/// Work at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineWork {
    /// Requests sent and not over.
    pub requests: u32,
    /// Those of them whose answer has not begun.
    pub starting: u32,
    /// Prompt tokens sent and not yet read.
    pub unread_tokens: u64,
}

/// What a peer told of its work at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerWork {
    /// The engine.
    pub engine: EngineKey,
    /// The peer's own work there.
    pub work: EngineWork,
}

/// Work of this node and its peers.
#[derive(Clone, Debug, Default)]
pub struct WorkTable {
    own: HashMap<EngineKey, EngineWork>,
    peers: HashMap<u64, HashMap<EngineKey, (EngineWork, MonotonicTime)>>,
}

impl WorkTable {
    /// Notes a request sent.
    pub fn sent(&mut self, engine: EngineKey, unread_tokens: u32) {
        let work = self.own.entry(engine).or_default();
        work.requests += 1;
        work.starting += 1;
        work.unread_tokens += u64::from(unread_tokens);
    }

    /// Notes that the prompt of a request was read.
    pub fn read(&mut self, engine: EngineKey, tokens: u32) {
        if let Some(work) = self.own.get_mut(&engine) {
            work.unread_tokens = work.unread_tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Notes that the answer to a request has begun, or never will.
    pub fn begun(&mut self, engine: EngineKey) {
        if let Some(work) = self.own.get_mut(&engine) {
            work.starting = work.starting.saturating_sub(1);
        }
    }

    /// Notes that a request is over.
    pub fn ended(&mut self, engine: EngineKey) {
        let Some(work) = self.own.get_mut(&engine) else {
            return;
        };
        work.requests = work.requests.saturating_sub(1);
        if work.requests == 0 {
            self.own.remove(&engine);
        }
    }

    /// This node's work at an engine.
    pub fn own(&self, engine: EngineKey) -> EngineWork {
        self.own.get(&engine).copied().unwrap_or_default()
    }

    /// This node's work at all engines.
    pub fn own_work(&self) -> impl Iterator<Item = (EngineKey, EngineWork)> {
        self.own.iter().map(|(engine, work)| (*engine, *work))
    }

    /// Notes what a peer told.
    pub fn peer_told(&mut self, now: MonotonicTime, peer: u64, told: PeerWork) {
        let engines = self.peers.entry(peer).or_default();
        engines.insert(told.engine, (told.work, now));
    }

    /// All work known at an engine.
    pub fn total(&self, now: MonotonicTime, engine: EngineKey) -> EngineWork {
        let mut total = self.own(engine);
        for engines in self.peers.values() {
            let Some((work, told_at)) = engines.get(&engine) else {
                continue;
            };
            if now.since(*told_at) < PEER_WORK_COUNTS {
                total.requests += work.requests;
                total.starting += work.starting;
                total.unread_tokens += work.unread_tokens;
            }
        }
        total
    }

    /// Forgets what peers told too long ago.
    pub fn sweep(&mut self, now: MonotonicTime) {
        for engines in self.peers.values_mut() {
            engines.retain(|_, (_, told_at)| now.since(*told_at) < PEER_WORK_COUNTS);
        }
        self.peers.retain(|_, engines| !engines.is_empty());
    }
}

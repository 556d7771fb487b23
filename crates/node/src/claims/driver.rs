//! Runs the shards that this node leads, and sends claims on other shards to their leaders.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_claims::{
    Action, Claim, ClaimHash, ClaimState, Reply, Shard, ShardId, Ticket, shard_leader,
};
use dalestand_cluster::Cluster;
use dalestand_gateway::{ClaimEnd, ClaimOutcome, ClaimRequest, KeptAnswer, SharedState};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{NodeId, RequestId, RunState};
use tokio::sync::oneshot;

use super::claim_store::ClaimStore;
use super::kept_answers::{KeptAnswers, Owners};
use crate::peer_calls::{ClaimAnswer, PeerCallError, PeerClient, PeerRequest, PeerResponse};

/// Retry delay for a claim on a key whose request is still running.
const IN_PROGRESS_RETRY: Duration = Duration::from_millis(1_000);

/// Retry delay for a claim that could not be made.
const REFUSED_RETRY: Duration = Duration::from_millis(1_000);

/// Shortest sleep of a shard task until its next tick.
const MIN_SLEEP: Duration = Duration::from_millis(5);

/// Makes the claims of this node, and serves those of other nodes on the shards that it leads.
pub(crate) struct ClaimsDriver {
    shared: Arc<SharedState>,
    cluster: Rc<RefCell<Cluster>>,
    store: ClaimStore,
    peers: PeerClient,
    shards: RefCell<BTreeMap<ShardId, Shard>>,
    /// Shards with a running task.
    running_tasks: RefCell<BTreeSet<ShardId>>,
    pending_replies: RefCell<HashMap<Ticket, oneshot::Sender<Reply>>>,
    next_ticket: Cell<u64>,
    owners: RefCell<Owners>,
    answers: RefCell<KeptAnswers>,
}

impl ClaimsDriver {
    /// A driver without any shard state.
    pub(crate) fn new(
        shared: Arc<SharedState>,
        cluster: Rc<RefCell<Cluster>>,
        store: ClaimStore,
        peers: PeerClient,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            cluster,
            store,
            peers,
            shards: RefCell::default(),
            running_tasks: RefCell::default(),
            pending_replies: RefCell::default(),
            next_ticket: Cell::new(0),
            owners: RefCell::default(),
            answers: RefCell::default(),
        })
    }

    /// Claims a key for a request on this node, through the leader of the key's shard.
    pub(crate) async fn claim(self: &Rc<Self>, request: &ClaimRequest) -> ClaimOutcome {
        let claim = claim_of(request);
        let node = self.shared.node.clone();
        let answer = match self.remote_leader(claim.key.shard()) {
            None => self.claim_locally(claim, node).await,
            Some(address) => {
                let call = PeerRequest::Claim {
                    claim,
                    node: node.clone(),
                };
                match self.peers.call(address, &call).await {
                    Ok(PeerResponse::Claim(answer)) => answer,
                    Err(PeerCallError::NotSent) => self.claim_locally(claim, node).await,
                    Ok(_) | Err(PeerCallError::InDoubt) => {
                        // The claim may have been granted. Its request does not run, so the key is
                        // freed.
                        self.record_end_locally(claim, ClaimState::NotRun);
                        refused_answer()
                    }
                }
            }
        };
        self.outcome(answer).await
    }

    /// Records the end of a request on this node.
    pub(crate) async fn finish(self: &Rc<Self>, request: &ClaimRequest, end: ClaimEnd) {
        let claim = claim_of(request);
        if let Some(answer) = end.answer {
            self.answers.borrow_mut().keep(claim.request, answer);
        }
        let state = match end.run_state {
            RunState::NotRun => ClaimState::NotRun,
            RunState::Complete => ClaimState::Complete,
            _ => ClaimState::Unknown,
        };
        if let Some(address) = self.remote_leader(claim.key.shard()) {
            let call = PeerRequest::EndClaim { claim, state };
            if self.peers.call(address, &call).await.is_ok() {
                return;
            }
        }
        // Recording an end a second time has no effect.
        self.record_end_locally(claim, state);
    }

    /// The kept answer to a request that this node served.
    pub(crate) fn kept_answer(&self, request: RequestId) -> Option<KeptAnswer> {
        self.answers.borrow().get(request)
    }

    /// Claims a key through this node's own state of its shard, whichever node is the leader.
    pub(crate) async fn claim_locally(self: &Rc<Self>, claim: Claim, node: NodeId) -> ClaimAnswer {
        let shard = claim.key.shard();
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, reply) = oneshot::channel();
        self.pending_replies.borrow_mut().insert(ticket, sender);
        let now = self.shared.clock.now();
        self.with_shard(shard, |shard| shard.claim(now, ticket, claim));
        self.ensure_task(shard);
        let Ok(reply) = reply.await else {
            return refused_answer();
        };
        let holder = match &reply {
            Reply::Granted => {
                self.owners.borrow_mut().put(claim.request, node);
                claim.request
            }
            Reply::Held { request, .. } => *request,
            Reply::KeyReused | Reply::Refused { .. } => claim.request,
        };
        let owner = self.owners.borrow().get(holder);
        ClaimAnswer { reply, owner }
    }

    /// Records the end of a request in this node's own state of its shard, whichever node is the
    /// leader.
    pub(crate) fn record_end_locally(self: &Rc<Self>, claim: Claim, state: ClaimState) {
        let shard = claim.key.shard();
        let now = self.shared.clock.now();
        self.with_shard(shard, |shard| shard.record_end(now, claim, state));
        self.ensure_task(shard);
    }

    /// Address of a shard's leader; `None` if that is this node.
    fn remote_leader(&self, shard: ShardId) -> Option<SocketAddr> {
        let cluster = self.cluster.borrow();
        let me = &self.shared.node;
        let live = cluster.members().map(|member| &member.node);
        let leader = shard_leader(shard, live.chain([me]))?;
        cluster.member(leader).map(|member| member.address)
    }

    async fn outcome(&self, answer: ClaimAnswer) -> ClaimOutcome {
        match answer.reply {
            Reply::Granted => ClaimOutcome::Granted,
            Reply::KeyReused => ClaimOutcome::KeyReused,
            Reply::Refused { retry_after } => ClaimOutcome::Refused {
                reason: "the key cannot be claimed now".to_owned(),
                retry_after,
            },
            Reply::Held {
                state: ClaimState::Running | ClaimState::NotRun,
                ..
            } => ClaimOutcome::InProgress {
                retry_after: IN_PROGRESS_RETRY,
            },
            Reply::Held { request, state } => {
                let complete = state == ClaimState::Complete;
                let kept = self.find_answer(request, answer.owner.as_ref());
                ClaimOutcome::Duplicate {
                    first: request,
                    run_state: if complete {
                        RunState::Complete
                    } else {
                        RunState::Unknown
                    },
                    answer: if complete { kept.await } else { None },
                }
            }
        }
    }

    async fn find_answer(&self, request: RequestId, owner: Option<&NodeId>) -> Option<KeptAnswer> {
        if let Some(answer) = self.kept_answer(request) {
            return Some(answer);
        }
        let address = self.cluster.borrow().member(owner?)?.address;
        let call = PeerRequest::KeptAnswer { request };
        match self.peers.call(address, &call).await {
            Ok(PeerResponse::KeptAnswer(answer)) => answer,
            _ => None,
        }
    }

    fn with_shard<T>(&self, shard: ShardId, change: impl FnOnce(&mut Shard) -> T) -> T {
        let mut shards = self.shards.borrow_mut();
        let shard = shards.entry(shard).or_default();
        let result = change(shard);
        let replies = shard.take_replies();
        drop(shards);
        let mut pending_replies = self.pending_replies.borrow_mut();
        for (ticket, reply) in replies {
            if let Some(sender) = pending_replies.remove(&ticket) {
                // The receiver is gone if the caller has given up.
                let _ = sender.send(reply);
            }
        }
        result
    }

    /// Spawns a task for the shard unless one is running.
    fn ensure_task(self: &Rc<Self>, shard: ShardId) {
        if self.running_tasks.borrow_mut().insert(shard) {
            let driver = Rc::clone(self);
            actix_rt::spawn(async move { driver.run_shard(shard).await });
        }
    }

    async fn run_shard(self: Rc<Self>, shard: ShardId) {
        loop {
            let now = self.shared.clock.now();
            if let Some(action) = self.with_shard(shard, |shard| shard.tick(now)) {
                self.run_action(shard, action).await;
                continue;
            }
            match self.with_shard(shard, |shard| shard.wake_at()) {
                Some(at) => actix_rt::time::sleep(at.since(now).max(MIN_SLEEP)).await,
                None => {
                    self.running_tasks.borrow_mut().remove(&shard);
                    return;
                }
            }
        }
    }

    async fn run_action(&self, shard: ShardId, action: Action) {
        match action {
            Action::Load => {
                self.shared.metrics.key_value_calls.inc_by(2);
                let loaded = self.store.load(shard).await;
                let now = self.shared.clock.now();
                match loaded {
                    Ok(loaded) => self.with_shard(shard, |shard| shard.load_succeeded(now, loaded)),
                    Err(error) => {
                        log_event!(self.shared.logger, Event::KeyValueFailed,
                            "shard" => %shard, "error" => format!("{error:?}"));
                        self.with_shard(shard, |shard| shard.load_failed(now));
                    }
                }
            }
            Action::Seal { name, entries } => {
                self.shared.metrics.key_value_calls.inc();
                let sealed = self.store.seal(shard, name, &entries).await;
                let now = self.shared.clock.now();
                self.with_shard(shard, |shard| match sealed {
                    Ok(()) => shard.segment_sealed(),
                    Err(failure) => shard.write_failed(now, failure),
                });
            }
            Action::Write { expected, entries } => {
                self.shared.metrics.key_value_calls.inc();
                let written = self.store.write(shard, expected, &entries).await;
                let now = self.shared.clock.now();
                self.with_shard(shard, |shard| match written {
                    Ok(revision) => shard.write_succeeded(now, revision),
                    Err(failure) => shard.write_failed(now, failure),
                });
            }
        }
    }
}

fn claim_of(request: &ClaimRequest) -> Claim {
    let [first, second, third, fourth, ..] = request.fingerprint.0;
    Claim {
        key: ClaimHash::of(request.key.tenant.as_ref(), &request.key.key),
        request: request.request,
        fingerprint: u32::from_le_bytes([first, second, third, fourth]),
    }
}

fn refused_answer() -> ClaimAnswer {
    ClaimAnswer {
        reply: Reply::Refused {
            retry_after: REFUSED_RETRY,
        },
        owner: None,
    }
}

//! Drives the shards this node leads, and takes other claims to their leaders.

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
use dalestand_gateway::{ClaimEnd, ClaimOutcome, ClaimRequest, KeptAnswer, Shared};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{NodeId, RequestId, RunState};
use tokio::sync::oneshot;

use super::answers::{KeptAnswers, Owners};
use super::record::ClaimStore;
use crate::peer_calls::{ClaimAnswer, PeerCallError, PeerClient, PeerRequest, PeerResponse};

/// When a caller whose key is in progress may come back.
const IN_PROGRESS_RETRY: Duration = Duration::from_millis(1_000);

/// When a claim that was refused may come back.
const REFUSED_RETRY: Duration = Duration::from_millis(1_000);

/// Shortest sleep of a shard that waits for its time.
const MIN_SLEEP: Duration = Duration::from_millis(5);

/// The claims of one node.
pub(crate) struct ClaimsDriver {
    shared: Arc<Shared>,
    cluster: Rc<RefCell<Cluster>>,
    store: ClaimStore,
    peers: PeerClient,
    shards: RefCell<BTreeMap<ShardId, Shard>>,
    /// Shards with a task that drives them.
    driven: RefCell<BTreeSet<ShardId>>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Reply>>>,
    next_ticket: Cell<u64>,
    owners: RefCell<Owners>,
    answers: RefCell<KeptAnswers>,
}

impl ClaimsDriver {
    /// A driver that leads nothing yet.
    pub(crate) fn new(
        shared: Arc<Shared>,
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
            driven: RefCell::default(),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            owners: RefCell::default(),
            answers: RefCell::default(),
        })
    }

    /// Claims a key for a request of this node.
    pub(crate) async fn claim(self: &Rc<Self>, request: &ClaimRequest) -> ClaimOutcome {
        let claim = claim_of(request);
        let node = self.shared.node.clone();
        let answer = match self.leader(claim.key.shard()) {
            None => self.lead(claim, node).await,
            Some(address) => {
                let call = PeerRequest::Claim {
                    claim,
                    node: node.clone(),
                };
                match self.peers.call(address, &call).await {
                    Ok(PeerResponse::Claim(answer)) => answer,
                    Err(PeerCallError::NotSent) => self.lead(claim, node).await,
                    Ok(_) | Err(PeerCallError::InDoubt) => {
                        // The claim may stand; its request does not run.
                        self.lead_end(claim, ClaimState::NotRun);
                        no_leader()
                    }
                }
            }
        };
        self.outcome(answer).await
    }

    /// Takes the end of a request of this node.
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
        if let Some(address) = self.leader(claim.key.shard()) {
            let call = PeerRequest::EndClaim { claim, state };
            if self.peers.call(address, &call).await.is_ok() {
                return;
            }
        }
        // Told twice, an end changes nothing the second time.
        self.lead_end(claim, state);
    }

    /// The answer kept of a request that this node served.
    pub(crate) fn kept_answer(&self, request: RequestId) -> Option<KeptAnswer> {
        self.answers.borrow().get(request)
    }

    /// Claims a key at this node, whichever node leads its shard.
    pub(crate) async fn lead(self: &Rc<Self>, claim: Claim, node: NodeId) -> ClaimAnswer {
        let shard = claim.key.shard();
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let now = self.shared.clock.now();
        self.with_shard(shard, |one| one.claim(now, ticket, claim));
        self.drive(shard);
        let Ok(reply) = reply.await else {
            return no_leader();
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

    /// Takes the end of a request at this node, whichever node leads its shard.
    pub(crate) fn lead_end(self: &Rc<Self>, claim: Claim, state: ClaimState) {
        let shard = claim.key.shard();
        let now = self.shared.clock.now();
        self.with_shard(shard, |one| one.record_end(now, claim, state));
        self.drive(shard);
    }

    /// The address of a shard's leader; `None` if that is this node.
    fn leader(&self, shard: ShardId) -> Option<SocketAddr> {
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
                let kept = self.answer_of(request, answer.owner.as_ref());
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

    async fn answer_of(&self, request: RequestId, owner: Option<&NodeId>) -> Option<KeptAnswer> {
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
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, reply) in replies {
            if let Some(sender) = waiting.remove(&ticket) {
                // Whoever waited may have given up.
                let _ = sender.send(reply);
            }
        }
        result
    }

    /// Makes sure that a task drives the shard.
    fn drive(self: &Rc<Self>, shard: ShardId) {
        if self.driven.borrow_mut().insert(shard) {
            let driver = Rc::clone(self);
            actix_rt::spawn(async move { driver.run_shard(shard).await });
        }
    }

    async fn run_shard(self: Rc<Self>, shard: ShardId) {
        loop {
            let now = self.shared.clock.now();
            if let Some(action) = self.with_shard(shard, |one| one.tick(now)) {
                self.carry_out(shard, action).await;
                continue;
            }
            match self.with_shard(shard, |one| one.wake_at()) {
                Some(at) => actix_rt::time::sleep(at.since(now).max(MIN_SLEEP)).await,
                None => {
                    self.driven.borrow_mut().remove(&shard);
                    return;
                }
            }
        }
    }

    async fn carry_out(&self, shard: ShardId, action: Action) {
        match action {
            Action::Load => {
                self.shared.metrics.key_value_calls.inc_by(2);
                let loaded = self.store.load(shard).await;
                let now = self.shared.clock.now();
                match loaded {
                    Ok(loaded) => self.with_shard(shard, |one| one.load_succeeded(now, loaded)),
                    Err(error) => {
                        log_event!(self.shared.logger, Event::KeyValueFailed,
                            "shard" => %shard, "error" => format!("{error:?}"));
                        self.with_shard(shard, |one| one.load_failed(now));
                    }
                }
            }
            Action::Seal { name, entries } => {
                self.shared.metrics.key_value_calls.inc();
                let sealed = self.store.seal(shard, name, &entries).await;
                let now = self.shared.clock.now();
                self.with_shard(shard, |one| match sealed {
                    Ok(()) => one.segment_sealed(),
                    Err(failure) => one.write_failed(now, failure),
                });
            }
            Action::Write { expected, entries } => {
                self.shared.metrics.key_value_calls.inc();
                let written = self.store.write(shard, expected, &entries).await;
                let now = self.shared.clock.now();
                self.with_shard(shard, |one| match written {
                    Ok(revision) => one.write_succeeded(now, revision),
                    Err(failure) => one.write_failed(now, failure),
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

fn no_leader() -> ClaimAnswer {
    ClaimAnswer {
        reply: Reply::Refused {
            retry_after: REFUSED_RETRY,
        },
        owner: None,
    }
}

//! A key is granted once under random interleavings of three leaders of one shard and a key-value
//! service that loses requests and answers and applies writes late.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_claims::{
    Action, Claim, ClaimHash, ClaimState, Entry, LoadedRecord, Reply, Shard, Ticket, WriteFailure,
};
use dalestand_types::{MonotonicTime, RequestId, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LEADERS: usize = 3;
const KEYS: usize = 3;

/// Rounds without faults within which every leader must grant an unused key.
const RECOVERY_ROUNDS: usize = 40;

/// Entries in the first head, so that it is sealed soon.
const INITIAL_ENTRIES: u128 = 238;

/// A step of the simulation. Packets are chosen by index, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// Advances the clock by this number of milliseconds.
    Advance(u64),
    /// A request claims a key at a leader.
    Claim(usize, usize),
    Tick(usize),
    Deliver(usize),
    /// A call does not reach the service; its result is in doubt.
    LoseCall(usize),
    /// A call takes effect but its answer is lost.
    LoseAnswer(usize),
    /// The result of a call is in doubt; it can still take effect by [`Step::ApplyLate`].
    DelayCall(usize),
    ApplyLate(usize),
    /// The service reports that a call had no effect.
    Fail(usize),
    /// A leader loses its state.
    Restart(usize),
    /// A granted request ends; the flag is whether it ran.
    End(usize, bool),
    /// A tick of all leaders, followed by the delivery of all packets.
    Round,
}

/// A call to the service, or its answer, in transit.
#[derive(Clone, Debug)]
enum Packet {
    ReadHead,
    ReadSegments(Option<Revision>, Vec<Entry>),
    Read(LoadedRecord),
    Act(Action),
    Sealed,
    Written(Revision),
    Failed(WriteFailure),
    LoadFailed,
}

#[derive(Clone, Debug)]
struct InTransit {
    leader: usize,
    restarts: u32,
    packet: Packet,
}

#[derive(Default)]
struct Simulation {
    now: MonotonicTime,
    /// The state of each leader, and how often it was restarted.
    leaders: Vec<(Shard, u32)>,
    head: Option<(Revision, Vec<Entry>)>,
    segments: BTreeMap<Revision, Vec<Entry>>,
    revision: u64,
    network: Vec<InTransit>,
    /// Delayed calls that have not taken effect.
    late: Vec<InTransit>,
    claims: Vec<Claim>,
    granted: BTreeMap<ClaimHash, Claim>,
}

fn key(name: usize) -> ClaimHash {
    ClaimHash::of(None, &name.to_string())
}

impl Simulation {
    fn new() -> Self {
        let previous = (0..INITIAL_ENTRIES).map(|number| Entry {
            key: ClaimHash::of(None, &format!("former {number}")),
            request: RequestId(u128::MAX - number),
            fingerprint: 0,
            state: ClaimState::Complete,
        });
        Self {
            leaders: (0..LEADERS).map(|_| (Shard::default(), 0)).collect(),
            head: Some((Revision(1), previous.collect())),
            revision: 1,
            ..Self::default()
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(milliseconds) => {
                self.now = self.now + Duration::from_millis(milliseconds)
            }
            Step::Claim(leader, name) => self.claim(leader, key(name)),
            Step::Tick(leader) => self.tick(leader),
            Step::Deliver(index) => self.with_packet(index, Self::deliver),
            Step::LoseCall(index) => self.with_packet(index, |simulation, sent| {
                simulation.answer(&sent, in_doubt(&sent.packet));
            }),
            Step::LoseAnswer(index) => self.with_packet(index, |simulation, sent| {
                simulation.apply_late(&sent);
                simulation.answer(&sent, in_doubt(&sent.packet));
            }),
            Step::DelayCall(index) => self.with_packet(index, |simulation, sent| {
                simulation.answer(&sent, in_doubt(&sent.packet));
                simulation.late.push(sent);
            }),
            Step::ApplyLate(index) if !self.late.is_empty() => {
                let sent = self.late.remove(index % self.late.len());
                self.apply_late(&sent);
            }
            Step::ApplyLate(_) => {}
            Step::Fail(index) => self.with_packet(index, |simulation, sent| {
                let answer = match &sent.packet {
                    Packet::Act(_) => Packet::Failed(WriteFailure::NoEffect),
                    Packet::ReadHead | Packet::ReadSegments(..) => Packet::LoadFailed,
                    answer => answer.clone(),
                };
                simulation.answer(&sent, answer);
            }),
            Step::Restart(leader) => {
                let (shard, restarts) = &mut self.leaders[leader];
                *shard = Shard::default();
                *restarts += 1;
            }
            Step::End(index, ran) => self.end(index, ran),
            Step::Round => self.round(),
        }
    }

    fn with_packet(&mut self, index: usize, then: impl FnOnce(&mut Self, InTransit)) {
        if !self.network.is_empty() {
            let sent = self.network.remove(index % self.network.len());
            then(self, sent);
        }
    }

    fn answer(&mut self, sent: &InTransit, packet: Packet) {
        self.network.push(InTransit {
            packet,
            ..sent.clone()
        });
    }

    fn claim(&mut self, leader: usize, key: ClaimHash) {
        let number = self.claims.len() as u128;
        let claim = Claim {
            key,
            request: RequestId(number),
            fingerprint: 7,
        };
        self.claims.push(claim);
        let shard = &mut self.leaders[leader].0;
        shard.claim(self.now, Ticket(number as u64), claim);
        self.take_replies(leader);
    }

    fn end(&mut self, index: usize, ran: bool) {
        let count = self.granted.len().max(1);
        let Some(claim) = self.granted.values().nth(index % count).copied() else {
            return;
        };
        let state = if ran {
            ClaimState::Complete
        } else {
            self.granted.remove(&claim.key);
            ClaimState::NotRun
        };
        self.leaders[index % LEADERS]
            .0
            .record_end(self.now, claim, state);
    }

    fn tick(&mut self, leader: usize) {
        let (shard, restarts) = &mut self.leaders[leader];
        let restarts = *restarts;
        if let Some(action) = shard.tick(self.now) {
            let packet = match action {
                Action::Load => Packet::ReadHead,
                action => Packet::Act(action),
            };
            self.network.push(InTransit {
                leader,
                restarts,
                packet,
            });
        }
        self.take_replies(leader);
    }

    /// Checks that a key is granted to a second request only after the first is known not to have
    /// run.
    fn take_replies(&mut self, leader: usize) {
        for (ticket, reply) in self.leaders[leader].0.take_replies() {
            let claim = self.claims[ticket.0 as usize];
            if reply == Reply::Granted {
                let previous = self.granted.insert(claim.key, claim);
                assert!(
                    previous.is_none_or(|previous| previous.request == claim.request),
                    "a key was granted twice"
                );
            }
        }
    }

    fn apply_late(&mut self, sent: &InTransit) {
        if let Packet::Act(action) = &sent.packet {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: &Action) -> Packet {
        match action {
            Action::Load => Packet::ReadHead,
            Action::Seal { name, entries } => {
                self.segments.entry(*name).or_insert(entries.clone());
                Packet::Sealed
            }
            Action::Write { expected, entries } => {
                let current = self.head.as_ref().map(|(revision, _)| *revision);
                if current != *expected {
                    return Packet::Failed(WriteFailure::Conflict);
                }
                self.revision += 1;
                let revision = Revision(self.revision);
                self.head = Some((revision, entries.clone()));
                Packet::Written(revision)
            }
        }
    }

    fn deliver(&mut self, sent: InTransit) {
        let now = self.now;
        let (shard, restarts) = &mut self.leaders[sent.leader];
        let to_leader = *restarts == sent.restarts;
        match &sent.packet {
            Packet::ReadHead => {
                let (revision, head) = match self.head.clone() {
                    Some((revision, head)) => (Some(revision), head),
                    None => (None, Vec::new()),
                };
                self.answer(&sent, Packet::ReadSegments(revision, head));
            }
            Packet::ReadSegments(revision, head) => {
                let loaded = LoadedRecord {
                    revision: *revision,
                    head: head.clone(),
                    sealed: self.segments.values().flatten().copied().collect(),
                };
                self.answer(&sent, Packet::Read(loaded));
            }
            Packet::Act(action) => {
                let answer = self.apply_action(action);
                self.answer(&sent, answer);
            }
            _ if !to_leader => {}
            Packet::Read(loaded) => shard.load_succeeded(now, loaded.clone()),
            Packet::Sealed => shard.segment_sealed(),
            Packet::Written(revision) => shard.write_succeeded(now, *revision),
            Packet::Failed(failure) => shard.write_failed(now, *failure),
            Packet::LoadFailed => shard.load_failed(now),
        }
        self.take_replies(sent.leader);
    }

    fn round(&mut self) {
        self.now = self.now + Duration::from_millis(100);
        for leader in 0..LEADERS {
            self.tick(leader);
        }
        for _ in 0..self.network.len() {
            self.with_packet(0, Self::deliver);
        }
    }

    fn check_recovery(&mut self) {
        for _ in 0..RECOVERY_ROUNDS {
            self.round();
        }
        for leader in 0..LEADERS {
            let fresh = ClaimHash::of(None, &format!("fresh {leader}"));
            self.claim(leader, fresh);
            for _ in 0..RECOVERY_ROUNDS {
                self.round();
            }
            assert!(
                self.granted.contains_key(&fresh),
                "a fresh key was not granted"
            );
        }
    }
}

/// The result of a call whose request or answer was lost, as the leader sees it.
fn in_doubt(packet: &Packet) -> Packet {
    match packet {
        Packet::Act(_) | Packet::Sealed | Packet::Written(_) | Packet::Failed(_) => {
            Packet::Failed(WriteFailure::InDoubt)
        }
        Packet::ReadHead | Packet::ReadSegments(..) | Packet::Read(_) | Packet::LoadFailed => {
            Packet::LoadFailed
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<usize>;
    prop_oneof![
        3 => (1..1_500_u64).prop_map(Step::Advance),
        5 => (0..LEADERS, 0..KEYS).prop_map(|(leader, key)| Step::Claim(leader, key)),
        6 => (0..LEADERS).prop_map(Step::Tick),
        14 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::LoseCall),
        2 => index().prop_map(Step::LoseAnswer),
        2 => index().prop_map(Step::DelayCall),
        2 => index().prop_map(Step::ApplyLate),
        1 => index().prop_map(Step::Fail),
        1 => (0..LEADERS).prop_map(Step::Restart),
        3 => (index(), any::<bool>()).prop_map(|(index, ran)| Step::End(index, ran)),
        4 => Just(Step::Round),
    ]
}

/// `DALESTAND_SEARCH_CASES` and `DALESTAND_SEARCH_SEED` override the number of cases and the seed.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: number("DALESTAND_SEARCH_CASES").unwrap_or(600) as u32,
        rng_seed: RngSeed::Fixed(number("DALESTAND_SEARCH_SEED").unwrap_or(0x0c1a_1335)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_key_is_granted_once(steps in prop::collection::vec(step(), 0..200)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.check_recovery();
    }
}

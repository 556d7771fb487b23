//! Random interleavings of three leaders of one shard and a key-value service that loses answers
//! and carries writes out late.

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

/// Rounds without faults in which a fresh key must be granted at every leader.
const FAIR_ROUNDS: usize = 40;

/// Entries put in at the start, so that the head is sealed soon.
const FORMER_ENTRIES: u128 = 238;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Claim(usize, usize),
    Tick(usize),
    Deliver(usize),
    LoseCall(usize),
    LoseAnswer(usize),
    DelayCall(usize),
    Arrive(usize),
    Fail(usize),
    Restart(usize),
    End(usize, bool),
    Round,
}

/// A call to the service or its answer, under way.
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
struct Sent {
    leader: usize,
    life: u32,
    packet: Packet,
}

#[derive(Default)]
struct World {
    now: MonotonicTime,
    leaders: Vec<(Shard, u32)>,
    head: Option<(Revision, Vec<Entry>)>,
    segments: BTreeMap<Revision, Vec<Entry>>,
    revision: u64,
    network: Vec<Sent>,
    late: Vec<Sent>,
    claims: Vec<Claim>,
    granted: BTreeMap<ClaimHash, Claim>,
}

fn key(name: usize) -> ClaimHash {
    ClaimHash::of(None, &name.to_string())
}

impl World {
    fn new() -> Self {
        let former = (0..FORMER_ENTRIES).map(|number| Entry {
            key: ClaimHash::of(None, &format!("former {number}")),
            request: RequestId(u128::MAX - number),
            fingerprint: 0,
            state: ClaimState::Complete,
        });
        Self {
            leaders: (0..LEADERS).map(|_| (Shard::default(), 0)).collect(),
            head: Some((Revision(1), former.collect())),
            revision: 1,
            ..Self::default()
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Pass(milliseconds) => self.now = self.now + Duration::from_millis(milliseconds),
            Step::Claim(leader, name) => self.claim(leader, key(name)),
            Step::Tick(leader) => self.tick(leader),
            Step::Deliver(place) => self.take(place, Self::deliver),
            Step::LoseCall(place) => self.take(place, |world, sent| {
                world.answer(&sent, in_doubt(&sent.packet));
            }),
            Step::LoseAnswer(place) => self.take(place, |world, sent| {
                world.act_late(&sent);
                world.answer(&sent, in_doubt(&sent.packet));
            }),
            Step::DelayCall(place) => self.take(place, |world, sent| {
                world.answer(&sent, in_doubt(&sent.packet));
                world.late.push(sent);
            }),
            Step::Arrive(place) if !self.late.is_empty() => {
                let sent = self.late.remove(place % self.late.len());
                self.act_late(&sent);
            }
            Step::Arrive(_) => {}
            Step::Fail(place) => self.take(place, |world, sent| {
                let answer = match &sent.packet {
                    Packet::Act(_) => Packet::Failed(WriteFailure::NoEffect),
                    Packet::ReadHead | Packet::ReadSegments(..) => Packet::LoadFailed,
                    answer => answer.clone(),
                };
                world.answer(&sent, answer);
            }),
            Step::Restart(leader) => {
                let (shard, life) = &mut self.leaders[leader];
                *shard = Shard::default();
                *life += 1;
            }
            Step::End(place, ran) => self.end(place, ran),
            Step::Round => self.round(),
        }
    }

    fn take(&mut self, place: usize, then: impl FnOnce(&mut Self, Sent)) {
        if !self.network.is_empty() {
            let sent = self.network.remove(place % self.network.len());
            then(self, sent);
        }
    }

    fn answer(&mut self, sent: &Sent, packet: Packet) {
        self.network.push(Sent {
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

    fn end(&mut self, place: usize, ran: bool) {
        let count = self.granted.len().max(1);
        let Some(claim) = self.granted.values().nth(place % count).copied() else {
            return;
        };
        let state = if ran {
            ClaimState::Complete
        } else {
            self.granted.remove(&claim.key);
            ClaimState::NotRun
        };
        self.leaders[place % LEADERS]
            .0
            .record_end(self.now, claim, state);
    }

    fn tick(&mut self, leader: usize) {
        let (shard, life) = &mut self.leaders[leader];
        let life = *life;
        if let Some(action) = shard.tick(self.now) {
            let packet = match action {
                Action::Load => Packet::ReadHead,
                action => Packet::Act(action),
            };
            self.network.push(Sent {
                leader,
                life,
                packet,
            });
        }
        self.take_replies(leader);
    }

    /// A key is granted to a second request only after the first is known not to have run.
    fn take_replies(&mut self, leader: usize) {
        for (ticket, reply) in self.leaders[leader].0.take_replies() {
            let claim = self.claims[ticket.0 as usize];
            if reply == Reply::Granted {
                let former = self.granted.insert(claim.key, claim);
                assert!(
                    former.is_none_or(|former| former.request == claim.request),
                    "a key was granted twice"
                );
            }
        }
    }

    fn act_late(&mut self, sent: &Sent) {
        if let Packet::Act(action) = &sent.packet {
            self.act(action);
        }
    }

    fn act(&mut self, action: &Action) -> Packet {
        match action {
            Action::Load => Packet::ReadHead,
            Action::Seal { name, entries } => {
                self.segments.entry(*name).or_insert(entries.clone());
                Packet::Sealed
            }
            Action::Write { expected, entries } => {
                let stands = self.head.as_ref().map(|(revision, _)| *revision);
                if stands != *expected {
                    return Packet::Failed(WriteFailure::Conflict);
                }
                self.revision += 1;
                let revision = Revision(self.revision);
                self.head = Some((revision, entries.clone()));
                Packet::Written(revision)
            }
        }
    }

    fn deliver(&mut self, sent: Sent) {
        let now = self.now;
        let (shard, life) = &mut self.leaders[sent.leader];
        let to_leader = *life == sent.life;
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
                let answer = self.act(action);
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
            self.take(0, Self::deliver);
        }
    }

    fn check_recovery(&mut self) {
        for _ in 0..FAIR_ROUNDS {
            self.round();
        }
        for leader in 0..LEADERS {
            let fresh = ClaimHash::of(None, &format!("fresh {leader}"));
            self.claim(leader, fresh);
            for _ in 0..FAIR_ROUNDS {
                self.round();
            }
            assert!(
                self.granted.contains_key(&fresh),
                "a fresh key was not granted"
            );
        }
    }
}

/// What a leader makes of a call that it gives up.
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
    let place = any::<usize>;
    prop_oneof![
        3 => (1..1_500_u64).prop_map(Step::Pass),
        5 => (0..LEADERS, 0..KEYS).prop_map(|(leader, key)| Step::Claim(leader, key)),
        6 => (0..LEADERS).prop_map(Step::Tick),
        14 => place().prop_map(Step::Deliver),
        1 => place().prop_map(Step::LoseCall),
        2 => place().prop_map(Step::LoseAnswer),
        2 => place().prop_map(Step::DelayCall),
        2 => place().prop_map(Step::Arrive),
        1 => place().prop_map(Step::Fail),
        1 => (0..LEADERS).prop_map(Step::Restart),
        3 => (place(), any::<bool>()).prop_map(|(place, ran)| Step::End(place, ran)),
        4 => Just(Step::Round),
    ]
}

/// Fixed cases, or a longer search: `DALESTAND_SEARCH_CASES` and `DALESTAND_SEARCH_SEED` set the
/// number of cases and the seed.
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
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
        world.check_recovery();
    }
}

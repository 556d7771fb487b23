//! The requests that an engine with a limit gets, summed over the nodes, as the engine sees them.
//!
//! Virtual time, in milliseconds. Requests for leave and its answers take a while or are lost, nodes disagree for
//! a time on who gives leave, issuers start anew, and a request goes out some time after its permit came.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_routing::shared_rate::{Grant, HeldPermits, PERMIT_LIFETIME, Permit, PermitIssuer};
use dalestand_routing::staged::EngineKey;
use dalestand_types::{MonotonicTime, RequestRate};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const ENGINE: EngineKey = EngineKey(7);

/// The users' bound: in any four seconds, one and a half times the limit and five requests.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Longest time for which nodes disagree on who gives leave.
const DISAGREEMENT_MS: u64 = 1_000;

/// Longest way of a message where things go badly, and where they go well.
const LONGEST_WAY_MS: u64 = 120;
const USUAL_WAY_MS: u64 = 4;

/// Longest time until a request goes out on a permit that is held: a connection is made.
const LONGEST_CONNECT_MS: u64 = 300;

const END_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Run {
    nodes: usize,
    limit: f64,
    /// Requests a millisecond and node.
    demand: f64,
    loss: f64,
    longest_way: u64,
    longest_connect: u64,
    /// When the second issuer follows the first, and for how long nodes then disagree.
    changes_at: u64,
    disagreement: u64,
    /// When an issuer starts anew.
    restarts_at: u64,
    seed: u64,
    end_ms: u64,
}

fn run() -> impl Strategy<Value = Run> {
    (
        1..40_usize,
        prop_oneof![0.0..3.0_f64, 3.0..60.0_f64],
        0.001..0.05_f64,
        0.0..0.3_f64,
        (0..END_MS, 0..DISAGREEMENT_MS, 0..END_MS),
        any::<u64>(),
    )
        .prop_map(|(nodes, limit, demand, loss, times, seed)| Run {
            nodes,
            limit,
            demand,
            loss,
            longest_way: LONGEST_WAY_MS,
            longest_connect: LONGEST_CONNECT_MS,
            changes_at: times.0,
            disagreement: times.1,
            restarts_at: times.2,
            seed,
            end_ms: END_MS,
        })
}

/// What happens at a millisecond.
enum Happens {
    Asked {
        node: usize,
        issuer: usize,
        at: u64,
    },
    Answered {
        node: usize,
        asked_at: u64,
        grant: Grant,
    },
    GoesOut {
        permit: Permit,
        node: usize,
    },
}

/// When requests arrived at the engine.
fn arrivals(run: &Run) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(run.seed);
    let rate = RequestRate::per_second(run.limit).expect("a rate");
    let mut issuers = [PermitIssuer::default(), PermitIssuer::default()];
    let mut held = vec![HeldPermits::default(); run.nodes];
    // Each node hears of the change at a moment of its own.
    let hears: Vec<u64> = (0..run.nodes)
        .map(|_| run.changes_at + random.random_range(0..=run.disagreement))
        .collect();
    let mut coming: HashMap<u64, Vec<Happens>> = HashMap::new();
    let mut arrived = Vec::new();
    for ms in 0..run.end_ms {
        let now = MonotonicTime::from_millis(ms);
        if ms == run.restarts_at {
            issuers[0] = PermitIssuer::default();
        }
        for node in 0..run.nodes {
            let is_open = held[node].closed_until(now, ENGINE).is_none();
            if !is_open || !random.random_bool(run.demand) {
                continue;
            }
            if let Some(permit) = held[node].take(now, ENGINE) {
                let at = ms + random.random_range(0..run.longest_connect);
                coming
                    .entry(at)
                    .or_default()
                    .push(Happens::GoesOut { permit, node });
            } else if !random.random_bool(run.loss) {
                let issuer = usize::from(ms >= hears[node]);
                let at = ms + random.random_range(0..run.longest_way);
                let asked = Happens::Asked {
                    node,
                    issuer,
                    at: ms,
                };
                coming.entry(at).or_default().push(asked);
            }
        }
        let mut now_happens = coming.remove(&ms).unwrap_or_default();
        while let Some(event) = now_happens.pop() {
            match event {
                Happens::Asked { node, issuer, at } => {
                    let grant = issuers[issuer].issue(now, ENGINE, rate);
                    if random.random_bool(run.loss) {
                        continue;
                    }
                    let answered = Happens::Answered {
                        node,
                        asked_at: at,
                        grant,
                    };
                    let back = ms + 1 + random.random_range(0..run.longest_way);
                    coming.entry(back).or_default().push(answered);
                }
                Happens::Answered {
                    node,
                    asked_at,
                    grant,
                } => {
                    let valid_until = MonotonicTime::from_millis(asked_at) + PERMIT_LIFETIME;
                    held[node].add(now, ENGINE, grant.permits, valid_until);
                    if grant.permits == 0 {
                        held[node].close(now, ENGINE, grant.retry_in);
                    } else if let Some(permit) = held[node].take(now, ENGINE) {
                        // The request that asked.
                        let at = ms + 1 + random.random_range(0..run.longest_connect);
                        coming
                            .entry(at)
                            .or_default()
                            .push(Happens::GoesOut { permit, node });
                    }
                }
                Happens::GoesOut { permit, node } => {
                    if !permit.is_valid(now) {
                        held[node].give_back(permit);
                    } else {
                        arrived.push(ms);
                    }
                }
            }
        }
    }
    arrived
}

/// Most in any window.
fn most_in_a_window(arrived: &[u64]) -> usize {
    let until = |at: u64| arrived.partition_point(|other| *other < at + WINDOW_MS);
    let counts = arrived.iter().enumerate();
    let counts = counts.map(|(first, at)| until(*at) - first);
    counts.max().unwrap_or_default()
}

/// Nothing is lost and nothing late; one issuer.
fn calm(nodes: usize, limit: f64, demand: f64, seed: u64) -> Run {
    Run {
        nodes,
        limit,
        demand,
        loss: 0.0,
        longest_way: USUAL_WAY_MS,
        longest_connect: USUAL_WAY_MS,
        changes_at: END_MS,
        disagreement: 0,
        restarts_at: END_MS,
        seed,
        end_ms: END_MS,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever is lost, late or held for another's, no window has more than the engine allows.
    #[test]
    fn no_window_has_more_than_the_engine_allows(run in run()) {
        let allowed = FACTOR * run.limit * WINDOW_MS as f64 / 1e3 + EXTRA;
        let most = most_in_a_window(&arrivals(&run));
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }

    /// Where four times as many requests come as the engine takes, most of what it takes is used. Requests don't
    /// wait for a permit, so that of a bucket of one `4 / (1 + 4)` is used on average.
    #[test]
    fn a_limit_is_used(limit in 2.0..40.0_f64, nodes in 1..20_usize, seed in any::<u64>()) {
        let demand = (4.0 * limit / 1e3 / nodes as f64).min(0.5);
        let run = calm(nodes, limit, demand, seed);
        let got = arrivals(&run).len() as f64;
        let wanted = limit * END_MS as f64 / 1e3;
        prop_assert!(got >= 0.6 * wanted, "{got} of {wanted}");
    }
}

/// An engine that takes nothing is called now and then, each ten seconds at most: it may take requests again, and
/// nobody else can tell.
#[test]
fn an_engine_that_takes_nothing_is_asked_now_and_then() {
    let run = Run {
        end_ms: 25_000,
        ..calm(9, 0.0, 0.01, 1)
    };
    let arrived = arrivals(&run);
    assert!((1..=2).contains(&arrived.len()), "{arrived:?}");
    assert!(arrived.windows(2).all(|pair| pair[1] - pair[0] >= 9_000));
}

/// Those that ask in vain are given different turns.
#[test]
fn turns_follow_each_other() {
    let mut issuer = PermitIssuer::default();
    let rate = RequestRate::per_second(4.0).expect("a rate");
    let now = MonotonicTime::from_millis(1_000);
    let turns = (0..4).map(|_| issuer.issue(now, ENGINE, rate).retry_in.as_micros());
    let turns: Vec<u128> = turns.collect();
    assert_eq!(turns, [250_000, 375_000, 500_000, 625_000]);
}

/// Calls that need no permit are taken off what follows.
#[test]
fn calls_that_go_out_all_the_same_are_counted() {
    let mut issuer = PermitIssuer::default();
    let rate = RequestRate::per_second(4.0).expect("a rate");
    let start = MonotonicTime::from_millis(1_000);
    issuer.debit(start, ENGINE, rate);
    let later = start + Duration::from_millis(300);
    assert_eq!(issuer.issue(later, ENGINE, rate).permits, 0);
    let later = start + Duration::from_millis(600);
    assert_eq!(issuer.issue(later, ENGINE, rate).permits, 1);
}

//! The rate of requests that all nodes together send to an engine with a limit.
//!
//! Simulated in steps of a millisecond: permit messages are delayed or lost, nodes disagree for a time on which node
//! issues, an issuer restarts, and requests are sent some time after their permit was granted.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_routing::shared_rate::{Grant, HeldPermits, PERMIT_LIFETIME, Permit, PermitIssuer};
use dalestand_routing::staged::EngineKey;
use dalestand_types::{MonotonicTime, RequestRate};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const ENGINE: EngineKey = EngineKey(7);

/// Allowed in any window of four seconds: one and a half times the limit, plus five requests.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Longest time for which nodes disagree on which node issues.
const DISAGREEMENT_MS: u64 = 1_000;

/// Largest message delay in a degraded and in a healthy network.
const MAX_DELAY_MS: u64 = 120;
const USUAL_DELAY_MS: u64 = 4;

/// Longest time from taking a permit to sending the request, for opening a connection.
const MAX_CONNECT_MS: u64 = 300;

const END_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Run {
    nodes: usize,
    limit: f64,
    /// Requests per millisecond and node.
    demand: f64,
    loss: f64,
    max_delay: u64,
    max_connect: u64,
    /// When the second issuer replaces the first, and for how long nodes then disagree.
    switch_at: u64,
    disagreement: u64,
    /// When the first issuer restarts.
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
            max_delay: MAX_DELAY_MS,
            max_connect: MAX_CONNECT_MS,
            switch_at: times.0,
            disagreement: times.1,
            restarts_at: times.2,
            seed,
            end_ms: END_MS,
        })
}

/// A scheduled event.
enum Event {
    Requested {
        node: usize,
        issuer: usize,
        at: u64,
    },
    Granted {
        node: usize,
        requested_at: u64,
        grant: Grant,
    },
    Sent {
        permit: Permit,
        node: usize,
    },
}

/// Arrival times of requests at the engine, in milliseconds.
fn arrivals(run: &Run) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(run.seed);
    let rate = RequestRate::per_second(run.limit).expect("a rate");
    let mut issuers = [PermitIssuer::default(), PermitIssuer::default()];
    let mut held = vec![HeldPermits::default(); run.nodes];
    // Each node learns of the new issuer at a different time.
    let switch_times: Vec<u64> = (0..run.nodes)
        .map(|_| run.switch_at + random.random_range(0..=run.disagreement))
        .collect();
    let mut scheduled: HashMap<u64, Vec<Event>> = HashMap::new();
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
                let at = ms + random.random_range(0..run.max_connect);
                scheduled
                    .entry(at)
                    .or_default()
                    .push(Event::Sent { permit, node });
            } else if !random.random_bool(run.loss) {
                let issuer = usize::from(ms >= switch_times[node]);
                let at = ms + random.random_range(0..run.max_delay);
                let requested = Event::Requested {
                    node,
                    issuer,
                    at: ms,
                };
                scheduled.entry(at).or_default().push(requested);
            }
        }
        let mut events = scheduled.remove(&ms).unwrap_or_default();
        while let Some(event) = events.pop() {
            match event {
                Event::Requested { node, issuer, at } => {
                    let grant = issuers[issuer].issue(now, ENGINE, rate);
                    if random.random_bool(run.loss) {
                        continue;
                    }
                    let granted = Event::Granted {
                        node,
                        requested_at: at,
                        grant,
                    };
                    let back = ms + 1 + random.random_range(0..run.max_delay);
                    scheduled.entry(back).or_default().push(granted);
                }
                Event::Granted {
                    node,
                    requested_at,
                    grant,
                } => {
                    let valid_until = MonotonicTime::from_millis(requested_at) + PERMIT_LIFETIME;
                    held[node].add(now, ENGINE, grant.permits, valid_until);
                    if grant.permits == 0 {
                        held[node].close(now, ENGINE, grant.retry_in);
                    } else if let Some(permit) = held[node].take(now, ENGINE) {
                        // Serves the request that caused the permit request.
                        let at = ms + 1 + random.random_range(0..run.max_connect);
                        scheduled
                            .entry(at)
                            .or_default()
                            .push(Event::Sent { permit, node });
                    }
                }
                Event::Sent { permit, node } => {
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

/// Largest number of arrivals in any window.
fn most_in_a_window(arrived: &[u64]) -> usize {
    let until = |at: u64| arrived.partition_point(|other| *other < at + WINDOW_MS);
    let counts = arrived.iter().enumerate();
    let counts = counts.map(|(first, at)| until(*at) - first);
    counts.max().unwrap_or_default()
}

/// One issuer, no loss and short delays.
fn ideal(nodes: usize, limit: f64, demand: f64, seed: u64) -> Run {
    Run {
        nodes,
        limit,
        demand,
        loss: 0.0,
        max_delay: USUAL_DELAY_MS,
        max_connect: USUAL_DELAY_MS,
        switch_at: END_MS,
        disagreement: 0,
        restarts_at: END_MS,
        seed,
        end_ms: END_MS,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The limit holds with lost and late messages, restarts and disagreement on the issuer.
    #[test]
    fn no_window_has_more_than_the_engine_allows(run in run()) {
        let allowed = FACTOR * run.limit * WINDOW_MS as f64 / 1e3 + EXTRA;
        let most = most_in_a_window(&arrivals(&run));
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }

    /// With demand at four times the limit, most of the limit is used. Requests don't wait for a permit, so a bucket of
    /// one would be used to `4 / (1 + 4)` on average.
    #[test]
    fn most_of_a_limit_is_used(limit in 2.0..40.0_f64, nodes in 1..20_usize, seed in any::<u64>()) {
        let demand = (4.0 * limit / 1e3 / nodes as f64).min(0.5);
        let run = ideal(nodes, limit, demand, seed);
        let got = arrivals(&run).len() as f64;
        let wanted = limit * END_MS as f64 / 1e3;
        prop_assert!(got >= 0.6 * wanted, "{got} of {wanted}");
    }
}

/// An engine with a limit of zero still gets a request about every ten seconds, so that it can announce a new limit.
#[test]
fn an_engine_with_a_limit_of_zero_still_gets_occasional_requests() {
    let run = Run {
        end_ms: 25_000,
        ..ideal(9, 0.0, 0.01, 1)
    };
    let arrived = arrivals(&run);
    assert!((1..=2).contains(&arrived.len()), "{arrived:?}");
    assert!(arrived.windows(2).all(|pair| pair[1] - pair[0] >= 9_000));
}

/// Nodes that get no permit are told to retry at different times.
#[test]
fn retries_are_spread() {
    let mut issuer = PermitIssuer::default();
    let rate = RequestRate::per_second(4.0).expect("a rate");
    let now = MonotonicTime::from_millis(1_000);
    let delays = (0..4).map(|_| issuer.issue(now, ENGINE, rate).retry_in.as_micros());
    let delays: Vec<u128> = delays.collect();
    assert_eq!(delays, [250_000, 375_000, 500_000, 625_000]);
}

/// Requests sent without a permit delay later permits.
#[test]
fn requests_without_a_permit_are_counted() {
    let mut issuer = PermitIssuer::default();
    let rate = RequestRate::per_second(4.0).expect("a rate");
    let start = MonotonicTime::from_millis(1_000);
    issuer.debit(start, ENGINE, rate);
    let later = start + Duration::from_millis(300);
    assert_eq!(issuer.issue(later, ENGINE, rate).permits, 0);
    let later = start + Duration::from_millis(600);
    assert_eq!(issuer.issue(later, ENGINE, rate).permits, 1);
}

//! Selection of the nodes that try to acquire a group's lease.

use std::time::Duration;

use dalestand_control::{Candidate, acquire_delay, successor};
use dalestand_types::{GroupId, NodeId, ZoneName};

const LEASE: Duration = Duration::from_secs(6);

fn fleet() -> Vec<Candidate> {
    let nodes = (0..380).map(|number| Candidate {
        node: NodeId::from(format!("n{number}")),
        zone: ZoneName::from(format!("z{}", number % 7)),
    });
    nodes.collect()
}

#[test]
fn few_nodes_try_to_acquire_a_lease_at_any_fleet_size() {
    let fleet = fleet();
    let group = GroupId::from("p@z1");
    let zone = ZoneName::from("z1");
    let mut delays: Vec<(bool, Duration)> = fleet
        .iter()
        .filter_map(|me| {
            let delay = acquire_delay(&group, &zone, me, &fleet, LEASE)?;
            Some((me.zone == zone, delay))
        })
        .collect();
    delays.sort_by_key(|(_, delay)| *delay);
    let seconds: Vec<(bool, u64)> = delays
        .iter()
        .map(|(own, delay)| (*own, delay.as_secs()))
        .collect();
    let expected = [
        (true, 0),
        (true, 2),
        (true, 4),
        (false, 18),
        (false, 20),
        (false, 22),
    ];
    assert_eq!(seconds, expected);
}

#[test]
fn a_holder_that_shuts_down_hands_over_to_the_first_candidate_of_the_zone() {
    let fleet = fleet();
    let group = GroupId::from("p@z1");
    let zone = ZoneName::from("z1");
    let chosen = successor(&group, &zone, &fleet).expect("a live node");
    let delay = acquire_delay(&group, &zone, chosen, &fleet, LEASE);
    assert_eq!(delay, Some(Duration::ZERO));
}

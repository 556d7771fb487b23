//! Election of relays, and members' choice of a relay.

use std::time::Duration;

use dalestand_dissemination::{
    NodeDirectory, NodeEntry, NodeNumber, RELAYS_PER_ZONE, Relay, ReportTarget, Subscribers,
    Subscription,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const SILENCE: Duration = Duration::from_millis(600);

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn entry(zone: &str, port: u16, link_mbps: u32) -> NodeEntry {
    NodeEntry {
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        link_mbps,
    }
}

fn relay(number: u64, zone: &str) -> Relay {
    Relay {
        number: NodeNumber(number),
        address: ([127, 0, 0, 1], number as u16).into(),
        zone: zone.into(),
    }
}

proptest! {
    /// The elected relays do not depend on the order of registration, are limited per zone, include
    /// every node of a small zone, and have no slower links than the other nodes.
    #[test]
    fn all_nodes_elect_the_same_relays_with_the_fastest_links(
        nodes in proptest::collection::btree_map("[a-z]{1,6}", (0_usize..3, 0_u32..4), 1..60),
    ) {
        let zones = ["east", "north", "west"];
        let mut forward = NodeDirectory::default();
        let mut backward = NodeDirectory::default();
        for (name, (zone, link)) in &nodes {
            forward.set(name, Some(entry(zones[*zone], 1, link * 10)));
        }
        for (name, (zone, link)) in nodes.iter().rev() {
            backward.set(name, Some(entry(zones[*zone], 1, link * 10)));
        }
        let relays = forward.relays();
        prop_assert_eq!(&relays, &backward.relays());
        for zone in 0..zones.len() {
            let links = |is_relay: bool| {
                let of_zone = nodes.iter().filter(|(_, (of, _))| *of == zone);
                let of_kind = of_zone.filter(|(name, _)| {
                    let number = NodeNumber::of(name);
                    relays.iter().any(|relay| relay.number == number) == is_relay
                });
                of_kind.map(|(_, (_, link))| *link).collect::<Vec<_>>()
            };
            let (elected, others) = (links(true), links(false));
            prop_assert!(elected.len() <= RELAYS_PER_ZONE);
            prop_assert!(others.is_empty() || elected.len() == RELAYS_PER_ZONE);
            prop_assert!(others.iter().max() <= elected.iter().min());
        }
    }
}

/// Guards against a zone whose members all followed a relay with a full link, while others had faster ones.
#[rstest]
#[case::much_faster(10, 200, 1)]
#[case::hardly_faster(120, 200, 0)]
#[case::own_speed_unknown(0, 200, 0)]
#[case::other_speed_unknown(10, 0, 0)]
fn relays_with_much_faster_links_of_the_zone_are_found(
    #[case] own: u32,
    #[case] other: u32,
    #[case] expected: usize,
) {
    let mut directory = NodeDirectory::default();
    directory.set("own", Some(entry("east", 1, own)));
    directory.set("other", Some(entry("east", 2, other)));
    directory.set("elsewhere", Some(entry("west", 3, 1_000)));
    let relays = directory.relays();
    assert_eq!(relays.len(), 3);
    let faster = directory.faster_relays(NodeNumber::of("own"), &relays);
    assert_eq!(faster.len(), expected);
}

#[rstest]
fn an_entry_reads_back_as_it_was_written() {
    let entry = entry("east", 77, 200);
    let text = entry.to_text().expect("text");
    assert_eq!(NodeEntry::parse(&text).expect("an entry"), entry);
    assert!(NodeEntry::parse("10.0.0.1:7").is_err());
}

#[rstest]
fn a_member_keeps_its_relay_until_it_is_silent_then_takes_the_first_that_answers() {
    let mut member = Subscription::new(NodeNumber(100), "east".into(), SILENCE);
    member.set_relays(vec![relay(1, "east"), relay(2, "east"), relay(3, "west")]);
    let ReportTarget::Probe(probed) = member.target(at(0)) else {
        panic!("no relay has answered yet");
    };
    assert_eq!(probed.len(), 3);
    assert!(member.record_table(at(10), NodeNumber(2)));
    assert!(!member.record_table(at(20), NodeNumber(1)), "a late answer");
    assert_eq!(
        member.target(at(500)),
        ReportTarget::Subscribed(relay(2, "east"))
    );
    assert!(matches!(member.target(at(700)), ReportTarget::Probe(_)));
    assert!(member.record_table(at(710), NodeNumber(3)));
    assert_eq!(member.current(), Some(&relay(3, "west")));
}

#[rstest]
fn a_table_of_an_unknown_node_is_ignored() {
    let mut member = Subscription::new(NodeNumber(100), "east".into(), SILENCE);
    member.set_relays(vec![relay(1, "east")]);
    assert!(!member.record_table(at(10), NodeNumber(66)));
}

#[rstest]
fn late_reports_are_dropped_and_restarted_members_are_accepted() {
    let mut subscribers = Subscribers::new(Duration::from_secs(2));
    let address = ([127, 0, 0, 1], 5).into();
    let mut heard =
        |ms, sequence| subscribers.record_report(at(ms), NodeNumber(5), address, sequence);
    assert!(heard(0, 900));
    assert!(heard(10, 902));
    assert!(!heard(11, 901), "reordered in transit");
    assert!(heard(500, 1), "restarted");
    subscribers.remove_silent(at(2_600));
    assert!(subscribers.addresses().is_empty());
}

/// While all nodes start, relays answer late. A member that took the first relay of any zone and
/// stayed with it would load the links between zones.
#[rstest]
fn a_member_prefers_its_own_zone_and_returns_to_it() {
    let mut member = Subscription::new(NodeNumber(100), "east".into(), SILENCE);
    member.set_relays(vec![relay(1, "east"), relay(2, "east"), relay(3, "west")]);
    assert!(member.record_table(at(10), NodeNumber(1)));
    let probed = |member: &Subscription, ms| match member.target(at(ms)) {
        ReportTarget::Probe(relays) => relays.len(),
        ReportTarget::Subscribed(_) => 0,
    };
    assert_eq!(probed(&member, 700), 2, "its own zone first");
    assert_eq!(probed(&member, 950), 3);
    assert_eq!(
        member.home_zone_probe(at(950)),
        None,
        "already in its own zone"
    );
    assert!(member.record_table(at(960), NodeNumber(3)));
    let first = member.home_zone_probe(at(2_000)).expect("a relay to ask");
    assert_eq!(first.zone.as_str(), "east");
    assert_eq!(member.home_zone_probe(at(2_100)), None, "not yet due");
    let second = member.home_zone_probe(at(3_000)).expect("a relay to ask");
    assert_ne!(first, second, "relays are probed in turn");
    assert!(member.record_table(at(3_010), second.number));
    assert_eq!(member.current(), Some(&second));
    assert!(!member.record_table(at(3_020), NodeNumber(3)));
}

/// The number of members per relay is bounded.
#[rstest]
#[case::small(5, 3)]
#[case::medium(164, 3)]
#[case::large(334, 6)]
fn the_number_of_relays_grows_with_the_zone(#[case] nodes: u16, #[case] relays: usize) {
    let mut directory = NodeDirectory::default();
    for number in 0..nodes {
        directory.set(&format!("node-{number}"), Some(entry("east", number, 20)));
    }
    assert_eq!(directory.relays().len(), relays);
}

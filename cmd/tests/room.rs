//! `dalestand room` formats the capacity report as a table, and reports invalid flags and an unreachable node.

use std::process::{Command, Output};

use dalestand_cmd::room::capacity_table;
use dalestand_forwarding::{
    CapacityReport, ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolCapacity,
    ReportSources, TenantDemand,
};
use dalestand_routing::{ClassFigures, TenantCode, TenantFigures, WorkKind, WorkRate};
use dalestand_types::{NodeId, PoolName, Revision, ZoneName};
use rstest::rstest;

fn isolated_report() -> CapacityReport {
    CapacityReport {
        node: NodeId::from("front-1"),
        zone: ZoneName::from("a"),
        declaration: None,
        nodes_known: 1,
        sources: ReportSources::default(),
        ages: FigureAges::default(),
        pools: Vec::new(),
    }
}

fn empty_pool() -> PoolCapacity {
    PoolCapacity {
        pool: PoolName::from("guide"),
        engines: Vec::new(),
        busy_slots: 0.0,
        classes: Vec::new(),
        tenants: Vec::new(),
        tenants_unlisted: 0,
        speeds: Vec::new(),
        speeds_unlisted: 0,
        scaling: None,
    }
}

fn busy_pool() -> PoolCapacity {
    let work = |slots, prompt_tokens_per_s| WorkRate {
        slots,
        prompt_tokens_per_s,
    };
    let tenant = |name: Option<&str>, code, asked_slots| TenantDemand {
        name: name.map(str::to_owned),
        code: TenantCode(code),
        figures: TenantFigures {
            asked: work(asked_slots, 1_500.0),
            begun: work(20.0, 300.0),
        },
    };
    PoolCapacity {
        engines: vec![EngineGroup {
            zone: ZoneName::from("a"),
            work: WorkKind::Decode,
            engines: 3,
            slots: 36,
        }],
        busy_slots: 31.5,
        classes: vec![ClassDemand {
            priority: 1,
            figures: ClassFigures {
                asked_per_s: 120.25,
                refused_per_s: 40.0,
                ..ClassFigures::default()
            },
        }],
        tenants: vec![
            tenant(Some("summit"), 7, 90.0),
            tenant(None, 255, 30.0),
            tenant(None, TenantCode::OTHERS.0, 20.0),
        ],
        tenants_unlisted: 1,
        speeds: vec![EngineSpeed {
            engine: "i-9\u{1b}[2J".to_owned(),
            zone: ZoneName::from("a"),
            work: WorkKind::Prefill,
            slowness: 1.625,
            observations: 12.0,
        }],
        scaling: Some(EngineScaling {
            on_demand: 2,
            spot: 28,
            weighed: "Demand: 210/s asked".to_owned(),
        }),
        ..empty_pool()
    }
}

#[rstest]
fn an_isolated_node_shows_no_figures_of_other_nodes() {
    assert_eq!(
        capacity_table(&isolated_report()),
        "node front-1 in zone a: no declaration, 1 node known\n\
         figures of this node; no demand of others, no tenants of others, no speeds of others\n"
    );
}

#[rstest]
fn an_empty_pool_has_one_line() {
    let report = CapacityReport {
        declaration: Some(Revision(3)),
        pools: vec![empty_pool()],
        ..isolated_report()
    };
    let table = capacity_table(&report);
    let lines: Vec<&str> = table.lines().skip(2).collect();
    assert_eq!(lines, ["", "pool guide: 0 engines, 0 slots, 0.0 busy"]);
}

#[rstest]
fn figures_are_aligned_under_their_headings() {
    let report = CapacityReport {
        nodes_known: 5,
        sources: ReportSources {
            members: 1,
            relays: 2,
            fleet: false,
        },
        ages: FigureAges {
            demand_ms: Some(120),
            ..FigureAges::default()
        },
        pools: vec![busy_pool()],
        ..isolated_report()
    };
    let table = capacity_table(&report);
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(
        lines[1],
        "figures of this node, 1 member, 2 relays with their members; \
         demand 120 ms old, no tenants of others, no speeds of others"
    );
    assert_eq!(
        lines[3..],
        [
            "pool guide: 3 engines, 36 slots, 31.5 busy",
            "  zone  work    engines  slots",
            "  a     decode  3        36",
            "  priority  first/s  returned/s  begun/s  refused/s  engine-refused/s  busy  waiting  returns due",
            "  1         120.2    0.0         0.0      40.0       0.0               0.0   0.0      0.0",
            "  tenant             asked slots  begun slots  asked tokens/s  begun tokens/s",
            "  summit             90.0         20.0         1500.0          300.0",
            "  #00000000000000ff  30.0         20.0         1500.0          300.0",
            "  (all others)       20.0         20.0         1500.0          300.0",
            "  and 1 tenant more",
            "  engine   zone  work     times the usual time  observations",
            "  i-9?[2J  a     prefill  1.62                  12.0",
            "  wanted: 2 on demand, 28 spot; Demand: 210/s asked",
        ]
    );
}

fn room(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dalestand"));
    command.arg("room").args(arguments);
    command.output().expect("the program runs")
}

#[rstest]
#[case::several_faults(&["pool"], 2, &["pool: not expected", "--node must be given"])]
#[case::no_address(&["--node", "here"], 2, &["--node here"])]
#[case::unknown_flag(&["--nodes", "1"], 2, &["nodes"])]
#[case::unreachable_node(&["--node", "127.0.0.1:1"], 1, &["could not be asked"])]
fn every_fault_is_reported(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &[&str],
) {
    let output = room(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let errors = String::from_utf8_lossy(&output.stderr);
    for text in expected {
        assert!(errors.contains(text), "{errors}");
    }
}

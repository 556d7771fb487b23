//! Wire and storage formats of released builds, byte for byte: builds of two versions run side by side.
//!
//! `golden/` has a file for each supported build, written by that build with
//! `GOLDEN_OUT=FILE cargo test -p dalestand-dissemination --test golden`. The current code must read
//! each line and write the same bytes, so that nodes of that build can read it. A build ignores
//! messages of kinds that it does not know as unreadable.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dalestand_dissemination::{
    ClassRow, DeclarationPart, DeclarationRequest, EngineCode, EngineLimit, EngineLimits,
    EngineLoad, EngineNotices, EngineRuns, EngineStart, EnginesOfVersion, EntriesFreshness,
    EntriesPage, EntriesRequest, EntryRecord, Exchange, FingerprintKeyAnswer,
    FingerprintKeyRequest, IncludedReport, LeaseHolder, LoadScope, LoadSlice, LoadsMessage,
    MESSAGE_VERSION, Message, News, NewsBatch, NodeEntry, NodeNumber, OriginAnswer, OriginRequest,
    PartEvidence, PartsRequest, PermitAnswer, PermitNeed, PermitRequest, PlacedPart, Placement,
    PlacementState, PoolDemand, RecordedStream, RecordedStreams, Relay, Report, RoleChange,
    SlownessRow, SoftwareRequest, SoftwareVersions, SumScope, SummedRows, SumsMessage, Table,
    TenantRow, TenantRows, UsageReport,
};
use dalestand_duties::NodeIncarnation;
use dalestand_quarantine::{
    CrashRecord, EngineRunId, PartCompletion, PartCrash, PartFingerprint, RequestFingerprint,
    SuspectPart,
};
use dalestand_routing::{
    ClassFigures, SlownessFigures, TenantCode, TenantFigures, WorkKind, WorkRate,
};
use dalestand_stream_origins::{StreamKey, StreamOrigin, VersionsServing};
use dalestand_types::{PoolName, RequestRate, SoftwareVersion, TenantName, ZoneName};
use serde::Deserialize;

/// Written by the first supported build.
const GOLDEN: &str = include_str!("golden/first-of-upgrades.txt");

/// Written by the build that introduced permits: the message kinds added since the first.
const GOLDEN_OF_PERMITS: &str = include_str!("golden/permits.txt");

/// Written by the build that introduced fleet-wide statistics.
const GOLDEN_OF_SUMS: &str = include_str!("golden/sums.txt");

/// Written by the build that introduced the freshness of entries.
const GOLDEN_OF_FRESHNESS: &str = include_str!("golden/freshness.txt");

/// Written by the build that introduced software versions and origins of streams.
const GOLDEN_OF_STREAMS: &str = include_str!("golden/streams.txt");

/// Written by the build that introduced evidence against prompt parts.
const GOLDEN_OF_PARTS: &str = include_str!("golden/parts.txt");

/// Written by the build that introduced ends of engine runs.
const GOLDEN_OF_RUNS: &str = include_str!("golden/runs.txt");

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 35], 7_660))
}

fn slice() -> LoadSlice {
    LoadSlice {
        slice: 0,
        slices: 1,
        loads: vec![EngineLoad {
            engine: EngineCode(70_000),
            requests: 3,
            starting: 1,
            unprefilled_tokens: 17_000,
        }],
    }
}

fn demand() -> Vec<PoolDemand> {
    vec![PoolDemand {
        pool: PoolName::from("captions"),
        disaggregated_tokens_per_s: 1_234.5,
        colocated_tokens_per_s: 6.0,
    }]
}

fn crash() -> CrashRecord {
    let text = "7a9b01ef7431becd0ba7cc9e0b36dd51";
    CrashRecord {
        fingerprint: RequestFingerprint::parse(text).expect("a fingerprint"),
        engine: EngineRunId(9),
        age_ms: 1_500,
        is_cleared: false,
    }
}

fn news() -> News {
    let state = PlacementState::Prefilled;
    News {
        origin: NodeNumber(4),
        placed: vec![Placement {
            engine: EngineCode(70_000),
            state,
            parts: vec![PlacedPart {
                id: 0x5c1e_07a2,
                tokens: 800,
            }],
            own_tokens: 250,
        }],
        role_changes: vec![RoleChange {
            engine: u64::MAX,
            at_most_ms: 900,
        }],
        crashes: vec![crash()],
    }
}

fn records() -> Vec<EntryRecord> {
    let value = Some("[\"i-7\",\"s\",\"10.1.0.9:80\",\"z\",4,true,\"p\",\"o\"]".to_owned());
    vec![
        EntryRecord {
            key: "engines/i-7".to_owned(),
            value,
            revision: 41,
        },
        EntryRecord {
            key: "engines/i-8".to_owned(),
            value: None,
            revision: 42,
        },
    ]
}

fn holder() -> Option<LeaseHolder> {
    Some(LeaseHolder {
        node: NodeNumber(2),
        address: address(),
        token: 31,
    })
}

/// One message of each kind known to the first supported build.
fn samples() -> BTreeMap<&'static str, Message> {
    let node = NodeNumber(1);
    let report = Report {
        node,
        sequence: 7,
        is_probe: false,
        work: slice().loads,
        demand: demand(),
        news: news(),
    };
    let exchange = Exchange {
        node,
        age_ms: 40,
        work: slice(),
        demand: demand(),
        news: vec![news()],
        changes: records(),
        stopped: vec![crash()],
        holder: holder(),
        declaration: 12,
    };
    let table = Table {
        node,
        node_count: 9,
        age_ms: 40,
        work: slice(),
        included: vec![IncludedReport { node, sequence: 7 }],
        news: vec![news()],
        changes: records(),
        entries_digest: 99,
        stopped: Vec::new(),
        relays: vec![Relay {
            number: node,
            zone: ZoneName::from("z"),
            address: address(),
        }],
        holder: None,
        declaration: 12,
    };
    let loads = LoadsMessage {
        node,
        scope: LoadScope::Fleet,
        age_ms: 40,
        work: slice(),
    };
    let page = EntriesPage {
        node,
        revision: 42,
        first: 0,
        last: u64::MAX,
        records: records(),
    };
    let entries_request = EntriesRequest {
        node,
        digests: vec![1, 2, 3],
        max_bytes: 60_000,
    };
    let declaration = DeclarationPart {
        revision: 12,
        part: 0,
        parts: 2,
        text: "revision = 12".to_owned(),
    };
    let declaration_request = DeclarationRequest {
        node,
        revision: 12,
        missing: vec![1],
    };
    let news_batch = NewsBatch {
        node,
        news: vec![news()],
    };
    BTreeMap::from([
        ("report", Message::Report(report)),
        ("exchange", Message::Exchange(exchange)),
        ("table", Message::Table(table)),
        ("news", Message::News(news_batch)),
        ("loads", Message::Loads(loads)),
        ("changes", Message::Changes(records())),
        (
            "parts-request",
            Message::PartsRequest(PartsRequest { node }),
        ),
        ("entries-request", Message::EntriesRequest(entries_request)),
        ("entries", Message::Entries(page)),
        ("usage", Message::Usage(usage())),
        (
            "declaration-request",
            Message::DeclarationRequest(declaration_request),
        ),
        ("declaration", Message::Declaration(declaration)),
    ])
}

/// One message of each kind added later, except fleet-wide statistics.
fn later_samples() -> BTreeMap<&'static str, Message> {
    let node = NodeNumber(1);
    let start = EngineStart {
        engine: u64::MAX,
        started_at_ms: 1_790_000_000_000,
    };
    let limit = EngineLimit {
        start,
        rate: RequestRate::per_second(4.1),
        age_ms: 120,
    };
    let ended = EngineLimit {
        rate: None,
        ..limit
    };
    let engines = EngineNotices {
        node,
        draining: vec![start],
        starts: vec![start],
    };
    let request = |need| PermitRequest {
        node,
        number: 9,
        need,
        limit,
    };
    let answer = PermitAnswer {
        number: 9,
        engine: u64::MAX,
        permits: 2,
        retry_in_ms: 0,
    };
    let limits = EngineLimits {
        node,
        limits: vec![limit, ended],
    };
    let (asks, counted) = (request(PermitNeed::Request), request(PermitNeed::Counted));
    BTreeMap::from([
        ("engines", Message::Engines(engines)),
        ("limits", Message::Limits(limits)),
        ("permit-request", Message::PermitRequest(asks)),
        ("permit-counted", Message::PermitRequest(counted)),
        ("permit-answer", Message::PermitAnswer(answer)),
    ])
}

fn class_figures() -> ClassFigures {
    ClassFigures {
        asked_per_s: 402.5,
        returned_per_s: 88.25,
        begun_per_s: 131.5,
        refused_per_s: 352.0,
        over_share_per_s: 40.0,
        engine_refusals_per_s: 7.5,
        busy_slots: 231.75,
        prefill_tokens_per_s: 93_000.0,
        waiting: 41.0,
        returns_due: 310.0,
    }
}

fn tenant_figures() -> TenantFigures {
    let work = |slots, prompt_tokens_per_s| WorkRate {
        slots,
        prompt_tokens_per_s,
    };
    TenantFigures {
        asked: work(12.5, 17_000.0),
        begun: work(3.25, 4_000.0),
    }
}

/// Fleet-wide statistics in each form and scope.
fn sums_samples() -> BTreeMap<&'static str, Message> {
    let sums = |scope, rows| {
        let node = NodeNumber(1);
        Message::Sums(SumsMessage { node, scope, rows })
    };
    let classes = vec![ClassRow {
        pool: PoolName::from("captions"),
        priority: 3,
        figures: class_figures(),
    }];
    let tenants = TenantRows {
        pool: PoolName::from("captions"),
        priority: 3,
        rows: vec![TenantRow {
            tenant: TenantCode::of(&TenantName::from("crag")),
            figures: tenant_figures(),
        }],
    };
    let slowness = [WorkKind::Prefill, WorkKind::Decode, WorkKind::Opaque];
    let slowness = slowness.map(|kind| SlownessRow {
        engine: EngineCode(70_000),
        kind,
        figures: SlownessFigures {
            weight: 12.5,
            log_slowness: -1.25,
        },
    });
    BTreeMap::from([
        (
            "sums-classes",
            sums(SumScope::Node, SummedRows::Classes(classes)),
        ),
        (
            "sums-tenants",
            sums(SumScope::Members, SummedRows::Tenants(tenants)),
        ),
        (
            "sums-slowness",
            sums(SumScope::Fleet, SummedRows::Slowness(slowness.to_vec())),
        ),
    ])
}

fn usage() -> UsageReport {
    UsageReport {
        origin: NodeIncarnation {
            node: 1,
            incarnation: 5,
        },
        windows: Vec::new(),
    }
}

fn encoded(message: &Message) -> Vec<u8> {
    rmp_serde::to_vec(&(MESSAGE_VERSION, message)).expect("encoded")
}

fn freshness_samples() -> BTreeMap<&'static str, Message> {
    let freshness = EntriesFreshness {
        node: NodeNumber(7),
        age_ms: 612,
        digest: 1 << 60,
    };
    BTreeMap::from([("freshness", Message::Freshness(freshness))])
}

fn stream_samples() -> BTreeMap<&'static str, Message> {
    let node = NodeNumber(7);
    let (pool, software) = (PoolName::from("captions"), SoftwareVersion::from("v1.1"));
    let recorded = RecordedStream {
        stream: StreamKey(1 << 50),
        origin: StreamOrigin {
            pool: pool.clone(),
            software: software.clone(),
        },
        age_ms: 40,
    };
    let requested = SoftwareRequest {
        node,
        engines: vec![9, u64::MAX],
    };
    let versions = SoftwareVersions {
        node,
        versions: vec![EnginesOfVersion {
            software: software.clone(),
            engines: vec![9],
        }],
    };
    let request = OriginRequest {
        node,
        number: 3,
        stream: recorded.stream,
        pools: vec![pool],
    };
    let answer = OriginAnswer {
        node,
        number: 3,
        recorded: Some(recorded.clone()),
        versions: vec![
            VersionsServing::Sole(software),
            VersionsServing::Several,
            VersionsServing::Unknown,
        ],
    };
    let streams = RecordedStreams {
        node,
        streams: vec![recorded],
    };
    BTreeMap::from([
        ("software-request", Message::SoftwareRequest(requested)),
        ("software", Message::SoftwareVersions(versions)),
        ("streams", Message::RecordedStreams(streams)),
        ("origin-request", Message::OriginRequest(request)),
        ("origin-answer", Message::OriginAnswer(answer)),
    ])
}

fn part_samples() -> BTreeMap<&'static str, Message> {
    let part = PartFingerprint::parse("7a9b01ef7431becd").expect("a fingerprint");
    let suspect = |completed_ms| SuspectPart {
        part,
        arrivals: 300,
        completed_ms,
    };
    let evidence = PartEvidence {
        node: NodeNumber(7),
        crashes: vec![PartCrash {
            engine: EngineRunId(9),
            age_ms: 1_500,
            request: 70_000,
            is_trial: true,
            parts: vec![suspect(None), suspect(Some(40))],
        }],
        completions: vec![PartCompletion { part, age_ms: 300 }],
    };
    let request = FingerprintKeyRequest {
        node: NodeNumber(7),
    };
    let answer = FingerprintKeyAnswer {
        key: "5a".repeat(32),
    };
    BTreeMap::from([
        ("part-evidence", Message::PartEvidence(evidence)),
        ("key-request", Message::FingerprintKeyRequest(request)),
        ("key", Message::FingerprintKeyAnswer(answer)),
    ])
}

fn run_samples() -> BTreeMap<&'static str, Message> {
    let start = |engine| EngineStart {
        engine,
        started_at_ms: 1_790_000_000_000,
    };
    let runs = EngineRuns {
        node: NodeNumber(7),
        ended: vec![start(9)],
        confirmed: vec![start(u64::MAX)],
    };
    BTreeMap::from([("engine-runs", Message::EngineRuns(runs))])
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(text, 16).expect("a byte")
    };
    digits.map(byte).collect()
}

fn node_entry() -> NodeEntry {
    NodeEntry {
        address: address(),
        zone: ZoneName::from("duluth-vault"),
        link_mbps: 200,
    }
}

fn lines_of(golden: &'static str) -> BTreeMap<&'static str, &'static str> {
    let lines = golden.lines();
    lines.filter_map(|line| line.split_once(' ')).collect()
}

fn check_format(golden: &BTreeMap<&str, &str>, samples: BTreeMap<&'static str, Message>) {
    for (kind, message) in samples {
        let written = bytes(golden.get(kind).expect("a line of each kind"));
        let read: (u8, Message) = rmp_serde::from_slice(&written).expect(kind);
        assert_eq!(read, (MESSAGE_VERSION, message.clone()), "{kind} is read");
        assert_eq!(hex(&encoded(&message)), hex(&written), "{kind} is written");
    }
}

#[test]
fn messages_match_the_released_builds() {
    if let Ok(file) = std::env::var("GOLDEN_OUT") {
        let samples = samples().into_iter().chain(later_samples());
        let samples = samples.chain(sums_samples()).chain(freshness_samples());
        let samples = samples.chain(stream_samples()).chain(part_samples());
        let samples = samples.chain(run_samples());
        let samples: BTreeMap<&str, Message> = samples.collect();
        let lines = samples
            .iter()
            .map(|(kind, message)| format!("{kind} {}\n", hex(&encoded(message))));
        let entry = node_entry().to_text().expect("a text");
        let text: String = lines.chain([format!("node-entry {entry}\n")]).collect();
        std::fs::write(file, text).expect("written");
        return;
    }
    let golden = lines_of(GOLDEN);
    check_format(&golden, samples());
    check_format(&lines_of(GOLDEN_OF_PERMITS), later_samples());
    check_format(&lines_of(GOLDEN_OF_SUMS), sums_samples());
    check_format(&lines_of(GOLDEN_OF_FRESHNESS), freshness_samples());
    check_format(&lines_of(GOLDEN_OF_STREAMS), stream_samples());
    check_format(&lines_of(GOLDEN_OF_PARTS), part_samples());
    check_format(&lines_of(GOLDEN_OF_RUNS), run_samples());
    let entry = NodeEntry::parse(golden["node-entry"]).expect("an entry");
    assert_eq!(entry, node_entry());
    let text = node_entry().to_text().expect("a text");
    assert_eq!(text, golden["node-entry"]);
}

#[test]
fn a_placement_state_is_encoded_as_one_byte() {
    let states = [
        (PlacementState::Sent, 0),
        (PlacementState::Prefilled, 1),
        (PlacementState::NotPrefilled, 2),
    ];
    for (state, byte) in states {
        assert_eq!(rmp_serde::to_vec(&state).expect("encoded"), [byte]);
        let read: PlacementState = rmp_serde::from_slice(&[byte]).expect("a state");
        assert_eq!(read, state);
    }
}

#[test]
fn a_message_of_an_unknown_kind_is_unreadable() {
    let unknown = rmp_serde::to_vec(&(MESSAGE_VERSION, BTreeMap::from([("Unheard", 5)])));
    let read = rmp_serde::from_slice::<(u8, Message)>(&unknown.expect("encoded"));
    assert!(read.is_err());
}

/// Message kinds of the build before fleet-wide statistics.
#[derive(Debug, Deserialize)]
#[expect(dead_code, reason = "only whether they are read matters")]
enum PreviousMessage {
    Report(Report),
    Exchange(Exchange),
    Table(Table),
    News(NewsBatch),
    Loads(LoadsMessage),
    Changes(Vec<EntryRecord>),
    PartsRequest(PartsRequest),
    EntriesRequest(EntriesRequest),
    Entries(EntriesPage),
    Usage(UsageReport),
    DeclarationRequest(DeclarationRequest),
    Declaration(DeclarationPart),
    Engines(EngineNotices),
    Limits(EngineLimits),
    PermitRequest(PermitRequest),
    PermitAnswer(PermitAnswer),
}

/// Nodes of that build must still read every other message.
#[test]
fn a_previous_build_reads_all_but_the_statistics() {
    let is_read = |message: &Message| {
        let read: Result<(u8, PreviousMessage), _> = rmp_serde::from_slice(&encoded(message));
        read.is_ok()
    };
    for (kind, message) in samples().into_iter().chain(later_samples()) {
        assert!(is_read(&message), "{kind}");
    }
    for (kind, message) in sums_samples().into_iter().chain(freshness_samples()) {
        assert!(!is_read(&message), "{kind}");
    }
}

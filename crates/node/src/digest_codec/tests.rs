//! Accuracy and size of encoded digests.

use dalestand_cluster::{Cluster, ClusterConfig, Member, Record, RecordKey, RecordVersion};
use dalestand_config::Deployment;
use dalestand_types::{
    AdapterName, EngineDigest, EngineId, EngineLoad, Incarnation, LoadedModel, ModelName, NodeId,
    Role, Sequence, Version, ZoneName,
};

use super::{CompactDigest, RatedReport};
use crate::compact_number::{MAX_COUNT, pack, unpack};
use crate::token_rates::TokenRates;

const ENGINES: usize = 64;

fn deployment(engines: usize) -> Deployment {
    let names: Vec<String> = (0..engines)
        .map(|number| format!("\"e{number}\""))
        .collect();
    let text = format!(
        "format = 1\nname = \"d\"\n[[model]]\nname = \"m\"\nversion = \"1\"\nweights_gib = 1.0\n\
         [[model.adapter]]\nname = \"a\"\nversion = \"2\"\n\
         [[pool]]\nname = \"p\"\nmodels = [\"m\"]\n\
         [[group]]\npool = \"p\"\nzone = \"z\"\nengines = [{}]\n",
        names.join(", ")
    );
    Deployment::parse(&text).expect("a deployment without faults")
}

fn report(number: usize) -> EngineDigest {
    let model = LoadedModel {
        model: ModelName::from("m"),
        version: Version::from("1"),
        adapters: vec![AdapterName::from("a")],
    };
    let load = EngineLoad {
        engine: EngineId::from(format!("e{number}")),
        incarnation: Incarnation(1_790_000_000_000 + number as u64),
        sequence: Sequence(99),
        role: Some(Role::Decode),
        running: number as u32,
        waiting: 4_000,
        queued_prefill_tokens: 131_072,
        capacity: 512,
        cache_tokens_used: 1,
        cache_tokens_total: 2,
        prefill_tokens_total: 3,
        decode_tokens_total: 4,
        models: vec![model],
    };
    EngineDigest {
        load,
        age_ms: 1_280,
        accepting: number.is_multiple_of(2),
    }
}

fn packed(deployment: &Deployment) -> CompactDigest {
    let rates = TokenRates {
        prefill_per_s: 100_000.0,
        decode_per_s: 4_800.0,
    };
    let reports: Vec<RatedReport> = (0..ENGINES)
        .map(|number| RatedReport {
            digest: report(number),
            rates,
        })
        .collect();
    CompactDigest::pack(NodeId::from("n"), &deployment.groups[0], &reports)
}

#[test]
fn a_reader_gets_back_what_routing_needs() {
    let deployment = deployment(ENGINES);
    let bytes = rmp_serde::to_vec(&packed(&deployment)).expect("bytes");
    let read: CompactDigest = rmp_serde::from_slice(&bytes).expect("a digest");
    let reports = read
        .unpack(&deployment, &deployment.groups[0])
        .expect("the same list");
    assert_eq!(reports.len(), ENGINES);
    for (number, unpacked) in reports.iter().enumerate() {
        let sent = report(number);
        assert_eq!(unpacked.index, number);
        assert_eq!(unpacked.role, sent.load.role);
        assert_eq!(unpacked.accepting, sent.accepting);
        assert_eq!(unpacked.models, sent.load.models);
        assert_eq!(unpacked.running, sent.load.running);
        assert!(unpacked.waiting.abs_diff(sent.load.waiting) <= sent.load.waiting / 32);
        assert_eq!(
            unpacked.queued_prefill_tokens,
            sent.load.queued_prefill_tokens
        );
        assert_eq!(unpacked.capacity, sent.load.capacity);
        assert_eq!(unpacked.age.as_millis(), u128::from(sent.age_ms));
        assert!(unpacked.matches_incarnation(sent.load.incarnation));
        assert!(!unpacked.matches_incarnation(sent.load.incarnation.next()));
    }
    for rates in read.rates() {
        let lost = 100_000.0 - rates.prefill_per_s;
        assert!((0.0..=100_000.0 / 32.0).contains(&lost), "{rates:?}");
        assert!(
            (0.0..=4_800.0 / 32.0).contains(&(4_800.0 - rates.decode_per_s)),
            "{rates:?}"
        );
    }
}

#[test]
fn a_packed_count_is_exact_when_small_and_close_when_large() {
    for count in 0..=MAX_COUNT {
        let read = unpack(pack(count));
        assert!(
            read <= count && count - read <= count / 32,
            "{count} {read}"
        );
        assert!(count >= 64 || read == count, "{count} {read}");
    }
    assert_eq!(unpack(pack(u64::MAX)), MAX_COUNT);
}

#[test]
fn a_reader_with_another_list_of_engines_ignores_the_digest() {
    let digest = packed(&deployment(ENGINES));
    let other = deployment(ENGINES - 1);
    assert_eq!(digest.unpack(&other, &other.groups[0]), None);
}

#[test]
fn the_largest_group_fits_one_datagram() {
    let deployment = deployment(ENGINES);
    let payload = rmp_serde::to_vec(&packed(&deployment)).expect("bytes");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let me = Member {
        node: NodeId::from("n"),
        incarnation: Incarnation(1),
        zone: ZoneName::from("z"),
        address,
        operator_address: address,
    };
    let mut cluster = Cluster::new(me, Vec::new(), ClusterConfig::default());
    let record = Record {
        key: RecordKey::GroupDigest(deployment.groups[0].id()),
        version: RecordVersion {
            major: u64::MAX,
            minor: u64::MAX,
        },
        payload: payload.clone().into(),
    };
    let published = cluster.publish_digest(record, &ZoneName::from("z"));
    assert_eq!(published, Ok(true), "{} bytes", payload.len());
}

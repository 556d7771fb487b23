//! Versions of engines as they are listed, reported and restarted in any order.

use dalestand_routing::staged::EngineKey;
use dalestand_stream_origins::{EngineVersions, StoredVersions, VersionsServing};
use dalestand_types::{MonotonicTime, PoolName, SoftwareVersion};
use rstest::rstest;

const ENGINE: EngineKey = EngineKey(7);

fn pool() -> PoolName {
    PoolName::from("captions")
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::from(text)
}

/// What is stored after streams have begun at these versions in a new fleet.
fn stored(serving: &[&str]) -> StoredVersions {
    let mut stored = StoredVersions::new(0, true);
    serving.iter().for_each(|text| stored.serve(version(text)));
    stored
}

/// Guards against streams that begin at a version of which a node that starts later finds nothing.
#[rstest]
fn a_listed_engine_is_missing_until_its_version_is_reported_and_stored() {
    let mut versions = EngineVersions::default();
    versions.list(ENGINE, &pool());
    assert_eq!(versions.missing().collect::<Vec<_>>(), [ENGINE]);
    versions.record(ENGINE, version("v1"));
    assert_eq!(versions.get(ENGINE), None);
    assert!(versions.unstored(&pool()).contains(&version("v1")));
    let changed = versions.set_stored(&pool(), Some(stored(&["v1"])));
    assert_eq!(changed, [ENGINE]);
    assert_eq!(versions.missing().len(), 0);
    assert_eq!(versions.get(ENGINE), Some(&version("v1")));
    versions.record(ENGINE, version("v2"));
    assert_eq!(versions.get(ENGINE), None);
    assert_eq!(versions.missing().collect::<Vec<_>>(), [ENGINE]);
    versions.record_stored_elsewhere(ENGINE, version("v1"));
    assert_eq!(versions.get(ENGINE), None, "the entry names another");
    versions.record_stored_elsewhere(ENGINE, version("v2"));
    assert_eq!(versions.get(ENGINE), Some(&version("v2")));
    assert_eq!(versions.clear_stored(), [ENGINE]);
    assert_eq!(versions.get(ENGINE), None);
}

/// A restarted engine may have other software, and its entry may say so later.
#[rstest]
fn a_restarted_engine_has_no_known_version() {
    let mut versions = EngineVersions::default();
    versions.record(ENGINE, version("v1"));
    versions.list(ENGINE, &pool());
    versions.set_stored(&pool(), Some(stored(&["v1"])));
    versions.forget(ENGINE);
    assert_eq!(versions.get(ENGINE), None);
    assert_eq!(versions.missing().collect::<Vec<_>>(), [ENGINE]);
}

#[rstest]
fn reports_of_engines_that_are_not_listed_are_bounded() {
    let mut versions = EngineVersions::default();
    versions.list(ENGINE, &pool());
    versions.set_stored(&pool(), Some(stored(&["v1"])));
    versions.record(ENGINE, version("v1"));
    for other in 100..50_000 {
        versions.record(EngineKey(other), version("v2"));
    }
    let kept = (100..50_000).filter(|other| versions.software(EngineKey(*other)).is_some());
    assert!(kept.count() <= 2_000);
    assert_eq!(versions.get(ENGINE), Some(&version("v1")));
    versions.unlist(ENGINE);
    assert_eq!(versions.get(ENGINE), None);
    assert_eq!(versions.software(ENGINE), None);
    assert_eq!(versions.missing().len(), 0);
}

/// Guards against streams joined from two versions after the key-value service lost one of them, or a build that stored
/// versions late has run.
#[rstest]
#[case::one_version(stored(&["v1"]), true)]
#[case::two_versions(stored(&["v1", "v2"]), false)]
#[case::earlier_streams_of_unknown_versions(StoredVersions::new(0, false), false)]
#[case::engines_without_version(stored(&[""]), false)]
#[case::restored_from_a_backup(stored(&["v1"]).in_era(1), false)]
#[case::written_by_an_earlier_build(serde_json::from_str("[\"v1\"]").expect("a list"), false)]
fn a_sole_version_is_certain(#[case] mut stored: StoredVersions, #[case] is_certain: bool) {
    assert_eq!(stored.sole().is_some(), is_certain);
    let text = serde_json::to_string(&stored).expect("a text");
    let read: StoredVersions = serde_json::from_str(&text).expect("what was written");
    assert_eq!(read, stored);
    let mut versions = EngineVersions::default();
    stored.serve(version("v1"));
    versions.set_stored(&pool(), Some(stored));
    let is_sole = matches!(versions.serving(&pool()), VersionsServing::Sole(_));
    assert_eq!(is_sole, is_certain);
}

/// A version whose engines have ended is retired, and removed when its streams have expired.
#[rstest]
fn versions_without_engines_expire_in_two_steps() {
    let at = |seconds: u64| MonotonicTime::from_millis(1_000 * seconds);
    let mut versions = EngineVersions::default();
    versions.list(ENGINE, &pool());
    versions.record(ENGINE, version("v2"));
    versions.set_stored(&pool(), Some(stored(&["v1", "v2"])));
    assert_eq!(versions.without_expired(at(1), &pool()), None);
    assert_eq!(versions.without_expired(at(20), &pool()), None);
    let retired = versions.without_expired(at(31), &pool());
    let retired = retired.expect("v1 is retired");
    assert!(!retired.is_serving(&version("v1")));
    assert_eq!(retired.sole(), None);
    versions.set_stored(&pool(), Some(retired));
    assert_eq!(versions.without_expired(at(750), &pool()), None);
    let expired = versions.without_expired(at(751), &pool());
    assert_eq!(
        expired.expect("v1 has expired").sole(),
        Some(&version("v2"))
    );
}

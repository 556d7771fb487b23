//! What is stored of several pools.

use dalestand_stream_origins::StoredVersions;
use dalestand_types::SoftwareVersion;
use rstest::rstest;

use super::*;

/// Guards against a stream of a route that is split between pools, which goes on in another pool than the one that began it.
#[rstest]
#[case::one_pool(&["a"], Some("a"))]
#[case::two_pools_of_one_version_each(&["a", "b"], None)]
#[case::a_pool_of_which_nothing_is_stored(&["c"], None)]
fn a_stream_without_a_record_has_an_origin_only_in_a_single_pool(
    #[case] pools: &[&str],
    #[case] expected: Option<&str>,
) {
    let mut versions = StoredVersions::new(0, true);
    versions.serve(SoftwareVersion::from("v1"));
    let stored = ["a", "b"].map(|pool| (PoolName::from(pool), versions.clone()));
    let pools: Vec<PoolName> = pools.iter().map(|pool| PoolName::from(*pool)).collect();
    let origin = sole_origin(&stored.into_iter().collect(), &pools);
    let pool = origin.map(|origin| origin.pool);
    assert_eq!(pool.as_ref().map(PoolName::as_str), expected);
}

//! The deployment and names of a hollow fleet.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use dalestand_types::ZoneName;

use super::options::Options;

/// Pools, each with a model of its own.
const POOLS: usize = 8;

/// The zone of a node or engine, by its number.
pub(super) fn zone(options: &Options, number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{}", number % options.zones))
}

/// Name of an engine.
pub(super) fn engine_name(number: usize) -> String {
    format!("engine-{number:03}")
}

/// Name of a node.
pub(super) fn node_name(number: usize) -> String {
    format!("node-{number:03}")
}

/// The deployment file; files with different `edition` differ in one tenant or in the name.
pub(super) fn text(options: &Options, edition: usize) -> String {
    let mut text = format!("format = 1\nname = \"hollow-{edition}\"\n");
    text.push_str("\n[callers]\nrequire_key = false\n");
    // A pool without engines would be a fault of the file.
    let pools = POOLS.min(options.engines.div_ceil(options.zones));
    for pool in 0..pools {
        let _ = write!(
            text,
            "\n[[model]]\nname = \"model-{pool}\"\nversion = \"1\"\nweights_gib = 1.0\n\
             \n[[pool]]\nname = \"pool-{pool}\"\nmodels = [\"model-{pool}\"]\n"
        );
    }
    for ((pool, zone), engines) in groups(options) {
        let names: Vec<String> = engines.iter().map(|name| format!("\"{name}\"")).collect();
        let _ = write!(
            text,
            "\n[[group]]\npool = \"pool-{pool}\"\nzone = \"{zone}\"\nengines = [{}]\n",
            names.join(", ")
        );
    }
    text.push_str(
        "\n[[class]]\nname = \"usual\"\npriority = 3\nfirst_token_ms = 2000\ndeadline_ms = 60000\n",
    );
    for tenant in 0..options.tenants {
        write_tenant(&mut text, tenant, edition);
    }
    text
}

/// Engines by pool and zone.
fn groups(options: &Options) -> BTreeMap<(usize, ZoneName), Vec<String>> {
    let mut groups: BTreeMap<(usize, ZoneName), Vec<String>> = BTreeMap::new();
    for engine in 0..options.engines {
        let pool = engine / options.zones % POOLS;
        let group = groups.entry((pool, zone(options, engine))).or_default();
        group.push(engine_name(engine));
    }
    groups
}

fn write_tenant(text: &mut String, tenant: usize, edition: usize) {
    let name = format!("tenant-{tenant:05}");
    let key = blake3::hash(name.as_bytes()).to_hex();
    let rate = if tenant == edition { 2_000 } else { 1_000 };
    let _ = write!(
        text,
        "\n[[tenant]]\nname = \"{name}\"\nkey_blake3 = \"{key}\"\nclass = \"usual\"\n\
         tokens_per_second = {rate}\nburst_tokens = 10000\n"
    );
}

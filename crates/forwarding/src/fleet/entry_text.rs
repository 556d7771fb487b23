//! Compact form of engine entries in messages between nodes, a third of the size of the entry itself.
//! After a start each node receives all of them.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::routed::EngineEntry;
use dalestand_types::{PoolName, Role, ZoneName};
use serde::{Deserialize, Serialize};

/// Encoded as a JSON array in the order of the fields.
#[derive(Deserialize, Serialize)]
struct EntryText(
    Arc<str>,
    PoolName,
    SocketAddr,
    ZoneName,
    u32,
    bool,
    Option<RoleCode>,
    TenureCode,
);

#[derive(Clone, Copy, Deserialize, Serialize)]
enum RoleCode {
    #[serde(rename = "p")]
    Prefill,
    #[serde(rename = "d")]
    Decode,
    #[serde(rename = "m")]
    Mixed,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
enum TenureCode {
    #[serde(rename = "o")]
    OnDemand,
    #[serde(rename = "s")]
    Spot,
}

/// Encodes an entry.
pub(crate) fn write(entry: &EngineEntry) -> String {
    let role = entry.role.map(|role| match role {
        Role::Prefill => RoleCode::Prefill,
        Role::Decode => RoleCode::Decode,
        Role::Mixed => RoleCode::Mixed,
    });
    let provisioning = match entry.provisioning {
        ProvisioningModel::OnDemand => TenureCode::OnDemand,
        ProvisioningModel::Spot => TenureCode::Spot,
    };
    let text = EntryText(
        Arc::clone(&entry.run),
        entry.pool.clone(),
        entry.address,
        entry.zone.clone(),
        entry.slots,
        entry.accepting,
        role,
        provisioning,
    );
    // Cannot fail: the fields are strings, numbers and an address.
    serde_json::to_string(&text).unwrap_or_default()
}

/// Parses the text of [`write`].
pub(crate) fn read(text: &str) -> Result<EngineEntry, serde_json::Error> {
    let EntryText(run, pool, address, zone, slots, accepting, role, provisioning) =
        serde_json::from_str(text)?;
    Ok(EngineEntry {
        run,
        // Sent separately, so that builds without start times can read this text.
        started_at_ms: None,
        pool,
        address,
        zone,
        slots,
        accepting,
        role: role.map(|role| match role {
            RoleCode::Prefill => Role::Prefill,
            RoleCode::Decode => Role::Decode,
            RoleCode::Mixed => Role::Mixed,
        }),
        provisioning: match provisioning {
            TenureCode::OnDemand => ProvisioningModel::OnDemand,
            TenureCode::Spot => ProvisioningModel::Spot,
        },
        // Sent separately, for the same reason.
        software: None,
    })
}

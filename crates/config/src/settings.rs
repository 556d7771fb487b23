//! Settings of a node process, read from a file, flags or both.

use std::net::SocketAddr;

use dalestand_types::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::fault::{FaultCollector, Faults};
use crate::reader::{TableReader, read_document};

const SOCKET_ADDRESS: &str = "an IP address with a port in quotes, as \"10.0.0.7:8080\"";
const MILLISECONDS: &str = "a whole number of milliseconds";

/// Minimum lease time; with a shorter one, a single failed renewal would lose the lease.
const MIN_LEASE_MS: u64 = 300;

/// Hexadecimal digits of a BLAKE3 hash.
const HASH_DIGITS: usize = 64;

/// Minimum length of `peer_key`.
const MIN_PEER_KEY_BYTES: usize = 16;

/// How log events are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Terminal,
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    pub zone: ZoneName,
    /// Address to listen on for callers; port 0 picks a free port.
    pub caller_listen: SocketAddr,
    /// Address to listen on for operators.
    pub operator_listen: SocketAddr,
    /// Address to listen on for other nodes (UDP and TCP on the same port).
    pub peer_listen: SocketAddr,
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the machine list.
    pub machine_list: SocketAddr,
    /// Initial peer addresses for discovery, in addition to the machine list.
    pub seeds: Vec<SocketAddr>,
    /// How log events are written.
    pub log_format: LogFormat,
    /// Time to live of a group's lease, in milliseconds.
    pub lease_ms: u64,
    /// Interval between reads of the machine list, in milliseconds.
    pub machine_poll_ms: u64,
    /// Interval at which a group's lease holder polls its engines' load, in milliseconds.
    pub load_poll_ms: u64,
    /// BLAKE3 hash of the operators' key; `None` disables operator authentication.
    pub operator_key_blake3: Option<String>,
    /// Key that authenticates datagrams between nodes; `None` disables authentication.
    pub peer_key: Option<String>,
}

/// Settings from one source; a setting that the source does not give is `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialSettings {
    /// See [`NodeSettings::node`].
    pub node: Option<NodeId>,
    /// See [`NodeSettings::zone`].
    pub zone: Option<ZoneName>,
    /// See [`NodeSettings::caller_listen`].
    pub caller_listen: Option<SocketAddr>,
    /// See [`NodeSettings::operator_listen`].
    pub operator_listen: Option<SocketAddr>,
    /// See [`NodeSettings::peer_listen`].
    pub peer_listen: Option<SocketAddr>,
    /// See [`NodeSettings::key_value`].
    pub key_value: Option<SocketAddr>,
    /// See [`NodeSettings::machine_list`].
    pub machine_list: Option<SocketAddr>,
    /// See [`NodeSettings::seeds`].
    pub seeds: Option<Vec<SocketAddr>>,
    /// See [`NodeSettings::log_format`].
    pub log_format: Option<LogFormat>,
    /// See [`NodeSettings::lease_ms`].
    pub lease_ms: Option<u64>,
    /// See [`NodeSettings::machine_poll_ms`].
    pub machine_poll_ms: Option<u64>,
    /// See [`NodeSettings::load_poll_ms`].
    pub load_poll_ms: Option<u64>,
    /// See [`NodeSettings::operator_key_blake3`].
    pub operator_key_blake3: Option<String>,
    /// See [`NodeSettings::peer_key`].
    pub peer_key: Option<String>,
}

/// Defaults of optional settings.
mod default {
    pub(super) const LEASE_MS: u64 = 6_000;
    pub(super) const MACHINE_POLL_MS: u64 = 1_000;
    pub(super) const LOAD_POLL_MS: u64 = 500;
}

impl NodeSettings {
    /// Parses and validates a settings file.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        Self::parse_with(text, PartialSettings::default())
    }

    /// Parses and validates a settings file merged with `flags`, which take precedence. On failure returns every
    /// fault found.
    pub fn parse_with(text: &str, flags: PartialSettings) -> Result<Self, Faults> {
        let merged = read_document(text, |table| flags.or(read_settings(table)), validate)?;
        // `validate` has ensured that all required settings are present.
        merged.complete().ok_or_else(Faults::default)
    }
}

impl PartialSettings {
    /// Fills settings that are absent from `other`.
    fn or(self, other: Self) -> Self {
        Self {
            node: self.node.or(other.node),
            zone: self.zone.or(other.zone),
            caller_listen: self.caller_listen.or(other.caller_listen),
            operator_listen: self.operator_listen.or(other.operator_listen),
            peer_listen: self.peer_listen.or(other.peer_listen),
            key_value: self.key_value.or(other.key_value),
            machine_list: self.machine_list.or(other.machine_list),
            seeds: self.seeds.or(other.seeds),
            log_format: self.log_format.or(other.log_format),
            lease_ms: self.lease_ms.or(other.lease_ms),
            machine_poll_ms: self.machine_poll_ms.or(other.machine_poll_ms),
            load_poll_ms: self.load_poll_ms.or(other.load_poll_ms),
            operator_key_blake3: self.operator_key_blake3.or(other.operator_key_blake3),
            peer_key: self.peer_key.or(other.peer_key),
        }
    }

    /// Applies defaults; `None` if a required setting is missing.
    fn complete(self) -> Option<NodeSettings> {
        Some(NodeSettings {
            node: self.node?,
            zone: self.zone?,
            caller_listen: self.caller_listen?,
            operator_listen: self.operator_listen?,
            peer_listen: self.peer_listen?,
            key_value: self.key_value?,
            machine_list: self.machine_list?,
            seeds: self.seeds.unwrap_or_default(),
            log_format: self.log_format.unwrap_or_default(),
            lease_ms: self.lease_ms.unwrap_or(default::LEASE_MS),
            machine_poll_ms: self.machine_poll_ms.unwrap_or(default::MACHINE_POLL_MS),
            load_poll_ms: self.load_poll_ms.unwrap_or(default::LOAD_POLL_MS),
            operator_key_blake3: self.operator_key_blake3,
            peer_key: self.peer_key,
        })
    }
}

fn read_settings(table: &TableReader<'_>) -> PartialSettings {
    PartialSettings {
        node: table.optional("node", "a name in quotes"),
        zone: table.optional("zone", "a name in quotes"),
        caller_listen: table.optional("caller_listen", SOCKET_ADDRESS),
        operator_listen: table.optional("operator_listen", SOCKET_ADDRESS),
        peer_listen: table.optional("peer_listen", SOCKET_ADDRESS),
        key_value: table.optional("key_value", SOCKET_ADDRESS),
        machine_list: table.optional("machine_list", SOCKET_ADDRESS),
        seeds: table.optional("seeds", "a list of addresses in quotes"),
        log_format: table.optional("log_format", "\"json\" or \"terminal\""),
        lease_ms: table.optional("lease_ms", MILLISECONDS),
        machine_poll_ms: table.optional("machine_poll_ms", MILLISECONDS),
        load_poll_ms: table.optional("load_poll_ms", MILLISECONDS),
        operator_key_blake3: table.optional("operator_key_blake3", "64 hexadecimal digits"),
        peer_key: table.optional("peer_key", "a key in quotes"),
    }
}

fn validate(settings: &PartialSettings, faults: &mut FaultCollector) {
    let given = [
        ("node", settings.node.is_some()),
        ("zone", settings.zone.is_some()),
        ("caller_listen", settings.caller_listen.is_some()),
        ("operator_listen", settings.operator_listen.is_some()),
        ("peer_listen", settings.peer_listen.is_some()),
        ("key_value", settings.key_value.is_some()),
        ("machine_list", settings.machine_list.is_some()),
    ];
    for (key, is_given) in given {
        // An invalid value has already been reported by the reader.
        if !is_given && !faults.has_value(key) {
            let flag = key.replace('_', "-");
            faults.add(
                key,
                format!("is missing; give it in the file or by --{flag}"),
            );
        }
    }
    validate_intervals(settings, faults);
    validate_keys(settings, faults);
}

fn validate_intervals(settings: &PartialSettings, faults: &mut FaultCollector) {
    if settings.lease_ms.is_some_and(|value| value < MIN_LEASE_MS) {
        faults.add("lease_ms", format!("must be at least {MIN_LEASE_MS}"));
    }
    for (key, value) in [
        ("machine_poll_ms", settings.machine_poll_ms),
        ("load_poll_ms", settings.load_poll_ms),
    ] {
        if value == Some(0) {
            faults.add(key, "must be above 0");
        }
    }
}

fn validate_keys(settings: &PartialSettings, faults: &mut FaultCollector) {
    let is_valid_hash = |hash: &String| {
        hash.len() == HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    if settings
        .operator_key_blake3
        .as_ref()
        .is_some_and(|hash| !is_valid_hash(hash))
    {
        let message = format!("must have {HASH_DIGITS} hexadecimal digits, the key's BLAKE3 hash");
        faults.add("operator_key_blake3", message);
    }
    if settings
        .peer_key
        .as_ref()
        .is_some_and(|key| key.len() < MIN_PEER_KEY_BYTES)
    {
        faults.add(
            "peer_key",
            format!("must have at least {MIN_PEER_KEY_BYTES} characters"),
        );
    }
}

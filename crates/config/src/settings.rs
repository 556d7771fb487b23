//! Settings of a node process, from a file, from flags or from both.

use std::net::SocketAddr;

use dalestand_types::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::fault::{FaultCollector, Faults};
use crate::reader::{TableReader, read_document};

const AN_ADDRESS: &str = "an IP address with a port in quotes, as \"10.0.0.7:8080\"";
const MILLISECONDS: &str = "a whole number of milliseconds";

/// Shortest lease: below it one lost renewal would lose the lease.
const MIN_LEASE_MS: u64 = 300;

/// Hexadecimal digits of a BLAKE3 hash.
const HASH_DIGITS: usize = 64;

/// Shortest key of the nodes' own traffic.
const MIN_PEER_KEY_BYTES: usize = 16;

/// How log events are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node; unique in the fleet.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Where callers connect; port 0 takes any free one.
    pub caller_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Where other nodes connect (UDP and TCP on the same number).
    pub peer_listen: SocketAddr,
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The machine list.
    pub machine_list: SocketAddr,
    /// Peers to find the others by; the machine list names more.
    pub seeds: Vec<SocketAddr>,
    /// How log events are written.
    pub log_format: LogFormat,
    /// Time to live of a group's lease, in milliseconds.
    pub lease_ms: u64,
    /// How often the machine list is read, in milliseconds.
    pub machine_poll_ms: u64,
    /// How often a group's holder asks its engines for load, in milliseconds.
    pub load_poll_ms: u64,
    /// BLAKE3 hash of the key that operators must show; none is asked for if absent.
    pub operator_key_blake3: Option<String>,
    /// Key that nodes authenticate their datagrams with; none is used if absent.
    pub peer_key: Option<String>,
}

/// Settings as far as one source gives them.
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

/// Defaults of settings that need not be given.
mod default {
    pub(super) const LEASE_MS: u64 = 6_000;
    pub(super) const MACHINE_POLL_MS: u64 = 1_000;
    pub(super) const LOAD_POLL_MS: u64 = 500;
}

impl NodeSettings {
    /// Parses and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        Self::parse_with(text, PartialSettings::default())
    }

    /// Parses a settings file; what `flags` give goes before the file. Every fault is listed.
    pub fn parse_with(text: &str, flags: PartialSettings) -> Result<Self, Faults> {
        let merged = read_document(text, |table| flags.or(read_settings(table)), validate)?;
        // Whatever must be given was found to be there.
        merged.complete().ok_or_else(Faults::default)
    }
}

impl PartialSettings {
    /// These settings, and those of `other` where these give none.
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

    /// The settings with their defaults; `None` if one that must be given is missing.
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
        caller_listen: table.optional("caller_listen", AN_ADDRESS),
        operator_listen: table.optional("operator_listen", AN_ADDRESS),
        peer_listen: table.optional("peer_listen", AN_ADDRESS),
        key_value: table.optional("key_value", AN_ADDRESS),
        machine_list: table.optional("machine_list", AN_ADDRESS),
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
        // A value that was there and wrong has a fault of its own.
        if !is_given && !faults.has_place(key) {
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
    let written = |hash: &String| {
        hash.len() == HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    if settings
        .operator_key_blake3
        .as_ref()
        .is_some_and(|hash| !written(hash))
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

//! Settings of a node process.

use std::net::SocketAddr;

use dalestand_types::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::fault::{Fault, Faults, line_of};

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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
    /// The weight store.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Peers to find the others by.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How log events are written.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Time to live of a group's lease, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How often the machine list is read, in milliseconds.
    #[serde(default = "default_machine_poll_ms")]
    pub machine_poll_ms: u64,
    /// How often a group's holder asks its engines for load, in milliseconds.
    #[serde(default = "default_load_poll_ms")]
    pub load_poll_ms: u64,
}

fn default_lease_ms() -> u64 {
    6_000
}

fn default_machine_poll_ms() -> u64 {
    1_000
}

fn default_load_poll_ms() -> u64 {
    500
}

impl NodeSettings {
    /// Parses and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |span| line_of(text, span.start));
            Faults(vec![Fault::new(line, "", error.message())])
        })?;
        let faults = settings.validate();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Faults(faults))
        }
    }

    fn validate(&self) -> Vec<Fault> {
        let intervals = [
            ("lease_ms", self.lease_ms),
            ("machine_poll_ms", self.machine_poll_ms),
            ("load_poll_ms", self.load_poll_ms),
        ];
        let mut faults = Vec::new();
        for (path, value) in intervals {
            if value == 0 {
                faults.push(Fault::new(0, path, "must be above 0"));
            }
        }
        faults
    }
}

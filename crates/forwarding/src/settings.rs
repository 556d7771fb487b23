//! Settings of a forwarding node.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_routing::SharedRetryTerms;
use dalestand_types::{NodeId, ZoneName};
use serde::Deserialize;

/// Settings of a forwarding node, from a TOML file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardingSettings {
    /// Name of the node; unique in the fleet.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the node tells whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where other nodes send their load (UDP).
    pub peer_listen: SocketAddr,
    /// Where metrics are told, under `/metrics`; nowhere if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Speed of the node's own link, in megabits a second; unbounded if absent.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// The key-value service.
    pub key_value: SocketAddr,
    /// Time for which an engine that leaves still serves after its entry says so or is gone, in
    /// milliseconds.
    #[serde(default = "default_engine_drain_ms")]
    pub engine_drain_ms: u64,
    /// Whether the whole fleet starts for the first time, so that no node is registered yet.
    #[serde(default)]
    pub first_start: bool,
    /// Repeated sends that all nodes may make together.
    pub retries: RetrySettings,
    /// Planned stops.
    pub stop: StopSettings,
    /// Role changes.
    pub roles: RoleSettings,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
}

/// The shortest drain bound of a deployment so far.
fn default_engine_drain_ms() -> u64 {
    2_000
}

/// Role changes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSettings {
    /// Time to live of the lease under which roles are changed, in milliseconds. A new holder gives
    /// no order within this time.
    pub lease_ms: u64,
}

/// The log.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// One in so many requests that went well is logged, the same ones at every node; 1 logs all.
    /// Every failed request is logged.
    pub complete_one_in: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            complete_one_in: 32,
        }
    }
}

/// Repeated sends that all nodes may make together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends allowed besides.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Whether a former life of the node may have made repeated sends.
    #[serde(default)]
    pub former_life: bool,
}

/// Planned stops.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Time after which the process is killed, in seconds.
    pub grace_s: f64,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// The text is no settings file.
    #[error("{0}")]
    Unreadable(String),
    /// A figure lies outside its bounds.
    #[error("{field}: {value} must {bound}")]
    OutOfBounds {
        field: &'static str,
        value: f64,
        bound: &'static str,
    },
}

impl ForwardingSettings {
    /// Parses and checks settings; every fault is listed.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| vec![SettingsFault::Unreadable(error.to_string())])?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn faults(&self) -> Vec<SettingsFault> {
        let at_least_0 = [
            ("retries.ratio", self.retries.ratio),
            ("retries.slack", self.retries.slack),
        ];
        let above_0 = [
            ("retries.window_s", self.retries.window_s),
            ("stop.grace_s", self.stop.grace_s),
            ("roles.lease_ms", self.roles.lease_ms as f64),
            ("link_mbps", self.link_mbps.unwrap_or(f64::MAX)),
        ];
        let mut faults = Vec::new();
        for (field, value) in at_least_0 {
            if !value.is_finite() || value < 0.0 {
                let bound = "be 0 or more";
                faults.push(SettingsFault::OutOfBounds {
                    field,
                    value,
                    bound,
                });
            }
        }
        for (field, value) in above_0 {
            if !value.is_finite() || value <= 0.0 {
                let bound = "be above 0";
                faults.push(SettingsFault::OutOfBounds {
                    field,
                    value,
                    bound,
                });
            }
        }
        if self.log.complete_one_in == 0 {
            faults.push(SettingsFault::OutOfBounds {
                field: "log.complete_one_in",
                value: 0.0,
                bound: "be 1 or more",
            });
        }
        faults
    }

    /// Bounds of the budget of repeated sends.
    pub fn retry_terms(&self) -> SharedRetryTerms {
        SharedRetryTerms {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window: Duration::from_secs_f64(self.retries.window_s),
        }
    }

    /// Time to live of the lease under which roles are changed.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.roles.lease_ms)
    }

    /// Time for which an engine that leaves still serves.
    pub fn engine_drain(&self) -> Duration {
        Duration::from_millis(self.engine_drain_ms)
    }

    /// Time for which the node's own link carries so many bytes.
    pub fn link_time(&self, bytes: usize) -> Duration {
        let bits = bytes as f64 * 8.0;
        let seconds = self.link_mbps.map_or(0.0, |mbps| bits / (mbps * 1e6));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Time after which the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_s)
    }
}

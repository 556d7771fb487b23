//! Settings of a forwarding node.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use dalestand_planner::ScalingPolicy;
use dalestand_routing::SharedRetryLimits;
use dalestand_types::{NodeId, ZoneName};
use serde::Deserialize;

const BYTES_PER_MB: u64 = 1_000_000;

/// One in this many parts of the memory is for callers' connections.
const CONNECTION_MEMORY_PARTS: usize = 2;

/// One in this many parts of the memory is for the bodies of requests.
const BODY_MEMORY_PARTS: usize = 4;

/// One in this many parts of the memory is for answers that callers have yet to read.
const ANSWER_MEMORY_PARTS: usize = 16;

/// Memory of a connection with a head, buffers and bytes in its socket that were not read, in bytes.
const CONNECTION_BYTES: usize = 128 << 10;

/// Descriptors that are kept for files, as on the users' machines.
const DESCRIPTORS_FOR_FILES: usize = 200;

/// Settings of a forwarding node, from a TOML file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardingSettings {
    /// Name of the node; unique in the fleet.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// Address on which the node receives messages from other nodes (UDP), and connections to engines that it is to carry for
    /// them (TCP).
    pub peer_listen: SocketAddr,
    /// Address of the metrics endpoint (`/metrics`); no metrics are served if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Local address of connections to engines, on machines with several; chosen by the system if absent.
    #[serde(default)]
    pub engine_source_ip: Option<IpAddr>,
    /// Bandwidth of the node's network link, in megabits per second; unlimited if absent.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory of the machine that the process may use, in megabytes; 1,024 if absent.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Maximum number of open descriptors of the process; unlimited if absent.
    #[serde(default)]
    pub max_open_files: Option<usize>,
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Time for which a draining engine still serves after its entry was changed or removed, in
    /// milliseconds.
    #[serde(default = "default_engine_drain_ms")]
    pub engine_drain_ms: u64,
    /// Whether the fleet starts for the first time, so that no node is registered yet.
    #[serde(default)]
    pub first_start: bool,
    /// Retry budget of the whole fleet.
    pub retries: RetrySettings,
    /// Graceful shutdown.
    pub stop: StopSettings,
    /// Role changes of engines.
    pub roles: RoleSettings,
    /// Revocation of API keys; if absent, there is no time limit for it.
    #[serde(default)]
    pub revocation: Option<RevocationSettings>,
    /// Calls to the platform that one node makes for the whole fleet; none if absent.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Revocation of API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevocationSettings {
    /// Time within which a revoked key must be refused, in milliseconds.
    pub bound_ms: u64,
    /// Whether a node that could not confirm its declaration for that time refuses requests with
    /// keys. If false, it continues with the last known declaration.
    pub fail_closed: bool,
}

/// Calls to the platform that one node makes for the whole fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address of the platform service.
    pub address: SocketAddr,
    /// Duties that the platform asks for. Unknown names are ignored.
    pub names: Vec<String>,
    /// Length of a usage window, in seconds.
    #[serde(default)]
    pub usage_window_s: Option<f64>,
    /// Time after the end of a window by which its usage must be reported, in seconds.
    #[serde(default)]
    pub usage_late_s: Option<f64>,
    /// Spot engines for each engine of the operator's baseline.
    #[serde(default = "default_headroom")]
    pub engine_headroom: f64,
    /// Fraction of the operator's baseline that stays on demand, at the full price.
    #[serde(default)]
    pub on_demand_share: f64,
    /// What determines the number of engines.
    #[serde(default)]
    pub scaling: ScalingMode,
    /// Value of a busy engine to callers, as a multiple of the full price.
    #[serde(default = "default_engine_worth")]
    pub engine_worth: f64,
}

/// What determines the number of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScalingMode {
    /// The operator's baseline and prices.
    #[default]
    Fixed,
    /// Demand, prices and spot losses.
    Demand,
}

/// Name of the duty to report usage by tenant.
const USAGE_DUTY: &str = "usage_report";

/// Name of the duty to set engine counts.
const SCALING_DUTY: &str = "autoscale";

/// Twice the baseline leaves the full baseline when two of four zones lose their spot engines.
fn default_headroom() -> f64 {
    2.0
}

/// An operator who pays the full price values a busy engine at least at that.
fn default_engine_worth() -> f64 {
    1.0
}

/// Timing of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a usage window.
    pub window: Duration,
    /// Time after the end of a window by which it must be reported.
    pub report_deadline: Duration,
}

fn default_memory_mb() -> u64 {
    1_024
}

fn default_engine_drain_ms() -> u64 {
    2_000
}

/// Role changes of engines.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSettings {
    /// Time to live of the fleet lease, in milliseconds. A new holder sends no order for this long.
    pub lease_ms: u64,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// One in this many successful requests is logged, the same ones at every node; 1 logs all.
    /// Failed requests are always logged.
    pub complete_one_in: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            complete_one_in: 32,
        }
    }
}

/// Retry budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, regardless of the number of requests.
    pub slack: f64,
    /// Window over which requests and retries are counted, in seconds.
    pub window_s: f64,
    /// Time after a start until the node uses its part of `slack`, in seconds. By default so long that nothing that a
    /// former process sent counts any more. Shorter only for nodes that are started once.
    #[serde(default)]
    pub slack_delay_s: Option<f64>,
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Time after which the platform kills the process, in seconds.
    pub grace_s: f64,
}

/// A reason why settings are unusable.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// The text cannot be parsed.
    #[error("{0}")]
    Unreadable(String),
    /// A value is out of bounds.
    #[error("{field}: {value} must {bound}")]
    OutOfBounds {
        field: &'static str,
        value: f64,
        bound: &'static str,
    },
}

impl ForwardingSettings {
    /// Parses and validates settings; returns all faults.
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

    fn duty_faults(&self) -> Vec<SettingsFault> {
        let Some(duties) = &self.duties else {
            return Vec::new();
        };
        let reports = duties.names.iter().any(|name| name == USAGE_DUTY);
        let window = duties.usage_window_s.filter(|_| reports);
        let late = duties.usage_late_s.filter(|_| reports);
        let absent = if reports { f64::NAN } else { f64::MAX };
        let figures = [
            (
                "duties.usage_window_s",
                window.unwrap_or(absent),
                "be above 0",
            ),
            ("duties.usage_late_s", late.unwrap_or(absent), "be above 0"),
            (
                "duties.engine_headroom",
                duties.engine_headroom,
                "be above 0",
            ),
            ("duties.engine_worth", duties.engine_worth, "be above 0"),
        ];
        let mut faults = Vec::new();
        for (field, value, bound) in figures {
            if !value.is_finite() || value <= 0.0 {
                faults.push(SettingsFault::OutOfBounds {
                    field,
                    value,
                    bound,
                });
            }
        }
        let share = duties.on_demand_share;
        if !(0.0..=1.0).contains(&share) {
            faults.push(SettingsFault::OutOfBounds {
                field: "duties.on_demand_share",
                value: share,
                bound: "be from 0 to 1",
            });
        }
        faults
    }

    fn faults(&self) -> Vec<SettingsFault> {
        let at_least_0 = [
            ("retries.ratio", self.retries.ratio),
            ("retries.slack", self.retries.slack),
            (
                "retries.slack_delay_s",
                self.retries.slack_delay_s.unwrap_or(0.0),
            ),
        ];
        let above_0 = [
            ("retries.window_s", self.retries.window_s),
            ("stop.grace_s", self.stop.grace_s),
            ("roles.lease_ms", self.roles.lease_ms as f64),
            (
                "revocation.bound_ms",
                self.revocation
                    .map_or(f64::MAX, |keys| keys.bound_ms as f64),
            ),
            ("memory_mb", self.memory_mb as f64),
            ("link_mbps", self.link_mbps.unwrap_or(f64::MAX)),
            (
                "max_open_files",
                self.max_open_files
                    .map_or(f64::MAX, |_| self.max_caller_connections() as f64),
            ),
        ];
        let mut faults = self.duty_faults();
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

    /// Time for which an unconfirmed declaration may be used to check keys; `None` if it has no limit.
    pub fn declaration_validity(&self) -> Option<Duration> {
        let revocation = self
            .revocation
            .filter(|revocation| revocation.fail_closed)?;
        Some(Duration::from_millis(revocation.bound_ms))
    }

    /// Timing of usage reports; `None` if reporting usage is not a duty.
    pub fn usage(&self) -> Option<UsageSettings> {
        let duties = self.duties.as_ref()?;
        if !duties.names.iter().any(|name| name == USAGE_DUTY) {
            return None;
        }
        let window = Duration::try_from_secs_f64(duties.usage_window_s?).ok()?;
        let report_deadline = Duration::try_from_secs_f64(duties.usage_late_s?).ok()?;
        Some(UsageSettings {
            window,
            report_deadline,
        })
    }

    /// Whether the fleet sets the number of its engines itself.
    pub fn scales_engines(&self) -> bool {
        let duties = self.duties.iter();
        let mut names = duties.flat_map(|duties| &duties.names);
        names.any(|name| name == SCALING_DUTY)
    }

    /// The operator's policy for ordering engines.
    pub fn scaling_policy(&self) -> ScalingPolicy {
        let duties = self.duties.as_ref();
        ScalingPolicy {
            headroom: duties.map_or(1.0, |duties| duties.engine_headroom),
            on_demand_share: duties.map_or(1.0, |duties| duties.on_demand_share),
            engine_worth: duties.map_or_else(default_engine_worth, |duties| duties.engine_worth),
        }
    }

    /// What determines the number of engines.
    pub fn scaling_mode(&self) -> ScalingMode {
        let duties = self.duties.as_ref();
        duties.map_or(ScalingMode::Fixed, |duties| duties.scaling)
    }

    /// Limits of the retry budget.
    pub fn retry_limits(&self) -> SharedRetryLimits {
        SharedRetryLimits {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window: Duration::from_secs_f64(self.retries.window_s),
            slack_delay: self.retries.slack_delay_s.map(Duration::from_secs_f64),
        }
    }

    /// Time to live of the fleet lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.roles.lease_ms)
    }

    /// Time for which a draining engine still serves.
    pub fn engine_drain(&self) -> Duration {
        Duration::from_millis(self.engine_drain_ms)
    }

    /// Time that the node's link takes to transmit `bytes`; zero if its bandwidth is unlimited.
    pub fn link_time(&self, bytes: usize) -> Duration {
        let bits = bytes as f64 * 8.0;
        let seconds = self.link_mbps.map_or(0.0, |mbps| bits / (mbps * 1e6));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Bytes that the node's link transmits in `time`.
    pub fn link_bytes(&self, time: Duration) -> u32 {
        let bytes = |mbps: f64| mbps * 1e6 / 8.0 * time.as_secs_f64();
        self.link_mbps.map_or(u32::MAX, |mbps| bytes(mbps) as u32)
    }

    /// Maximum number of callers' connections: their part of the memory, and half of the descriptors that are not kept for files.
    /// The other descriptors are for connections to engines, other nodes and the key-value service.
    pub fn max_caller_connections(&self) -> usize {
        let by_memory = self.memory_bytes() / CONNECTION_MEMORY_PARTS / CONNECTION_BYTES;
        let by_descriptors = self
            .max_open_files
            .map(|limit| limit.saturating_sub(DESCRIPTORS_FOR_FILES) / 2);
        by_descriptors.map_or(by_memory, |descriptors| descriptors.min(by_memory))
    }

    /// Memory for the bodies of requests, in bytes.
    pub fn body_memory_bytes(&self) -> usize {
        self.memory_bytes() / BODY_MEMORY_PARTS
    }

    /// Memory for answers that are held until their callers read them, in bytes.
    pub fn answer_memory_bytes(&self) -> usize {
        self.memory_bytes() / ANSWER_MEMORY_PARTS
    }

    fn memory_bytes(&self) -> usize {
        let bytes = self.memory_mb.saturating_mul(BYTES_PER_MB);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Time after which the platform kills the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_s)
    }
}

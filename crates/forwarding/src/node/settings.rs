//! Settings of a forwarding node.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_planner::ScalingPolicy;
use dalestand_routing::SharedRetryLimits;
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
    /// Keys that are taken away; without a bound of their own if absent.
    #[serde(default)]
    pub revocation: Option<RevocationSettings>,
    /// Calls to the platform that one node makes for all; none if absent.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Keys that are taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevocationSettings {
    /// Time within which a key that was taken away is refused, in milliseconds.
    pub bound_ms: u64,
    /// Whether a node that could not confirm its declaration for that time refuses requests with
    /// keys. If not, it goes on under the declaration that it knows.
    pub fail_closed: bool,
}

/// Calls to the platform that one node makes for all.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Where they are made.
    pub address: SocketAddr,
    /// The duties that the platform asks for. Names that are not known are passed over.
    pub names: Vec<String>,
    /// Length of a window of usage, in seconds.
    #[serde(default)]
    pub usage_window_s: Option<f64>,
    /// Time after the end of a window in which its usage must be reported, in seconds.
    #[serde(default)]
    pub usage_late_s: Option<f64>,
    /// Spot engines for each engine of the operator's own number.
    #[serde(default = "default_headroom")]
    pub engine_headroom: f64,
    /// Share of the operator's own number of engines that stays at the full price.
    #[serde(default)]
    pub on_demand_share: f64,
    /// What the number of engines follows.
    #[serde(default)]
    pub scaling: ScalingMode,
    /// What an engine at work is worth to callers, as a multiple of the full price.
    #[serde(default = "default_engine_worth")]
    pub engine_worth: f64,
}

/// What the number of engines follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScalingMode {
    /// The operator's own number and prices.
    #[default]
    Fixed,
    /// Demand, prices and losses.
    Demand,
}

/// Name of the duty to report usage by tenant.
const USAGE_DUTY: &str = "usage_report";

/// Name of the duty to set numbers of engines.
const SCALING_DUTY: &str = "autoscale";

/// With twice the operator's number, half is left when two zones of four lose theirs.
fn default_headroom() -> f64 {
    2.0
}

/// Whoever pays the full price holds an engine at work to be worth that.
fn default_engine_worth() -> f64 {
    1.0
}

/// How usage is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which it must be reported.
    pub report_deadline: Duration,
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
            ("link_mbps", self.link_mbps.unwrap_or(f64::MAX)),
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

    /// For how long a declaration that is not confirmed holds for requests with keys; `None` where it
    /// holds for as long as it is known.
    pub fn declaration_validity(&self) -> Option<Duration> {
        let revocation = self
            .revocation
            .filter(|revocation| revocation.fail_closed)?;
        Some(Duration::from_millis(revocation.bound_ms))
    }

    /// How usage is reported; `None` if that is no duty.
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

    /// Whether the fleet sets the number of its engines.
    pub fn scales_engines(&self) -> bool {
        let duties = self.duties.iter();
        let mut names = duties.flat_map(|duties| &duties.names);
        names.any(|name| name == SCALING_DUTY)
    }

    /// What the operator allows when engines are ordered.
    pub fn scaling_policy(&self) -> ScalingPolicy {
        let duties = self.duties.as_ref();
        ScalingPolicy {
            headroom: duties.map_or(1.0, |duties| duties.engine_headroom),
            on_demand_share: duties.map_or(1.0, |duties| duties.on_demand_share),
            engine_worth: duties.map_or_else(default_engine_worth, |duties| duties.engine_worth),
        }
    }

    /// What the number of engines follows.
    pub fn scaling_mode(&self) -> ScalingMode {
        let duties = self.duties.as_ref();
        duties.map_or(ScalingMode::Fixed, |duties| duties.scaling)
    }

    /// Bounds of the budget of repeated sends.
    pub fn retry_limits(&self) -> SharedRetryLimits {
        SharedRetryLimits {
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

    /// Bytes that the node's own link carries in `time`.
    pub fn link_bytes(&self, time: Duration) -> u32 {
        let bytes = |mbps: f64| mbps * 1e6 / 8.0 * time.as_secs_f64();
        self.link_mbps.map_or(u32::MAX, |mbps| bytes(mbps) as u32)
    }

    /// Time after which the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_s)
    }
}

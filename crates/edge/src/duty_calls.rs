//! Platform calls of fleet-wide duties, which one node at a time performs while it holds a lease.

use async_trait::async_trait;
use dalestand_duties::WindowReport;
use dalestand_types::{PoolName, ZoneName};
use error_stack::Report;

use crate::error::PlatformError;

/// The lease under which a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyAuthority<'a> {
    /// The node that holds the lease.
    pub holder: &'a str,
    /// Its fencing token.
    pub token: u64,
}

/// How the platform provides engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProvisioningModel {
    /// At full price, until released.
    OnDemand,
    /// At a reduced price; the platform may reclaim them at short notice, all of a zone at once.
    Spot,
}

/// Target number of engines of a pool in a zone under one provisioning model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCountOrder {
    pub pool: PoolName,
    pub zone: ZoneName,
    /// The provisioning model; `count` does not include engines under the other one.
    pub provisioning: ProvisioningModel,
    /// Target number of engines.
    pub count: u32,
}

/// Outcome of a call that the platform answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform accepted the call.
    Accepted,
    /// The platform refused the call: it has seen a higher fencing token, or such engines are not
    /// available there now.
    Refused,
}

/// Calls that the holder of a duty's lease makes to the platform.
#[async_trait(?Send)]
pub trait DutyCalls {
    /// Reports the usage of a window. The call is idempotent.
    async fn report_usage(
        &self,
        authority: DutyAuthority<'_>,
        report: &WindowReport,
    ) -> Result<DutyOutcome, Report<PlatformError>>;

    /// Sets the number of engines. After an error whose effect is unknown, the platform may still
    /// carry out the call seconds later.
    async fn set_engine_count(
        &self,
        authority: DutyAuthority<'_>,
        order: &EngineCountOrder,
    ) -> Result<DutyOutcome, Report<PlatformError>>;
}

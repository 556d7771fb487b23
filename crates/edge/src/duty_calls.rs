//! Calls to the platform that only one node makes at a time, under a lease.

use async_trait::async_trait;
use dalestand_duties::WindowReport;
use dalestand_types::{PoolName, ZoneName};
use error_stack::Report;

use crate::error::PlatformError;

/// Under which authority a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyAuthority<'a> {
    /// The node that holds the lease.
    pub holder: &'a str,
    /// Its fencing token.
    pub token: u64,
}

/// On what terms engines are had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProvisioningModel {
    /// At the full price, for as long as they are wanted.
    OnDemand,
    /// Cheaper; the platform may take them away at short notice, all those of a zone at once.
    Spot,
}

/// How many engines of a pool a zone is to have on some terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCountOrder {
    /// The pool.
    pub pool: PoolName,
    /// The zone.
    pub zone: ZoneName,
    /// The terms; engines on other terms are not counted.
    pub provisioning: ProvisioningModel,
    /// The number.
    pub count: u32,
}

/// What the platform made of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// It was taken.
    Accepted,
    /// It was refused: a higher token was seen, or such engines cannot be had there now.
    Refused,
}

/// The platform's calls for duties of a single node.
#[async_trait(?Send)]
pub trait DutyCalls {
    /// Reports the usage of a window. Repeating the same report changes nothing.
    async fn report_usage(
        &self,
        authority: DutyAuthority<'_>,
        report: &WindowReport,
    ) -> Result<DutyOutcome, Report<PlatformError>>;

    /// Sets the number of engines. A call in doubt may be carried out seconds later.
    async fn set_engine_count(
        &self,
        authority: DutyAuthority<'_>,
        order: &EngineCountOrder,
    ) -> Result<DutyOutcome, Report<PlatformError>>;
}

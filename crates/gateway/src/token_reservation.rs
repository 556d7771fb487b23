//! Rate limit of a tenant's tokens at this node.
//!
//! A request reserves the tokens that it may need and returns the unused ones at its end.

use std::sync::Arc;

use dalestand_config::Tenant;
use dalestand_routing::TenantRule;
use dalestand_types::TenantName;

use crate::error::CallerError;
use crate::shared::SharedState;

/// Tokens reserved for a request. Dropping it returns the unused ones to the tenant.
pub(crate) struct TokenReservation {
    shared: Arc<SharedState>,
    tenant: TenantName,
    reserved: u64,
    used: u64,
}

impl TokenReservation {
    /// Reserves `tokens`, or fails with the time after which to retry. Callers without a tenant are not
    /// limited and get `None`.
    pub(crate) fn reserve(
        shared: &Arc<SharedState>,
        tenant: Option<&Tenant>,
        tokens: u64,
    ) -> Result<Option<Self>, CallerError> {
        let Some(tenant) = tenant else {
            return Ok(None);
        };
        let rule = TenantRule {
            tokens_per_second: tenant.tokens_per_second,
            burst_tokens: tenant.burst_tokens,
        };
        let now = shared.clock.now();
        let admitted = shared
            .tenant_limits()
            .admit(now, &tenant.name, &rule, tokens);
        admitted.map_err(|retry_after| CallerError::OverLimit { retry_after })?;
        Ok(Some(Self {
            shared: Arc::clone(shared),
            tenant: tenant.name.clone(),
            reserved: tokens,
            used: 0,
        }))
    }

    /// Sets the number of tokens used so far.
    pub(crate) fn set_used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let unused = self.reserved.saturating_sub(self.used);
        if unused > 0 {
            self.shared.tenant_limits().give_back(&self.tenant, unused);
        }
    }
}

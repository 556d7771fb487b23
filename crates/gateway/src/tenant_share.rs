//! Requests against their tenant's share of tokens at this node.
//!
//! A request takes the tokens it may need when it comes in and gives back what it did not use.

use std::sync::Arc;

use dalestand_config::Tenant;
use dalestand_routing::TenantRule;
use dalestand_types::TenantName;

use crate::error::CallerError;
use crate::shared::SharedState;

/// Tokens that a request took; what it did not use goes back when this is dropped.
pub(crate) struct TenantGrant {
    shared: Arc<SharedState>,
    tenant: TenantName,
    taken: u64,
    used: u64,
}

impl TenantGrant {
    /// Takes `tokens` of a tenant's share, or says when to come back. A caller without a tenant is
    /// not limited here.
    pub(crate) fn take(
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
            taken: tokens,
            used: 0,
        }))
    }

    /// Notes how many tokens were used.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for TenantGrant {
    fn drop(&mut self) {
        let unused = self.taken.saturating_sub(self.used);
        if unused > 0 {
            self.shared.tenant_limits().give_back(&self.tenant, unused);
        }
    }
}

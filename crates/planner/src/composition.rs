//! How many engines of each role, and what share of a demand they can serve.

use dalestand_types::Role;

use crate::demand::Demand;
use crate::speeds::EngineSpeeds;

/// Utilization up to which requests hardly queue.
const EASY_UTILIZATION: f64 = 0.6;

/// Utilization beyond which deadlines are missed for lack of capacity.
const FULL_UTILIZATION: f64 = 0.85;

/// Share of requests in time at [`FULL_UTILIZATION`].
const SHARE_WHEN_FULL: f64 = 0.98;

/// Largest multiple of the demand that is looked at.
const MAX_MULTIPLE: f64 = 8.0;

/// Halvings in the search for the largest multiple that can be served.
const SEARCH_STEPS: usize = 24;

/// Engine time a demand needs, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Engines kept busy by prompts.
    pub prefill: f64,
    /// Engines kept busy by output.
    pub decode: f64,
    /// Time lost by an engine that does both, as a share of the time of its prompts.
    pub mixed_loss: f64,
}

impl Workload {
    /// The engine time of `demand` at these speeds.
    pub fn of(demand: &Demand, speeds: &EngineSpeeds) -> Self {
        Self {
            prefill: demand.prefill_tokens_per_s * speeds.prefill_token_s,
            decode: demand.decode_tokens_per_s * speeds.decode_work_s(),
            mixed_loss: speeds.mixed_loss,
        }
    }
}

/// Engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Composition {
    /// Engines that run prompts only.
    pub prefill: usize,
    /// Engines that generate output only.
    pub decode: usize,
    /// Engines that do both.
    pub mixed: usize,
}

impl Composition {
    /// Counts the engines of each role.
    pub fn of(roles: impl IntoIterator<Item = Role>) -> Self {
        let mut counted = Self::default();
        for role in roles {
            *counted.count_mut(role) += 1;
        }
        counted
    }

    /// Every composition of `engines` engines that covers both phases with the allowed roles.
    pub fn all(engines: usize, allowed: &[Role]) -> Vec<Self> {
        let most = |role| if allowed.contains(&role) { engines } else { 0 };
        let mut found = Vec::new();
        for prefill in 0..=most(Role::Prefill) {
            for decode in 0..=most(Role::Decode).min(engines - prefill) {
                let mixed = engines - prefill - decode;
                let one = Self {
                    prefill,
                    decode,
                    mixed,
                };
                if mixed <= most(Role::Mixed) && one.covers() {
                    found.push(one);
                }
            }
        }
        found
    }

    /// Whether both phases of a request can be run.
    pub fn covers(&self) -> bool {
        self.prefill + self.mixed > 0 && self.decode + self.mixed > 0
    }

    /// Engines of `role`.
    pub fn count(&self, role: Role) -> usize {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Engines of `role`, to be changed.
    pub fn count_mut(&mut self, role: Role) -> &mut usize {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }

    /// This composition with one engine of `role` fewer.
    pub fn without(mut self, role: Role) -> Self {
        let count = self.count_mut(role);
        *count = count.saturating_sub(1);
        self
    }

    /// Engines that must change their role to come from here to `other`.
    pub fn changes_to(&self, other: &Self) -> usize {
        Role::ALL
            .iter()
            .map(|role| self.count(*role).saturating_sub(other.count(*role)))
            .sum()
    }

    /// Largest multiple of `workload` that can be served in the long run.
    pub fn servable_multiple(&self, workload: &Workload) -> f64 {
        if !self.covers() {
            return 0.0;
        }
        let (mut low, mut high) = (0.0, MAX_MULTIPLE);
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if self.can_serve(workload, middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Expected share of the requests that are served in time.
    pub fn served_share(&self, workload: &Workload) -> f64 {
        let multiple = self.servable_multiple(workload);
        if multiple <= 0.0 {
            return 0.0;
        }
        let utilization = 1.0 / multiple;
        if utilization <= EASY_UTILIZATION {
            return 1.0;
        }
        if utilization <= FULL_UTILIZATION {
            let place = (utilization - EASY_UTILIZATION) / (FULL_UTILIZATION - EASY_UTILIZATION);
            return 1.0 - place * (1.0 - SHARE_WHEN_FULL);
        }
        SHARE_WHEN_FULL * FULL_UTILIZATION / utilization
    }

    fn can_serve(&self, workload: &Workload, multiple: f64) -> bool {
        let prefill = (multiple * workload.prefill - self.prefill as f64).max(0.0);
        let decode = (multiple * workload.decode - self.decode as f64).max(0.0);
        // An engine that does both has output to run beside its prompts, whatever others do.
        let lost = if workload.decode > 0.0 {
            workload.mixed_loss * prefill
        } else {
            0.0
        };
        prefill + decode + lost <= self.mixed as f64
    }
}

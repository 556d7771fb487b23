//! Engine counts by role, and the fraction of a demand that they serve in time.

use dalestand_types::Role;

use crate::demand::Demand;
use crate::speeds::EngineSpeeds;

/// Utilization up to which all requests are served in time.
const LOW_UTILIZATION: f64 = 0.6;

/// Utilization above which requests miss their deadlines for lack of capacity.
const FULL_UTILIZATION: f64 = 0.85;

/// Fraction of requests served in time at [`FULL_UTILIZATION`].
const SHARE_AT_FULL_UTILIZATION: f64 = 0.98;

/// Upper bound of the search for the servable multiple of a demand.
const MAX_MULTIPLE: f64 = 8.0;

/// Bisection steps in the search for the servable multiple of a demand.
const BISECTION_STEPS: usize = 24;

/// Engine time that a demand requires, in fully busy engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Engines busy with prefill.
    pub prefill: f64,
    /// Engines busy with decode.
    pub decode: f64,
    /// Overhead of an engine that runs both phases, as a fraction of its prefill time.
    pub mixed_loss: f64,
}

impl Workload {
    /// Workload of `demand` at the given engine speeds.
    pub fn of(demand: &Demand, speeds: &EngineSpeeds) -> Self {
        Self {
            prefill: demand.prefill_tokens_per_s * speeds.prefill_token_s,
            decode: demand.decode_tokens_per_s * speeds.decode_work_s(),
            mixed_loss: speeds.mixed_loss,
        }
    }
}

/// Engine counts by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Composition {
    /// Engines that only prefill.
    pub prefill: usize,
    /// Engines that only decode.
    pub decode: usize,
    /// Engines that run both phases.
    pub mixed: usize,
}

impl Composition {
    /// Counts the engines of each role.
    pub fn of(roles: impl IntoIterator<Item = Role>) -> Self {
        let mut composition = Self::default();
        for role in roles {
            *composition.count_mut(role) += 1;
        }
        composition
    }

    /// All compositions of `engines` engines with the allowed roles that cover both phases.
    pub fn all(engines: usize, allowed: &[Role]) -> Vec<Self> {
        let max_of = |role| if allowed.contains(&role) { engines } else { 0 };
        let mut compositions = Vec::new();
        for prefill in 0..=max_of(Role::Prefill) {
            for decode in 0..=max_of(Role::Decode).min(engines - prefill) {
                let mixed = engines - prefill - decode;
                let composition = Self {
                    prefill,
                    decode,
                    mixed,
                };
                if mixed <= max_of(Role::Mixed) && composition.covers_both_phases() {
                    compositions.push(composition);
                }
            }
        }
        compositions
    }

    /// Whether there is an engine for each phase of a request.
    pub fn covers_both_phases(&self) -> bool {
        self.prefill + self.mixed > 0 && self.decode + self.mixed > 0
    }

    /// Number of engines of `role`.
    pub fn count(&self, role: Role) -> usize {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Mutable number of engines of `role`.
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

    /// Number of role changes needed to reach `other`.
    pub fn changes_to(&self, other: &Self) -> usize {
        Role::ALL
            .iter()
            .map(|role| self.count(*role).saturating_sub(other.count(*role)))
            .sum()
    }

    /// Largest multiple of `workload` that can be served at steady state, up to [`MAX_MULTIPLE`].
    pub fn servable_multiple(&self, workload: &Workload) -> f64 {
        if !self.covers_both_phases() {
            return 0.0;
        }
        let (mut low, mut high) = (0.0, MAX_MULTIPLE);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if self.can_serve(workload, middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Expected fraction of requests served in time.
    pub fn served_share(&self, workload: &Workload) -> f64 {
        let multiple = self.servable_multiple(workload);
        if multiple <= 0.0 {
            return 0.0;
        }
        let utilization = 1.0 / multiple;
        if utilization <= LOW_UTILIZATION {
            return 1.0;
        }
        if utilization <= FULL_UTILIZATION {
            let position = (utilization - LOW_UTILIZATION) / (FULL_UTILIZATION - LOW_UTILIZATION);
            return 1.0 - position * (1.0 - SHARE_AT_FULL_UTILIZATION);
        }
        SHARE_AT_FULL_UTILIZATION * FULL_UTILIZATION / utilization
    }

    fn can_serve(&self, workload: &Workload, multiple: f64) -> bool {
        let prefill = (multiple * workload.prefill - self.prefill as f64).max(0.0);
        let decode = (multiple * workload.decode - self.decode as f64).max(0.0);
        // Mixed engines always decode beside their prefill, even if decode engines have free capacity.
        let overhead = if workload.decode > 0.0 {
            workload.mixed_loss * prefill
        } else {
            0.0
        };
        prefill + decode + overhead <= self.mixed as f64
    }
}

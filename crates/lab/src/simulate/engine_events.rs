//! Handling of events at engines.

use dalestand_routing::Placement;
use dalestand_types::Role;

use super::engine::{Sequence, Service, StepOutput};
use super::event::{AttemptSignal, Event};
use super::simulation::Simulation;
use super::workload::MICROS_PER_SECOND;

/// Time after which a node gives up connecting to an engine.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

/// Bytes per gigabyte.
const BYTES_PER_GIGABYTE: f64 = 1e9;

impl Simulation<'_> {
    /// Handles the arrival of an attempt at its engine.
    pub(crate) fn receive_attempt(&mut self, attempt: usize) {
        let engine_index = self.attempts[attempt].engine;
        let placement = self.attempts[attempt].placement;
        let request = self.attempts[attempt].request;
        if self.engines[engine_index].service == Service::Down {
            self.send_signal(attempt, AttemptSignal::Unreachable);
            return;
        }
        self.attempts[attempt].incarnation = self.engines[engine_index].incarnation;
        let exporter = self.requests[request].prefilled;
        if placement == Placement::DecodeOnly {
            let is_cache_available = exporter.is_some_and(|(engine, incarnation)| {
                self.engines[engine].incarnation == incarnation
            });
            if !is_cache_available {
                self.send_signal(attempt, AttemptSignal::ImportFailed);
                return;
            }
        }
        let offered = &self.offered[self.requests[request].offered];
        let class = &self.scenario.classes[offered.class];
        let sequence = Sequence::new(
            attempt,
            placement,
            (offered.prompt_tokens, offered.output_tokens),
            offered.prefix,
            class.priority,
            self.now_us,
        );
        if !self.engines[engine_index].try_accept(sequence) {
            self.send_signal(attempt, AttemptSignal::Refused);
            return;
        }
        self.record_start(request, placement);
        match exporter {
            Some(exporter) if placement == Placement::DecodeOnly => {
                self.start_import(attempt, exporter);
            }
            _ => self.start_step(engine_index),
        }
    }

    /// Counts the starts of a request and repeated runs of requests that may not be repeated.
    fn record_start(&mut self, request: usize, placement: Placement) {
        if placement == Placement::PrefillOnly {
            return;
        }
        self.requests[request].starts += 1;
        if self.requests[request].starts > 1 && !self.is_repeatable(request) {
            self.metrics.ran_twice += 1;
        }
    }

    /// Schedules the transfer of the KV cache; an engine exports one cache at a time.
    fn start_import(&mut self, attempt: usize, exporter: (usize, u64)) {
        let request = self.attempts[attempt].request;
        let tokens = self.offered[self.requests[request].offered].prompt_tokens;
        let exporting = &mut self.engines[exporter.0];
        let bytes = u64::from(tokens) * exporting.settings().kv_bytes_per_token;
        let rate = self.scenario.network.kv_gigabytes_per_s * BYTES_PER_GIGABYTE;
        let duration_us = (bytes as f64 / rate * MICROS_PER_SECOND) as u64;
        let start_us = exporting.export_free_at_us.max(self.now_us);
        exporting.export_free_at_us = start_us + duration_us;
        let zones = (
            self.fleet.engines[exporter.0].zone,
            self.fleet.engines[self.attempts[attempt].engine].zone,
        );
        let delay_us = self.fleet.delay_us(zones.0, zones.1);
        let at_us = start_us + duration_us + 2 * delay_us;
        self.queue
            .schedule(at_us, Event::ImportEnd { attempt, exporter });
    }

    /// Handles the end of a KV cache import; ignored by engines that have crashed since.
    pub(crate) fn end_import(&mut self, attempt: usize, exporter: (usize, u64)) {
        let engine_index = self.attempts[attempt].engine;
        let is_current =
            self.engines[engine_index].incarnation == self.attempts[attempt].incarnation;
        self.release_export(exporter);
        if is_current {
            self.engines[engine_index].finish_import(attempt);
            self.start_step(engine_index);
        }
    }

    /// Releases the KV cache of a request at the exporting engine.
    pub(crate) fn release_export(&mut self, exporter: (usize, u64)) {
        let exporting = &mut self.engines[exporter.0];
        if exporting.incarnation == exporter.1 && exporting.pending_exports > 0 {
            exporting.pending_exports -= 1;
            self.change_role_if_drained(exporter.0);
        }
    }

    fn start_step(&mut self, engine_index: usize) {
        let engine = &mut self.engines[engine_index];
        if let Some(duration_us) = engine.begin_step(self.now_us) {
            let generation = engine.generation;
            let engine = engine_index;
            self.schedule_after(duration_us, Event::StepEnd { engine, generation });
        }
    }

    pub(crate) fn end_step(&mut self, engine_index: usize, generation: u64) {
        if self.engines[engine_index].generation != generation {
            return;
        }
        let mut outputs = Vec::new();
        self.engines[engine_index].finish_step(self.now_us, &mut outputs);
        for output in outputs {
            match output {
                StepOutput::Token { gap_us } => self.metrics.between_tokens.add(gap_us),
                StepOutput::FirstToken { attempt, cached } => {
                    self.send_signal(attempt, AttemptSignal::FirstToken { cached });
                }
                StepOutput::Finished { attempt } => {
                    self.send_signal(attempt, AttemptSignal::Finished)
                }
                StepOutput::Prefilled { attempt, cached } => {
                    self.engines[engine_index].pending_exports += 1;
                    self.send_signal(attempt, AttemptSignal::Prefilled { cached });
                }
            }
        }
        self.start_step(engine_index);
        self.change_role_if_drained(engine_index);
    }

    /// Sends a signal about an attempt to its node; a network partition delays it until its end.
    fn send_signal(&mut self, attempt: usize, signal: AttemptSignal) {
        let sent = &self.attempts[attempt];
        let from = self.fleet.engines[sent.engine].zone;
        let to = self.fleet.nodes[sent.node];
        let partitioned_until_us = self.fleet.partitioned_until_us(from, to, self.now_us);
        let sent_us = partitioned_until_us.unwrap_or(self.now_us);
        let at_us = sent_us + self.fleet.delay_us(from, to);
        self.queue
            .schedule(at_us, Event::SignalArrive { attempt, signal });
    }

    /// Sends an attempt from its node to its engine.
    pub(crate) fn send_attempt(&mut self, attempt: usize) {
        let sent = &self.attempts[attempt];
        let from = self.fleet.nodes[sent.node];
        let to = self.fleet.engines[sent.engine].zone;
        if self
            .fleet
            .partitioned_until_us(from, to, self.now_us)
            .is_some()
        {
            let signal = AttemptSignal::Unreachable;
            self.schedule_after(CONNECT_TIMEOUT_US, Event::SignalArrive { attempt, signal });
            return;
        }
        let delay_us = self.fleet.delay_us(from, to);
        self.schedule_after(delay_us, Event::AttemptArrive { attempt });
    }

    /// Handles a role order at an engine; ignored unless the engine is serving in another role.
    pub(crate) fn order_role(&mut self, engine_index: usize, role: Role) {
        let engine = &mut self.engines[engine_index];
        if engine.service != Service::Serving || engine.role == role {
            return;
        }
        engine.service = Service::Draining { to: role };
        self.metrics.role_changes += 1;
        self.change_role_if_drained(engine_index);
    }

    fn change_role_if_drained(&mut self, engine_index: usize) {
        let engine = &mut self.engines[engine_index];
        let Service::Draining { to } = engine.service else {
            return;
        };
        if !engine.is_drained() {
            return;
        }
        engine.service = Service::ChangingRole { to };
        let generation = engine.generation;
        let duration_us = engine.settings().role_change_ms * 1_000;
        let engine = engine_index;
        self.schedule_after(duration_us, Event::RoleChangeEnd { engine, generation });
        let pool = self.fleet.engines[engine_index].pool;
        if let Some((from_us, downtime_us)) = self.crashes_in_change[pool]
            && self.now_us >= from_us
        {
            self.crashes_in_change[pool] = None;
            self.schedule_after(
                duration_us / 2,
                Event::Crash {
                    engine,
                    downtime_us,
                },
            );
        }
    }

    pub(crate) fn end_role_change(&mut self, engine_index: usize, generation: u64) {
        let engine = &mut self.engines[engine_index];
        if let Service::ChangingRole { to } = engine.service
            && engine.generation == generation
        {
            engine.role = to;
            engine.service = Service::Serving;
        }
    }

    pub(crate) fn crash(&mut self, engine_index: usize, downtime_us: u64) {
        if self.engines[engine_index].service == Service::Down {
            return;
        }
        let lost_attempts = self.engines[engine_index].crash();
        self.engines[engine_index].incarnation += 1;
        for attempt in lost_attempts {
            self.send_signal(attempt, AttemptSignal::ConnectionLost);
        }
        self.schedule_after(
            downtime_us,
            Event::Restart {
                engine: engine_index,
            },
        );
    }

    /// Starts to load the weights; the weight store serves the engines of a pool one at a time.
    pub(crate) fn restart(&mut self, engine_index: usize) {
        let pool = self.fleet.engines[engine_index].pool;
        let rate = self.scenario.pools[pool].weight_store_gigabytes_per_s;
        let duration_us = self.scenario.engine.weights_gigabytes / rate * MICROS_PER_SECOND;
        let start_us = self.store_free_at_us[pool].max(self.now_us);
        let end_us = start_us + duration_us as u64;
        self.store_free_at_us[pool] = end_us;
        let generation = self.engines[engine_index].generation;
        let engine = engine_index;
        self.queue
            .schedule(end_us, Event::WeightsLoaded { engine, generation });
    }

    pub(crate) fn end_restart(&mut self, engine_index: usize, generation: u64) {
        let engine = &mut self.engines[engine_index];
        if engine.generation == generation {
            engine.service = Service::Serving;
        }
    }
}

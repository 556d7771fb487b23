//! What happens at engines.

use dalestand_routing::Placement;
use dalestand_types::Role;

use super::engine::{Sequence, Service, StepOutput};
use super::event::{Event, Signal};
use super::workload::SECOND_US;
use super::world::World;

/// Time after which a node takes a connection that cannot be made for failed.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

/// Bytes of a gigabyte.
const GIGABYTE: f64 = 1e9;

impl World<'_> {
    /// An attempt comes to its engine.
    pub(crate) fn receive(&mut self, attempt: usize) {
        let number = self.attempts[attempt].engine;
        let placement = self.attempts[attempt].placement;
        let request = self.attempts[attempt].request;
        if self.engines[number].service == Service::Down {
            self.tell(attempt, Signal::NotReached);
            return;
        }
        self.attempts[attempt].incarnation = self.engines[number].incarnation;
        let exporter = self.requests[request].prefilled;
        if placement == Placement::DecodeOnly {
            let kept =
                exporter.is_some_and(|(engine, run)| self.engines[engine].incarnation == run);
            if !kept {
                self.tell(attempt, Signal::ImportFailed);
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
        if !self.engines[number].offer(sequence) {
            self.tell(attempt, Signal::Refused);
            return;
        }
        self.note_start(request, placement);
        match exporter {
            Some(exporter) if placement == Placement::DecodeOnly => {
                self.begin_import(attempt, exporter);
            }
            _ => self.kick(number),
        }
    }

    /// Counts runs of requests that may not be repeated.
    fn note_start(&mut self, request: usize, placement: Placement) {
        if placement == Placement::PrefillOnly {
            return;
        }
        self.requests[request].starts += 1;
        if self.requests[request].starts > 1 && !self.is_repeatable(request) {
            self.measures.ran_twice += 1;
        }
    }

    /// Moves the KV cache; an engine exports one after the other.
    fn begin_import(&mut self, attempt: usize, exporter: (usize, u64)) {
        let request = self.attempts[attempt].request;
        let tokens = self.offered[self.requests[request].offered].prompt_tokens;
        let from = &mut self.engines[exporter.0];
        let bytes = u64::from(tokens) * from.settings().kv_bytes_per_token;
        let rate = self.scenario.network.kv_gigabytes_per_s * GIGABYTE;
        let length_us = (bytes as f64 / rate * SECOND_US) as u64;
        let begin_us = from.export_free_us.max(self.now_us);
        from.export_free_us = begin_us + length_us;
        let zones = (
            self.fleet.engines[exporter.0].zone,
            self.fleet.engines[self.attempts[attempt].engine].zone,
        );
        let delay_us = self.fleet.delay_us(zones.0, zones.1);
        let at_us = begin_us + length_us + 2 * delay_us;
        self.queue
            .schedule(at_us, Event::Imported { attempt, exporter });
    }

    /// A KV cache has come in, unless one of the two engines crashed meanwhile.
    pub(crate) fn imported(&mut self, attempt: usize, exporter: (usize, u64)) {
        let number = self.attempts[attempt].engine;
        let alive = self.engines[number].incarnation == self.attempts[attempt].incarnation;
        self.release_export(exporter);
        if alive {
            self.engines[number].imported(attempt);
            self.kick(number);
        }
    }

    /// The exporting engine needs to keep the KV cache of a request no longer.
    pub(crate) fn release_export(&mut self, exporter: (usize, u64)) {
        let from = &mut self.engines[exporter.0];
        if from.incarnation == exporter.1 && from.exports > 0 {
            from.exports -= 1;
            self.change_if_drained(exporter.0);
        }
    }

    fn kick(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if let Some(length_us) = engine.begin_step(self.now_us) {
            let generation = engine.generation;
            let engine = number;
            self.after(length_us, Event::StepEnd { engine, generation });
        }
    }

    pub(crate) fn end_step(&mut self, number: usize, generation: u64) {
        if self.engines[number].generation != generation {
            return;
        }
        let mut outputs = Vec::new();
        self.engines[number].finish_step(self.now_us, &mut outputs);
        for output in outputs {
            match output {
                StepOutput::Token { gap_us } => self.measures.between_tokens.add(gap_us),
                StepOutput::FirstToken { attempt, cached } => {
                    self.tell(attempt, Signal::FirstToken { cached });
                }
                StepOutput::Finished { attempt } => self.tell(attempt, Signal::Finished),
                StepOutput::Prefilled { attempt, cached } => {
                    self.engines[number].exports += 1;
                    self.tell(attempt, Signal::Prefilled { cached });
                }
            }
        }
        self.kick(number);
        self.change_if_drained(number);
    }

    /// Sends word of an attempt to its node; a cut holds it up.
    fn tell(&mut self, attempt: usize, signal: Signal) {
        let known = &self.attempts[attempt];
        let from = self.fleet.engines[known.engine].zone;
        let to = self.fleet.nodes[known.node];
        let cut_until_us = self.fleet.cut_until_us(from, to, self.now_us);
        let sent_us = cut_until_us.unwrap_or(self.now_us);
        let at_us = sent_us + self.fleet.delay_us(from, to);
        self.queue.schedule(at_us, Event::Hear { attempt, signal });
    }

    /// Sends an attempt from its node to its engine.
    pub(crate) fn send(&mut self, attempt: usize) {
        let known = &self.attempts[attempt];
        let from = self.fleet.nodes[known.node];
        let to = self.fleet.engines[known.engine].zone;
        if self.fleet.cut_until_us(from, to, self.now_us).is_some() {
            let signal = Signal::NotReached;
            self.after(CONNECT_TIMEOUT_US, Event::Hear { attempt, signal });
            return;
        }
        let delay_us = self.fleet.delay_us(from, to);
        self.after(delay_us, Event::Receive { attempt });
    }

    /// A role order comes to an engine; one that is not serving has an order already.
    pub(crate) fn order(&mut self, number: usize, role: Role) {
        let engine = &mut self.engines[number];
        if engine.service != Service::Serving || engine.role == role {
            return;
        }
        engine.service = Service::Draining { to: role };
        self.measures.role_changes += 1;
        self.change_if_drained(number);
    }

    fn change_if_drained(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        let Service::Draining { to } = engine.service else {
            return;
        };
        if !engine.drained() {
            return;
        }
        engine.service = Service::Changing { to };
        let generation = engine.generation;
        let length_us = engine.settings().role_change_ms * 1_000;
        let engine = number;
        self.after(length_us, Event::ChangeEnd { engine, generation });
        let pool = self.fleet.engines[number].pool;
        if let Some((from_us, out_us)) = self.crashes_in_change[pool]
            && self.now_us >= from_us
        {
            self.crashes_in_change[pool] = None;
            self.after(length_us / 2, Event::Crash { engine, out_us });
        }
    }

    pub(crate) fn end_change(&mut self, number: usize, generation: u64) {
        let engine = &mut self.engines[number];
        if let Service::Changing { to } = engine.service
            && engine.generation == generation
        {
            engine.role = to;
            engine.service = Service::Serving;
        }
    }

    pub(crate) fn crash(&mut self, number: usize, out_us: u64) {
        if self.engines[number].service == Service::Down {
            return;
        }
        let broken = self.engines[number].crash();
        self.engines[number].incarnation += 1;
        for attempt in broken {
            self.tell(attempt, Signal::Broken);
        }
        self.after(out_us, Event::Restart { engine: number });
    }

    /// Loads the weights; the store serves a pool's engines one after the other at its rate.
    pub(crate) fn restart(&mut self, number: usize) {
        let pool = self.fleet.engines[number].pool;
        let rate = self.scenario.pools[pool].weight_store_gigabytes_per_s;
        let length_us = self.scenario.engine.weights_gigabytes / rate * SECOND_US;
        let begin_us = self.store_free_us[pool].max(self.now_us);
        let end_us = begin_us + length_us as u64;
        self.store_free_us[pool] = end_us;
        let generation = self.engines[number].generation;
        let engine = number;
        self.queue
            .schedule(end_us, Event::Loaded { engine, generation });
    }

    pub(crate) fn loaded(&mut self, number: usize, generation: u64) {
        let engine = &mut self.engines[number];
        if engine.generation == generation {
            engine.service = Service::Serving;
        }
    }
}

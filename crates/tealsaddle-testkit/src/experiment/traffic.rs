//! Processing of requests in a run: routing, admission, attempts and answers.

use std::sync::Arc;

use tealsaddle_core::admission::{AdmissionRequest, Estimate, Targets};
use tealsaddle_core::inventory;
use tealsaddle_core::load::{Completion, SentRequest};
use tealsaddle_core::name::Name;
use tealsaddle_core::route::{RequestFacts, RouteChoice, RouteDecision, RouteTable};

use super::scenario::{ALLOWED_US_PER_PROMPT_TOKEN, WARM_UP_US};
use super::simulation::Simulation;
use crate::engine::sim::{Event, EventKind, SimRequest, Stage};

/// Weight of the latest answer in the moving average of output lengths.
const OUTPUT_SHARE_SMOOTHING: f64 = 0.02;
/// Weight of the latest request in the moving average of request demand.
const MEAN_REQUEST_SMOOTHING: f64 = 0.01;
/// Duration of a hop to a node in another zone.
const ZONE_HOP_US: u64 = 1_000;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// An admitted request.
#[derive(Debug)]
pub(super) struct Request {
    arrival: usize,
    zone: usize,
    first_token_us: Option<u64>,
    attempts: u32,
    /// Whether the request has neither been answered nor failed.
    pub(super) is_pending: bool,
}

/// An attempt to run a request, or one stage of it, on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    request: usize,
    zone: usize,
    engine: usize,
    stage: Stage,
    /// Index of the engine that will decode after a prefill; `None` for other attempts.
    decode: Option<usize>,
    /// Tokens of the prompt that are not expected in the prefix cache.
    read_tokens: u64,
    kv_tokens: u64,
}

impl Simulation {
    fn targets(&self, arrival: usize) -> Targets {
        let prompt_us = self.arrivals[arrival].prompt_tokens * ALLOWED_US_PER_PROMPT_TOKEN;
        let targets = self.deployment.targets;
        Targets {
            first_token_us: targets.first_token_us + prompt_us,
            ..targets
        }
    }

    fn request_facts(&self, arrival: usize, due_us: u64) -> RequestFacts {
        let arrival = &self.arrivals[arrival];
        let output = arrival.max_tokens as f64 * self.output_share;
        RequestFacts {
            model: Name::clone(&self.deployment.engine.models[0].name),
            prompt_tokens: arrival.prompt_tokens,
            // The expected length. The maximum that the caller accepts would make every estimate of
            // engine time too long.
            max_output_tokens: output as u32,
            priority: 0,
            prefix_hash: arrival.prefix_blocks.first().copied().unwrap_or(0),
            first_token_due_us: due_us,
        }
    }

    fn route(&mut self, arrival: usize, zone: usize, due_us: u64, now_us: u64) -> RouteDecision {
        let facts = self.request_facts(arrival, due_us);
        let candidates = self.zones[zone].candidates(&self.arrivals[arrival].prefix_blocks, now_us);
        let is_at_home = self.arrivals[arrival].zone == zone;
        let table = RouteTable {
            candidates: &candidates,
            // A request moves to another zone at most once.
            other_zones: if is_at_home {
                &self.zones[zone].other_zones
            } else {
                &[]
            },
            targets: self.targets(arrival),
            mean_request: self.mean_request,
        };
        self.router.choose(&table, &facts, now_us, &mut self.rng)
    }

    pub(super) fn on_arrival(&mut self, i: usize, now_us: u64) {
        let home = self.arrivals[i].zone;
        let targets = self.targets(i);
        let due_us = now_us + targets.first_token_us;
        self.outcome.bin(now_us).offered += 1;
        if now_us >= WARM_UP_US {
            self.outcome.offered += 1;
        }
        let mut zone = home;
        let mut decision = self.route(i, home, due_us, now_us);
        if let Some(other) = decision.spill_to.take() {
            let found = self
                .deployment
                .zones
                .iter()
                .position(|name| **name == *other);
            let other = found.expect("spill_to names a zone of the deployment");
            let routed_to_other = self.route(i, other, due_us - ZONE_HOP_US, now_us);
            if routed_to_other.is_on_time {
                zone = other;
                decision = routed_to_other;
                self.outcome.spilled += 1;
            }
        }
        let arrival = &self.arrivals[i];
        let cached = self.zones[home].cached_tokens(&arrival.prefix_blocks);
        let read = arrival.prompt_tokens.saturating_sub(cached);
        let output = arrival.max_tokens as f64 * self.output_share;
        let mean_request = &mut self.mean_request;
        mean_request.read_tokens +=
            (read as f64 - mean_request.read_tokens) * MEAN_REQUEST_SMOOTHING;
        mean_request.output_tokens +=
            (output - mean_request.output_tokens) * MEAN_REQUEST_SMOOTHING;
        let request = AdmissionRequest {
            customer: Name::from(format!("customer-{}", arrival.customer)),
            priority: 0,
            share: 1.0,
            requests_per_s: None,
            targets,
        };
        let waiting = self.zones[home].engines.iter();
        let waiting = waiting
            .map(|slot| slot.load.corrected(now_us).waiting)
            .sum();
        let estimate = Estimate {
            engine_us: decision.engine_us,
            first_token_us: decision.first_token_us,
            between_tokens_us: decision.between_tokens_us,
            waiting,
            is_draining: false,
        };
        let zone_state = &mut self.zones[home];
        zone_state.record_demand(read, output);
        if let Err(refused) = zone_state.admission.admit(&request, &estimate, now_us) {
            self.outcome.on_refused(now_us, refused.reason);
            return;
        }
        self.outcome.bin(now_us).admitted += 1;
        self.requests.push(Request {
            arrival: i,
            zone,
            first_token_us: None,
            attempts: 0,
            is_pending: true,
        });
        self.dispatch(self.requests.len() - 1, &decision.choice, now_us);
    }

    fn position(&self, zone: usize, engine: &Arc<inventory::Engine>) -> usize {
        let slots = &self.zones[zone].engines;
        let found = slots
            .iter()
            .position(|slot| slot.engine.name == engine.name);
        found.expect("choices name engines of the zone")
    }

    fn dispatch(&mut self, request: usize, choice: &RouteChoice, now_us: u64) {
        let zone = self.requests[request].zone;
        let (stage, engine, decode) = match choice {
            RouteChoice::Single(engine) => (Stage::Full, engine, None),
            RouteChoice::Split { prefill, decode } => {
                (Stage::Prefill, prefill, Some(self.position(zone, decode)))
            }
            RouteChoice::None => return self.fail(request),
        };
        let engine = self.position(zone, engine);
        let arrival = &self.arrivals[self.requests[request].arrival];
        let cached = self.zones[zone].cached_tokens(&arrival.prefix_blocks);
        let arrival = &self.arrivals[self.requests[request].arrival];
        let kv_tokens = arrival.prompt_tokens + arrival.max_tokens;
        let attempt = Attempt {
            request,
            zone,
            engine,
            stage,
            decode,
            read_tokens: arrival.prompt_tokens.saturating_sub(cached),
            kv_tokens,
        };
        if let Some(decode) = decode {
            let slot = &mut self.zones[zone].engines[decode];
            slot.load.on_reserve(kv_tokens);
            slot.in_flight += 1;
        }
        self.send(attempt, now_us);
    }

    /// Sends an attempt to its engine, or retries the request if the engine refuses it.
    fn send(&mut self, attempt: Attempt, now_us: u64) {
        let Attempt {
            request,
            zone,
            engine,
            stage,
            ..
        } = attempt;
        self.requests[request].attempts += 1;
        self.advance_engine(zone, engine, now_us);
        let arrival = &self.arrivals[self.requests[request].arrival];
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        let submitted = SimRequest {
            attempt_id,
            model: Name::clone(&self.deployment.engine.models[0].name),
            prompt_tokens: arrival.prompt_tokens,
            prefix_blocks: Arc::clone(&arrival.prefix_blocks),
            max_tokens: arrival.max_tokens,
            output_tokens: arrival.output_tokens,
            priority: 0,
            stage,
            resume_at: 0,
        };
        let slot = &mut self.zones[zone].engines[engine];
        if slot.sim.submit(submitted, now_us).is_err() {
            slot.is_up = slot.sim.state().is_some();
            self.release_reservation(attempt, now_us);
            return self.retry(request, now_us);
        }
        slot.load.on_send(SentRequest {
            at_us: now_us,
            prefill_tokens: if stage == Stage::Decode {
                0
            } else {
                attempt.read_tokens
            },
            decodes: stage != Stage::Prefill,
            kv_tokens: attempt.kv_tokens,
        });
        slot.in_flight += 1;
        self.attempts.insert(attempt_id, attempt);
        self.schedule_engine(zone, engine);
    }

    fn release_reservation(&mut self, attempt: Attempt, now_us: u64) {
        if let Some(decode) = attempt.decode {
            let slot = &mut self.zones[attempt.zone].engines[decode];
            slot.load.on_reservation_end(attempt.kv_tokens);
            slot.release_in_flight(now_us);
        }
    }

    fn retry(&mut self, request: usize, now_us: u64) {
        if self.requests[request].attempts >= MAX_ATTEMPTS {
            return self.fail(request);
        }
        let Request { arrival, zone, .. } = self.requests[request];
        let due_us = self.arrivals[arrival].at_us + self.targets(arrival).first_token_us;
        let decision = self.route(arrival, zone, due_us, now_us);
        self.dispatch(request, &decision.choice, now_us);
    }

    fn fail(&mut self, request: usize) {
        self.requests[request].is_pending = false;
        self.outcome.failed += 1;
    }

    pub(super) fn on_engine_event(&mut self, event: &Event) {
        let now_us = event.at_us;
        match event.kind {
            EventKind::Token { attempt_id, .. } => self.on_first_token(attempt_id, now_us),
            EventKind::PrefillDone {
                attempt_id, handle, ..
            } => {
                let Some(attempt) = self.attempts.remove(&attempt_id) else {
                    return;
                };
                let slot = &mut self.zones[attempt.zone].engines[attempt.engine];
                slot.sim
                    .export_kv(handle, now_us)
                    .expect("a finished prefill has an export");
                slot.load.on_completion(Completion {
                    at_us: now_us,
                    prefill_tokens: attempt.read_tokens,
                    ends_decode: false,
                    kv_tokens: attempt.kv_tokens,
                });
                slot.release_in_flight(now_us);
                let Some(decode) = attempt.decode else { return };
                // The decode engine counts the attempt before the reservation is released, so that its
                // load is not underestimated in between.
                let moved = Attempt {
                    engine: decode,
                    stage: Stage::Decode,
                    decode: None,
                    ..attempt
                };
                self.send(moved, now_us);
                self.release_reservation(attempt, now_us);
            }
            EventKind::Finished { attempt_id, .. } => self.on_finished(attempt_id, now_us),
            EventKind::Aborted { attempt_id, .. } => {
                let Some(attempt) = self.attempts.remove(&attempt_id) else {
                    return;
                };
                self.release_reservation(attempt, now_us);
                self.zones[attempt.zone].engines[attempt.engine].release_in_flight(now_us);
                self.fail(attempt.request);
            }
            EventKind::OrderDone { .. } => {}
        }
    }

    fn on_first_token(&mut self, attempt_id: u64, now_us: u64) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        self.requests[attempt.request]
            .first_token_us
            .get_or_insert(now_us);
        if attempt.stage == Stage::Full {
            let slot = &mut self.zones[attempt.zone].engines[attempt.engine];
            slot.load.on_completion(Completion {
                at_us: now_us,
                prefill_tokens: attempt.read_tokens,
                ends_decode: false,
                kv_tokens: 0,
            });
        }
    }

    fn on_finished(&mut self, attempt_id: u64, now_us: u64) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        let slot = &mut self.zones[attempt.zone].engines[attempt.engine];
        slot.load.on_completion(Completion {
            at_us: now_us,
            prefill_tokens: 0,
            ends_decode: true,
            kv_tokens: attempt.kv_tokens,
        });
        slot.release_in_flight(now_us);
        let request = &mut self.requests[attempt.request];
        request.is_pending = false;
        let arrival = &self.arrivals[request.arrival];
        let share = arrival.output_tokens as f64 / arrival.max_tokens as f64;
        self.output_share += (share - self.output_share) * OUTPUT_SHARE_SMOOTHING;
        let first_us = request.first_token_us.unwrap_or(now_us);
        let first_token_us = first_us - arrival.at_us;
        let between_us = (now_us - first_us) / arrival.output_tokens.saturating_sub(1).max(1);
        let (arrival, arrived_us) = (request.arrival, arrival.at_us);
        let targets = self.targets(arrival);
        let is_on_time =
            first_token_us <= targets.first_token_us && between_us <= targets.between_tokens_us;
        if is_on_time {
            self.outcome.bin(arrived_us).on_time += 1;
        }
        if arrived_us < WARM_UP_US {
            return;
        }
        if is_on_time {
            self.outcome.on_time += 1;
        } else {
            self.outcome.late += 1;
        }
        self.outcome.first_token.saturating_record(first_token_us);
        self.outcome.between_tokens.saturating_record(between_us);
    }
}

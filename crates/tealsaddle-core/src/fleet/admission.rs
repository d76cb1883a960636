//! Admission of requests to a model service: what is refused before any runner works on it, and what has to wait.
//!
//! A request is refused if its first event or its end cannot come by its deadline at the best runner. If more prompts come
//! than can be read, queues grow until each request waits for so long that it is late: as many are answered as with short
//! queues, but none on time. Requests that would be late are therefore deferred: runners read their prompts after those of
//! requests that can still be on time.

use super::placement::Placement;

/// Share of the time left by which the first event has to be expected.
const FIRST_EVENT_SHARE: f64 = 0.9;
/// An answer may be expected to take this many times the time left. Callers' estimates are off by half, and most answers
/// that are expected a little late still end in time.
const MAX_GENERATION_RATIO: f64 = 1.25;
/// Share of the objective by which the first event of a request has to be expected that is not deferred. The rest is for
/// errors of the estimate.
const ON_TIME_SHARE: f64 = 0.8;

/// Expected times until the first event of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// If its prompt is read in turn, in microseconds.
    pub in_turn_us: f64,
    /// If its prompt is read after all others that are queued, in microseconds.
    pub deferred_us: f64,
}

/// A request that has been placed and is about to be sent to its runners.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Objective for the time until the first event, in microseconds.
    pub objective_us: f64,
    /// Time until the deadline of the first event, in microseconds.
    pub first_event_left_us: f64,
    /// Time until the deadline of the whole answer, in microseconds.
    pub left_us: f64,
    /// Expected times until the first event.
    pub first_event: FirstEvent,
    /// The decode runner.
    pub decode: &'a Placement,
}

/// When the prompt of an admitted request is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Among all others that can be on time.
    Regular,
    /// After those: the request would be late in any case.
    Deferred,
}

/// A refusal: the request cannot be answered by its deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Infeasible {
    /// Expected time until it could be answered, in microseconds.
    pub wait_us: f64,
}

impl Candidate<'_> {
    /// Returns when the prompt is read, if the request is admitted.
    pub fn check(&self) -> Result<Turn, Infeasible> {
        let FirstEvent {
            in_turn_us,
            deferred_us,
        } = self.first_event;
        let (turn, first_event_us) = if in_turn_us <= self.objective_us * ON_TIME_SHARE {
            (Turn::Regular, in_turn_us)
        } else {
            (Turn::Deferred, deferred_us)
        };
        if first_event_us > self.first_event_left_us * FIRST_EVENT_SHARE {
            return Err(Infeasible {
                wait_us: first_event_us,
            });
        }
        let left_us = self.left_us - first_event_us;
        if self.decode.generation_us > left_us * MAX_GENERATION_RATIO {
            return Err(Infeasible {
                wait_us: self.decode.generation_us - left_us,
            });
        }
        Ok(turn)
    }
}

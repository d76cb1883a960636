//! Admission of requests to a model service: what is refused before any runner works on it.
//!
//! A request is refused if its first event or its end cannot come by its deadline at the best runner, and if it would be
//! late because of a [queue that does not empty](super::standing_queue).

use super::placement::Placement;

/// Share of the time left by which the first event has to be expected.
const FIRST_EVENT_SHARE: f64 = 0.9;
/// An answer may be expected to take this many times the time left. Callers' estimates are off by half, and most answers
/// that are expected a little late still end in time.
const MAX_GENERATION_RATIO: f64 = 1.25;
/// A request that has been placed and is about to be sent to its runners.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Time until the deadline of the first event, in microseconds.
    pub first_event_left_us: f64,
    /// Time until the deadline of the whole answer, in microseconds.
    pub left_us: f64,
    /// Expected time until the first event, in microseconds.
    pub first_event_us: f64,
    /// The decode runner.
    pub decode: &'a Placement,
    /// Whether it would be late because of a queue that does not empty.
    pub is_late_in_standing_queue: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It cannot be answered by its deadline.
    DeadlineInfeasible,
    /// More prompts come than can be read, and this one would be late.
    Overloaded,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which it may be admitted, in microseconds.
    pub wait_us: f64,
}

impl Candidate<'_> {
    /// Returns whether the request is admitted.
    pub fn check(&self) -> Result<(), Rejection> {
        let infeasible = |wait_us| {
            Err(Rejection {
                reason: Reason::DeadlineInfeasible,
                wait_us,
            })
        };
        if self.first_event_us > self.first_event_left_us * FIRST_EVENT_SHARE {
            return infeasible(self.first_event_us);
        }
        let left_us = self.left_us - self.first_event_us;
        if self.decode.generation_us > left_us * MAX_GENERATION_RATIO {
            return infeasible(self.decode.generation_us - left_us);
        }
        if self.is_late_in_standing_queue {
            return Err(Rejection {
                reason: Reason::Overloaded,
                wait_us: self.first_event_us,
            });
        }
        Ok(())
    }
}

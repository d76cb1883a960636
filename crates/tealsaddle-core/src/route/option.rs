//! Options for running a request, with their latency estimates.

use std::sync::Arc;

use super::{Candidate, RouteChoice};
use crate::admission::Targets;
use crate::inventory::Role;

/// Choice of engines for a request, with the estimated latencies.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteOption<'a> {
    pub(super) prefill: &'a Candidate,
    pub(super) decode: &'a Candidate,
    pub(super) first_token_us: u64,
    pub(super) between_tokens_us: u64,
    pub(super) is_on_time: bool,
}

impl RouteOption<'_> {
    pub(super) fn name(&self) -> String {
        if self.is_single() {
            self.decode.engine.name.to_string()
        } else {
            format!(
                "{} -> {}",
                self.prefill.engine.name, self.decode.engine.name
            )
        }
    }

    /// Returns whether one engine does both the prefill and the decode.
    pub(super) fn is_single(&self) -> bool {
        Arc::ptr_eq(&self.prefill.engine, &self.decode.engine)
    }

    /// Returns the sort key: options that meet both targets come first, then those with the earlier first
    /// token.
    pub(super) const fn rank(&self) -> (bool, u64) {
        (!self.is_on_time, self.first_token_us)
    }

    pub(super) fn choice(&self) -> RouteChoice {
        if self.is_single() {
            RouteChoice::Single(Arc::clone(&self.decode.engine))
        } else {
            RouteChoice::Split {
                prefill: Arc::clone(&self.prefill.engine),
                decode: Arc::clone(&self.decode.engine),
            }
        }
    }

    pub(super) fn describe(&self, targets: Targets) -> String {
        let mode = match (self.is_single(), self.decode.role) {
            (true, Role::Decode) => "borrows decode steps",
            (true, _) => "one engine",
            (false, _) => "moves KV cache",
        };
        let lateness = if self.is_on_time {
            "on time"
        } else if self.first_token_us > targets.first_token_us {
            "first token late"
        } else {
            "tokens too slow"
        };
        let between_ms = self.between_tokens_us / 1_000;
        let cached = self.prefill.cached_tokens;
        format!("{mode}, {lateness}, {between_ms} ms between tokens, {cached} tokens cached")
    }
}

/// Creates an option from estimates in microseconds and compares them with the targets.
pub(super) fn route_option<'a>(
    prefill: &'a Candidate,
    decode: &'a Candidate,
    first_token_us: f64,
    between_tokens_us: f64,
    targets: Targets,
) -> RouteOption<'a> {
    let (first_token_us, between_tokens_us) = (first_token_us as u64, between_tokens_us as u64);
    RouteOption {
        prefill,
        decode,
        first_token_us,
        between_tokens_us,
        is_on_time: first_token_us <= targets.first_token_us
            && between_tokens_us <= targets.between_tokens_us,
    }
}

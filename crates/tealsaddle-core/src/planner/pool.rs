//! Capacity model of a pool with a given split of roles.
//!
//! The model is a simple flow model: each engine reads and generates at fixed rates, without queues. The
//! model only has to rank splits and to estimate roughly how many answers would be late, so it is simple
//! enough to evaluate every split of a pool in each round.

use std::fmt;

use super::{Demand, PoolView};
use crate::admission::Targets;
use crate::inventory::{Engine, Role};
use crate::route;

/// Number of engines by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct Split {
    /// Number of engines that read prompts.
    pub prefill: usize,
    /// Number of engines that read prompts and generate output.
    pub mixed: usize,
    /// Number of engines that generate output.
    pub decode: usize,
}

impl fmt::Display for Split {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (prefill, mixed, decode) = (self.prefill, self.mixed, self.decode);
        write!(f, "{prefill} prefill, {mixed} mixed, {decode} decode")
    }
}

impl Split {
    /// Returns the number of engines of a role.
    pub const fn get(&self, role: Role) -> usize {
        match role {
            Role::Prefill => self.prefill,
            Role::Mixed => self.mixed,
            Role::Decode => self.decode,
        }
    }

    /// Adds engines to a role.
    pub const fn add(&mut self, role: Role, engines: usize) {
        match role {
            Role::Prefill => self.prefill += engines,
            Role::Mixed => self.mixed += engines,
            Role::Decode => self.decode += engines,
        }
    }

    /// Returns the number of all engines.
    pub const fn total(&self) -> usize {
        self.prefill + self.mixed + self.decode
    }

    /// Returns how many engines change their role between the two splits.
    pub const fn distance(&self, other: &Self) -> usize {
        let differing = self.prefill.abs_diff(other.prefill)
            + self.mixed.abs_diff(other.mixed)
            + self.decode.abs_diff(other.decode);
        differing / 2
    }

    /// Returns the other splits of the same engines. Each keeps at least `floor` engines in each role, or as
    /// many as the role has here if fewer, and uses only the roles in use here.
    pub(super) fn alternatives(&self, floor: usize) -> Vec<Self> {
        let total = self.total();
        let mut splits = Vec::new();
        for prefill in 0..=total {
            for mixed in 0..=total - prefill {
                let decode = total - prefill - mixed;
                let split = Self {
                    prefill,
                    mixed,
                    decode,
                };
                let is_allowed = [Role::Prefill, Role::Mixed, Role::Decode]
                    .iter()
                    .all(|role| {
                        let (had, has) = (self.get(*role), split.get(*role));
                        if had == 0 {
                            has == 0
                        } else {
                            has >= floor.min(had)
                        }
                    });
                if is_allowed && split != *self {
                    splits.push(split);
                }
            }
        }
        splits
    }
}

/// Time that reading a prompt chunk may add to a step of a decode engine; equal to the default of
/// [`RouterConfig::decode_chunk_us`](route::RouterConfig::decode_chunk_us).
const DECODE_CHUNK_US: f64 = 7_000.0;
/// Read rate of a mixed engine in the time that decoding leaves, relative to a prefill engine. The rate is
/// lower because the chunks have to be short enough to fit between two tokens of the running batch.
const MIXED_PREFILL_SHARE: f64 = 0.6;

/// Rates of one engine in each role, in tokens per second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    prefill: f64,
    decode: f64,
    /// Decode rate of a decode engine that reads a prompt chunk in each step.
    chunked_decode: f64,
    /// Prefill rate of a decode engine that reads a prompt chunk in each step.
    chunked_prefill: f64,
}

impl Rates {
    fn of(engine: &Engine, targets: Targets) -> Self {
        let prefill = f64::from(engine.prefill_tokens_per_s);
        let target_us = targets.between_tokens_us as f64;
        // The largest batch that meets the target, from the linear model of the step time.
        let batch = |target_us: f64| {
            let empty_us = route::step_us(engine, 0);
            let per_request_us = route::step_us(engine, 1) - empty_us;
            let most = f64::from(engine.batch_requests);
            ((target_us - empty_us) / per_request_us).clamp(1.0, most)
        };
        let rate = |batch: f64, extra_us: f64| {
            batch * 1e6 / (route::step_us(engine, batch as u32) + extra_us)
        };
        let chunked_batch = batch(target_us - DECODE_CHUNK_US);
        let step_us = route::step_us(engine, chunked_batch as u32) + DECODE_CHUNK_US;
        Self {
            prefill,
            decode: rate(batch(target_us), 0.0),
            chunked_decode: rate(chunked_batch, DECODE_CHUNK_US),
            chunked_prefill: prefill * DECODE_CHUNK_US / step_us,
        }
    }
}

/// Returns the demand that a split can serve, as a multiple of the given demand.
///
/// The engines of a pool are assumed to be equal; the rates of the first one are used for all.
pub fn capacity_scale(view: &PoolView, split: Split, demand: &Demand) -> f64 {
    let Some(first) = view.engines.first() else {
        return 0.0;
    };
    let rates = Rates::of(&first.engine, view.targets);
    let can_serve = |scale: f64| can_serve(&rates, view.targets, split, demand, scale);
    if can_serve(MAX_SCALE) {
        return MAX_SCALE;
    }
    let (mut low, mut high) = (0.0, MAX_SCALE);
    for _ in 0..24 {
        let middle = f64::midpoint(low, high);
        if can_serve(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Largest multiple of the demand that is returned; more capacity makes no difference.
const MAX_SCALE: f64 = 8.0;

fn can_serve(rates: &Rates, targets: Targets, split: Split, demand: &Demand, scale: f64) -> bool {
    let mut read = demand.prefill_tokens_per_s * scale;
    let mut generate = demand.output_tokens_per_s * scale;
    let (decode, mixed) = (split.decode as f64, split.mixed as f64);
    let decoded = generate.min(decode * rates.decode);
    generate -= decoded;
    read -= split.prefill as f64 * rates.prefill;
    // Reading in chunks is slow, so it helps only if the mean prompt is on time at that rate.
    let mean_prompt = demand.prefill_tokens_per_s / demand.requests_per_s.max(1e-9);
    let chunked_us = mean_prompt / rates.chunked_prefill * 1e6;
    if decode > 0.0 && chunked_us <= targets.first_token_us as f64 {
        let full = decode * rates.decode;
        let chunked = decode * rates.chunked_decode;
        let share = ((full - decoded) / (full - chunked).max(1e-9)).clamp(0.0, 1.0);
        read -= share * decode * rates.chunked_prefill;
    }
    let mixed_needed =
        generate.max(0.0) / rates.decode + read.max(0.0) / (rates.prefill * MIXED_PREFILL_SHARE);
    // The remaining work has to fit on the mixed engines. A split without any engine that generates therefore
    // serves no request, however many prompts it could read.
    mixed_needed <= mixed + 1e-9
}

/// Utilization above which queues make some answers late.
const MAX_ON_TIME_UTILIZATION: f64 = 0.85;

/// Returns the share of answers that would be late or refused in a pool with the given capacity, as
/// returned by [`capacity_scale`].
pub fn late_share(scale: f64) -> f64 {
    let used = 1.0 / scale.max(1e-3) / MAX_ON_TIME_UTILIZATION;
    // Random arrivals make a few answers late even below full utilization.
    let random = 0.04 * used.min(1.0).powi(6);
    if used <= 1.0 {
        random
    } else {
        random + (1.0 - random) * (1.0 - 1.0 / used)
    }
}

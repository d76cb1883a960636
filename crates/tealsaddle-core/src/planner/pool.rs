//! What a pool can do with a given split of roles.
//!
//! A rough flow model: rates of reading and generating per engine, without queues. It only has to
//! rank splits and say roughly how late a pool would be, so it is kept small enough to evaluate every
//! split of a pool in each round.

use std::fmt;

use super::{Demand, PoolView};
use crate::admission::Targets;
use crate::inventory::{Engine, Role};
use crate::route;

/// Engines by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct Split {
    /// Engines that read prompts.
    pub prefill: usize,
    /// Engines that do both.
    pub mixed: usize,
    /// Engines that generate.
    pub decode: usize,
}

impl fmt::Display for Split {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (prefill, mixed, decode) = (self.prefill, self.mixed, self.decode);
        write!(f, "{prefill} prefill, {mixed} mixed, {decode} decode")
    }
}

impl Split {
    /// Engines of a role.
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

    /// All engines.
    pub const fn total(&self) -> usize {
        self.prefill + self.mixed + self.decode
    }

    /// Engines that change when a pool goes from one split to the other.
    pub const fn distance(&self, other: &Self) -> usize {
        let differing = self.prefill.abs_diff(other.prefill)
            + self.mixed.abs_diff(other.mixed)
            + self.decode.abs_diff(other.decode);
        differing / 2
    }

    /// Splits of the same engines that keep to a floor and use only the roles in use here.
    pub(super) fn others(&self, floor: usize) -> Vec<Self> {
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

/// Time that reading prompts may add to a step of a decode engine; the router's default.
const BORROW_US: f64 = 7_000.0;
/// What a mixed engine reads, relative to a prefill engine, in the time that decoding leaves. Chunks
/// beside a batch are short so that they fit between two tokens.
const MIXED_PREFILL_SHARE: f64 = 0.6;

/// Rates of one engine in each role, in tokens a second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    prefill: f64,
    decode: f64,
    /// Decoding while it lends as much as it may.
    lending_decode: f64,
    /// Reading while it lends as much as it may.
    lending_prefill: f64,
}

impl Rates {
    fn of(engine: &Engine, targets: Targets) -> Self {
        let prefill = f64::from(engine.prefill_tokens_per_s);
        let target_us = targets.between_tokens_us as f64;
        // The largest batch that keeps the target, from the linear step time.
        let batch = |target_us: f64| {
            let empty_us = route::step_us(engine, 0);
            let per_request_us = route::step_us(engine, 1) - empty_us;
            let most = f64::from(engine.batch_requests);
            ((target_us - empty_us) / per_request_us).clamp(1.0, most)
        };
        let rate = |batch: f64, extra_us: f64| {
            batch * 1e6 / (route::step_us(engine, batch as u32) + extra_us)
        };
        let lending = batch(target_us - BORROW_US);
        let step_us = route::step_us(engine, lending as u32) + BORROW_US;
        Self {
            prefill,
            decode: rate(batch(target_us), 0.0),
            lending_decode: rate(lending, BORROW_US),
            lending_prefill: prefill * BORROW_US / step_us,
        }
    }
}

/// Demand that a split can carry, as a multiple of the given demand.
///
/// Engines of a pool are taken to be alike; the first one stands for all.
pub fn capacity_scale(view: &PoolView, split: Split, demand: &Demand) -> f64 {
    let Some(first) = view.engines.first() else {
        return 0.0;
    };
    let rates = Rates::of(&first.engine, view.targets);
    let carries = |scale: f64| carries(&rates, view.targets, split, demand, scale);
    if carries(MAX_SCALE) {
        return MAX_SCALE;
    }
    let (mut low, mut high) = (0.0, MAX_SCALE);
    for _ in 0..24 {
        let middle = f64::midpoint(low, high);
        if carries(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Capacity beyond this multiple of the demand makes no difference.
const MAX_SCALE: f64 = 8.0;

fn carries(rates: &Rates, targets: Targets, split: Split, demand: &Demand, scale: f64) -> bool {
    let mut read = demand.prefill_tokens_per_s * scale;
    let mut generate = demand.output_tokens_per_s * scale;
    let (decode, mixed) = (split.decode as f64, split.mixed as f64);
    let decoded = generate.min(decode * rates.decode);
    generate -= decoded;
    read -= split.prefill as f64 * rates.prefill;
    // A lent share reads slowly, so it helps only prompts that are on time at that rate.
    let mean_prompt = demand.prefill_tokens_per_s / demand.requests_per_s.max(1e-9);
    let lent_us = mean_prompt / rates.lending_prefill * 1e6;
    if decode > 0.0 && lent_us <= targets.first_token_us as f64 {
        let full = decode * rates.decode;
        let lending = decode * rates.lending_decode;
        let share = ((full - decoded) / (full - lending).max(1e-9)).clamp(0.0, 1.0);
        read -= share * decode * rates.lending_prefill;
    }
    let busy =
        generate.max(0.0) / rates.decode + read.max(0.0) / (rates.prefill * MIXED_PREFILL_SHARE);
    // Without any engine that generates, reading prompts answers nobody.
    busy <= mixed + 1e-9
}

/// Use of the capacity above which queues make some answers late.
const COMFORTABLE_USE: f64 = 0.85;

/// Share of answers that would be late or refused in a pool that is used this much.
pub fn late_share(scale: f64) -> f64 {
    let used = 1.0 / scale.max(1e-3) / COMFORTABLE_USE;
    // Random arrivals make a few answers late before the pool is full.
    let random = 0.04 * used.min(1.0).powi(6);
    if used <= 1.0 {
        random
    } else {
        random + (1.0 - random) * (1.0 - 1.0 / used)
    }
}

//! Number of runners that the demand keeps busy, and what it will be when a runner ordered now is ready.

use std::collections::VecDeque;

use super::demand::ServiceDemand;
use crate::fleet::config::EngineLimits;
use crate::fleet::{Runner, Stage};

/// Share of time in which a prefill runner should read. The rest is for bursts and slower runners: at 0.6 a prompt waits
/// for about its own reading time.
const READING_SHARE: f64 = 0.6;
/// Share of the places and of the KV cache of a decode runner that should be in use.
const DECODE_SHARE: f64 = 0.7;
/// Share of the places of a runner of a plain service that should be in use. Such runners are few, and one that is slow
/// takes a large part of them.
const PLAIN_SHARE: f64 = 0.5;
/// Smallest number of runners of each stage, as the split of stages has it.
const MIN_PER_STAGE: f64 = 2.0;
/// Largest multiple of a stage's runners that nodes may ask for at a time; the effect of one step has to show first.
const MAX_RATIO: f64 = 1.5;
/// Largest number of runners that nodes may ask for by times, as a multiple of what the work needs. While a stage uses less
/// than a quarter of what is planned, its times have other causes than the number of its runners, and following them would
/// end at the most that may be ordered.
const MAX_TIME_SHARE: f64 = 4.0;
/// Share of refused requests from which more runners are needed than the requests that are served keep busy.
pub const REFUSED_SHARE: f64 = 0.01;
/// Share of refused requests from which they are taken for a lack of runners, if most runners are in use as well.
const SHORTAGE_SHARE: f64 = 0.03;
/// Growth by which a shortage is answered.
const SHORTAGE_GROWTH: f64 = 1.15;
/// Share of the runners that has to be needed for refusals or late answers to count as a lack of runners: while half of
/// the runners are idle, these have other causes.
pub const IN_USE_SHARE: f64 = 0.5;

/// Runners of a service that accept requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadyRunners {
    /// All of them.
    pub all: u32,
    /// Those that read prompts.
    pub prefill: u32,
    /// Those that generate output.
    pub decode: u32,
    /// Places of all of them.
    pub slots: u32,
}

impl ReadyRunners {
    /// Counts the runners that are not draining.
    pub fn count<'a, I>(runners: I) -> Self
    where
        I: Iterator<Item = &'a Runner>,
    {
        let mut ready = Self::default();
        for runner in runners.filter(|runner| !runner.is_draining) {
            ready.all += 1;
            ready.slots += runner.slots;
            ready.prefill += u32::from(runner.stage == Some(Stage::Prefill));
            ready.decode += u32::from(runner.stage == Some(Stage::Decode));
        }
        ready
    }
}

/// Runners of a model service that are needed for the requests that are served: the sum of both stages.
fn needed_of_stages(demand: &ServiceDemand, engine: &EngineLimits, ready: &ReadyRunners) -> f64 {
    let needed_of_stage = |by_work: f64, ratio: Option<f64>, runners: u32| {
        let by_work = by_work.max(MIN_PER_STAGE);
        let by_time = ratio.unwrap_or(0.0).min(MAX_RATIO) * f64::from(runners);
        by_work.max(by_time.min(by_work * MAX_TIME_SHARE))
    };
    let reading = demand.reading / READING_SHARE;
    let prefill = needed_of_stage(reading, demand.prefill_ratio, ready.prefill);
    let places = demand.running / f64::from(engine.slots.max(1));
    let in_memory = demand.kv_tokens / engine.kv_tokens.max(1) as f64;
    let generating = places.max(in_memory) / DECODE_SHARE;
    let decode = needed_of_stage(generating, demand.decode_ratio, ready.decode);
    prefill + decode
}

/// Runners of a plain service that are needed for the requests that are served.
fn needed_plain(demand: &ServiceDemand, ready: &ReadyRunners) -> f64 {
    let places = f64::from(ready.slots) / f64::from(ready.all.max(1));
    (demand.running / places.max(1.0) / PLAIN_SHARE).max(1.0)
}

/// Number of runners that the demand needs now.
pub fn needed(demand: &ServiceDemand, engine: Option<&EngineLimits>, ready: &ReadyRunners) -> f64 {
    let served = engine.map_or_else(
        || needed_plain(demand, ready),
        |engine| needed_of_stages(demand, engine, ready),
    );
    let all = f64::from(ready.all);
    let offered = served / (1.0 - demand.refused_share.clamp(0.0, 0.9));
    if demand.refused_share >= SHORTAGE_SHARE && offered > IN_USE_SHARE * all {
        offered.max(all * SHORTAGE_GROWTH)
    } else {
        offered
    }
}

/// Time for which the largest need counts in full. With 15 s, bursts every 20 s caused orders back and forth.
const HOLD_US: u64 = 30_000_000;
/// Time over which the trend is taken.
const TREND_US: u64 = 8_000_000;
/// Smallest number of values from which a trend is taken.
const MIN_TREND_VALUES: usize = 4;
/// Half-life of the largest need that is remembered after [`HOLD_US`].
const PEAK_HALF_LIFE_US: f64 = 60e6;
/// Share of the remembered largest need that is kept: demand that has been there may be back faster than runners start.
const PEAK_SHARE: f64 = 0.6;
/// The trend is followed up to this multiple of the largest need of late.
const MAX_TREND: f64 = 2.0;

/// The needs of the last seconds.
#[derive(Debug, Default)]
pub struct NeedHistory {
    values: VecDeque<(u64, f64)>,
    peak: f64,
    peak_us: u64,
}

impl NeedHistory {
    /// Records the present need.
    pub fn push(&mut self, now_us: u64, need: f64) {
        self.values.push_back((now_us, need));
        while let Some((at_us, _need)) = self.values.front()
            && now_us.saturating_sub(*at_us) > HOLD_US
        {
            self.values.pop_front();
        }
        self.peak = self.peak_at(now_us).max(need);
        self.peak_us = now_us;
    }

    fn peak_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.peak_us) as f64;
        self.peak * 0.5_f64.powf(age_us / PEAK_HALF_LIFE_US)
    }

    /// Time that the history spans.
    pub fn span_us(&self) -> u64 {
        let ends = self.values.front().zip(self.values.back());
        ends.map_or(0, |((first_us, _), (last_us, _))| last_us - first_us)
    }

    /// Largest need expected until `horizon_us` from now; `None` without any value.
    pub fn expected(&self, now_us: u64, horizon_us: u64) -> Option<f64> {
        let recent = self.values.iter().map(|(_at, need)| *need);
        let largest = recent.reduce(f64::max)?;
        let trend = self.trend(now_us, horizon_us).unwrap_or(0.0);
        let trend = trend.min(largest * MAX_TREND);
        Some(largest.max(trend).max(self.peak_at(now_us) * PEAK_SHARE))
    }

    /// Need at the horizon if the rise of the last seconds goes on; `None` if there is no rise, or it is not known.
    fn trend(&self, now_us: u64, horizon_us: u64) -> Option<f64> {
        let recent = self
            .values
            .iter()
            .filter(|(at_us, _)| now_us.saturating_sub(*at_us) <= TREND_US);
        let recent: Vec<(f64, f64)> = recent
            .map(|(at_us, need)| (now_us.saturating_sub(*at_us) as f64, *need))
            .collect();
        if recent.len() < MIN_TREND_VALUES {
            return None;
        }
        let count = recent.len() as f64;
        let mean_age = recent.iter().map(|(age, _)| age).sum::<f64>() / count;
        let mean_need = recent.iter().map(|(_, need)| need).sum::<f64>() / count;
        let covariance: f64 = recent
            .iter()
            .map(|(age, need)| (mean_age - age) * (need - mean_need))
            .sum();
        let variance: f64 = recent.iter().map(|(age, _)| (age - mean_age).powi(2)).sum();
        let rise = covariance / variance.max(1.0);
        (rise > 0.0).then_some(mean_need + rise * (mean_age + horizon_us as f64))
    }
}

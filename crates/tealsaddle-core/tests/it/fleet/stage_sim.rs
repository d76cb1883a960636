//! A model service under load in virtual time: runners of both stages, callers with short and with long answers, and a
//! planner that orders changes of stage.
//!
//! Prefill runners read one prompt after the other, those of deferred requests last. A decode runner generates all its streams in one batch, whose step
//! takes longer for each of them. A runner that is ordered to change its stage ends its work, switches, and then gets
//! requests of the other stage. The decisions are those of the core; only the time is simulated.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::admission::{Candidate, FirstEvent, Turn};
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::decode::{DecodeQuery, choose_decode};
use tealsaddle_core::fleet::generation::GeneratedStream;
use tealsaddle_core::fleet::load::{ReportedLoad, Work};
use tealsaddle_core::fleet::needs::{StageNeeds, mean_batch};
use tealsaddle_core::fleet::placement::{Placement, PlacementRequest, RunnerViews, ServiceStats};
use tealsaddle_core::fleet::split::{Pool, plan};
use tealsaddle_core::fleet::stage_load::{StageLoad, StreamNeed};
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;

use super::{SECOND_US, runner};

const TICK_US: u64 = 10_000;
const PLAN_INTERVAL_US: u64 = 2 * SECOND_US;
const SWITCH_MS: u64 = 3_000;
const STEP_US: f64 = 723.0;
const STEP_US_PER_STREAM: f64 = 25.2;
const READ_US_PER_TOKEN: f64 = 1.0 / 0.22;
const TOKENS_PER_EVENT: f64 = 42.0;
/// Time from the end of a read to the first event.
const HANDOVER_US: f64 = 25_000.0;
const OBJECTIVE_US: u64 = 200_000;
const ENGINE: EngineLimits = EngineLimits {
    slots: 64,
    kv_tokens: 849_194,
    kv_bytes_per_token: 18_432,
    link_mbps: 530_000.0,
    switch_ms: SWITCH_MS,
};

/// Kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A prompt of 2,890 uncached tokens for an answer of two events.
    Short,
    /// A short prompt for an answer of 90 events in the mean and 213 at most.
    Long,
}

impl Kind {
    const fn prompt_tokens(self) -> u64 {
        match self {
            Self::Short => 2_890,
            Self::Long => 220,
        }
    }

    fn read_us(self) -> f64 {
        self.prompt_tokens() as f64 * READ_US_PER_TOKEN + 15_000.0
    }

    const fn max_output_tokens(self) -> f64 {
        match self {
            Self::Short => 252.0,
            Self::Long => 8_946.0,
        }
    }

    const fn timeout_us(self) -> u64 {
        match self {
            Self::Short => 2 * SECOND_US,
            Self::Long => 15 * SECOND_US,
        }
    }

    fn output_tokens<R>(self, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let (mean, spread) = match self {
            Self::Short => (63.0, 0.7),
            Self::Long => (3_780.0, 0.84),
        };
        let tokens = mean * (spread * normal(rng) - spread * spread / 2.0).exp();
        tokens.clamp(TOKENS_PER_EVENT, self.max_output_tokens())
    }
}

/// A load to play.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub runners: usize,
    /// Whether every third runner takes 1.3 times as long.
    pub has_slow_runners: bool,
    /// Factor on the callers' estimates of their outputs, which are off by half besides; `None` for callers who make none.
    pub estimates: Option<f64>,
    /// Whether the prompts of requests that would be late are read after those of others.
    pub has_deferral: bool,
    pub seconds: u64,
    /// Short and long requests a second for each twelve runners, by the second.
    pub rates: fn(u64) -> (f64, f64),
}

/// What the callers got, as shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// Short requests whose first event came within the objective.
    pub short_on_time: f64,
    /// Short requests that were answered at all.
    pub short_served: f64,
    /// Long answers that were complete by their deadline.
    pub long_served: f64,
    /// The same for the longest tenth of them.
    pub longest_served: f64,
    /// Share of the tokens of all long answers that are in those complete by their deadline.
    pub long_tokens_served: f64,
    pub orders: usize,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "short on time {:.2}, served {:.2}, long served {:.2}, longest tenth {:.2}, by tokens {:.2}, orders {}",
            self.short_on_time,
            self.short_served,
            self.long_served,
            self.longest_served,
            self.long_tokens_served,
            self.orders
        )
    }
}

/// A request under way or ended.
struct Request {
    kind: Kind,
    arrived_us: u64,
    tokens: f64,
    expected_tokens: u64,
    written_tokens: f64,
    first_event_us: u64,
    batch: f64,
    end_us: Option<u64>,
}

impl Request {
    fn is_on_time(&self) -> bool {
        self.first_event_us > 0 && self.first_event_us - self.arrived_us <= OBJECTIVE_US
    }

    fn is_served(&self) -> bool {
        let deadline_us = self.arrived_us + self.kind.timeout_us();
        self.end_us.is_some_and(|end_us| end_us <= deadline_us)
    }
}

struct SimRunner {
    registered: Arc<Runner>,
    slowness: f64,
    /// Requests whose prompts are read in turn.
    regular: VecDeque<usize>,
    /// Requests whose prompts are read after those.
    deferred: VecDeque<usize>,
    /// Request whose prompt is read now, and the time at which it has been read.
    reading: Option<(u64, usize)>,
    streams: Vec<usize>,
    ordered: Option<Stage>,
    switched_us: Option<u64>,
}

/// A played service.
pub struct StageSim {
    load: Load,
    rng: ChaCha8Rng,
    runners: Vec<SimRunner>,
    requests: Vec<Request>,
    views: RunnerViews,
    stats: ServiceStats,
    stage_load: StageLoad,
    orders: usize,
    now_us: u64,
}

/// Plays a load with the planner, from a split of three prefill runners to one decode runner.
pub fn play(load: Load) -> Outcome {
    StageSim::new(load).play(true)
}

/// Plays a load with the split as it is at the start.
pub fn play_fixed(load: Load) -> Outcome {
    StageSim::new(load).play(false)
}

impl StageSim {
    fn new(load: Load) -> Self {
        let prefill = load.runners * 3 / 4;
        let runners = (0..load.runners).map(|i| {
            let stage = if i < prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            };
            let zone = ["a", "b", "c"][i % 3];
            let is_slow = load.has_slow_runners && i % 3 == 2;
            SimRunner {
                registered: runner(&format!("r{i}"), zone, Some(stage)),
                slowness: if is_slow { 1.3 } else { 1.0 },
                regular: VecDeque::new(),
                deferred: VecDeque::new(),
                reading: None,
                streams: Vec::new(),
                ordered: None,
                switched_us: None,
            }
        });
        Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(5),
            runners: runners.collect(),
            requests: Vec::new(),
            views: RunnerViews::default(),
            stats: ServiceStats {
                read_us_per_token: READ_US_PER_TOKEN,
                read_us: 10_000.0,
                ..ServiceStats::default()
            },
            stage_load: StageLoad::default(),
            orders: 0,
            now_us: SECOND_US,
        }
    }

    fn play(mut self, is_planned: bool) -> Outcome {
        let end_us = (self.load.seconds + 1) * SECOND_US;
        while self.now_us < end_us {
            self.arrive();
            self.end_reads();
            self.generate();
            self.switch();
            if is_planned && self.now_us.is_multiple_of(PLAN_INTERVAL_US) {
                self.order();
            }
            self.now_us += TICK_US;
        }
        self.outcome()
    }

    fn arrive(&mut self) {
        let second = self.now_us / SECOND_US - 1;
        let (short_per_s, long_per_s) = (self.load.rates)(second);
        for (kind, per_s) in [(Kind::Short, short_per_s), (Kind::Long, long_per_s)] {
            let per_tick =
                per_s * self.load.runners as f64 / 12.0 * TICK_US as f64 / SECOND_US as f64;
            let count = per_tick as u64 + u64::from(self.rng.random_bool(per_tick.fract()));
            for _ in 0..count {
                self.place(kind);
            }
        }
    }

    fn place(&mut self, kind: Kind) {
        let tokens = kind.output_tokens(&mut self.rng);
        let estimated = self.load.estimates.map_or(f64::MAX, |factor| {
            tokens * factor * (0.5 * normal(&mut self.rng)).exp()
        });
        let expected_tokens = estimated.min(kind.max_output_tokens()) as u64;
        let index = self.requests.len();
        self.requests.push(Request {
            kind,
            arrived_us: self.now_us,
            tokens,
            expected_tokens,
            written_tokens: 0.0,
            first_event_us: 0,
            batch: 0.0,
            end_us: None,
        });
        self.stage_load
            .objective_us
            .push(OBJECTIVE_US as f64, self.now_us);
        let now_us = self.now_us;
        let readers = self.runners.iter_mut();
        let readers = readers.filter(|r| r.accepts(Stage::Prefill));
        let Some(reader) = readers.min_by_key(|r| r.regular.len()) else {
            return;
        };
        let read_us = |request: &Request| request.kind.read_us() * reader.slowness;
        let queued = |queue: &VecDeque<usize>| -> f64 {
            queue.iter().map(|i| read_us(&self.requests[*i])).sum()
        };
        let busy_us = reader
            .reading
            .map_or(0, |(end_us, _)| end_us.saturating_sub(now_us)) as f64;
        let own_us = read_us(&self.requests[index]) + HANDOVER_US;
        let in_turn_us = busy_us + queued(&reader.regular) + own_us;
        let candidate = Candidate {
            objective_us: OBJECTIVE_US as f64,
            first_event_left_us: kind.timeout_us() as f64,
            left_us: kind.timeout_us() as f64,
            first_event: FirstEvent {
                in_turn_us,
                deferred_us: in_turn_us + queued(&reader.deferred),
            },
            decode: &Placement {
                runner: Arc::clone(&reader.registered),
                wait_us: 0.0,
                deferred_wait_us: 0.0,
                read_us: 0.0,
                read_tokens: 0,
                fetches_from: None,
                nominal_us: 0.0,
                generation_us: 0.0,
            },
        };
        match candidate.check() {
            Ok(Turn::Deferred) if self.load.has_deferral => reader.deferred.push_back(index),
            Ok(Turn::Regular | Turn::Deferred) => reader.regular.push_back(index),
            Err(_infeasible) => {}
        }
    }

    /// Hands prompts that have been read to decode runners, and begins the next reads.
    fn end_reads(&mut self) {
        let now_us = self.now_us;
        let mut read = Vec::new();
        for runner in &mut self.runners {
            while runner
                .reading
                .is_none_or(|(end_us, _index)| end_us <= now_us)
            {
                let ended = runner.reading.take();
                let free_us = ended.map_or(now_us, |(end_us, _index)| end_us);
                if let Some((_end_us, index)) = ended {
                    read.push(index);
                    let left = runner.regular.len() + runner.deferred.len();
                    self.stage_load.on_reads(report(left), now_us);
                }
                let next = runner.regular.pop_front();
                let Some(index) = next.or_else(|| runner.deferred.pop_front()) else {
                    break;
                };
                let request = &self.requests[index];
                let took_us = request.kind.read_us() * runner.slowness;
                let end_us = free_us + took_us as u64;
                // A runner drops what it cannot read in time.
                if end_us + (HANDOVER_US as u64) < request.arrived_us + request.kind.timeout_us() {
                    runner.reading = Some((end_us, index));
                }
            }
        }
        for index in read {
            let request = &self.requests[index];
            if now_us < request.arrived_us + request.kind.timeout_us() {
                self.begin_stream(index);
            }
        }
    }

    fn begin_stream(&mut self, index: usize) {
        let now_us = self.now_us;
        let request = &mut self.requests[index];
        let parts = [PromptPart {
            id: 1,
            tokens: request.kind.prompt_tokens(),
        }];
        let kv_tokens = request.kind.prompt_tokens() + request.expected_tokens;
        let placed = PlacementRequest {
            parts: &parts,
            kv_tokens,
            output_tokens: request.expected_tokens,
            left_us: (request.arrived_us + request.kind.timeout_us() - now_us) as f64,
            zone: "a",
            body_bytes: 0,
            is_doubtful: false,
        };
        let query = DecodeQuery {
            request: &placed,
            engine: &ENGINE,
            stats: &self.stats,
            is_prefilled: true,
        };
        let accepting = self.runners.iter().filter(|r| r.accepts(Stage::Decode));
        let accepting: Vec<_> = accepting.map(|r| Arc::clone(&r.registered)).collect();
        let chosen = choose_decode(&self.views, &accepting, &query, &[], now_us);
        let Some(chosen) = chosen else {
            return;
        };
        let need = StreamNeed {
            events: self
                .stats
                .event_times
                .events_of(request.expected_tokens as f64),
            allowed_us: (request.arrived_us + request.kind.timeout_us() - now_us) as f64,
        };
        self.stage_load.demand.push(need, now_us);
        let view = self
            .views
            .entry(Name::clone(&chosen.runner.id))
            .or_default();
        view.on_request_start(Work {
            read_tokens: 0,
            kv_tokens,
            is_deferred: false,
        });
        view.on_report(report(view.own_requests() as usize), now_us);
        self.stats.on_placed(0, kv_tokens);
        let decoder = self.runners.iter_mut();
        let mut decoder = decoder.filter(|r| r.registered.id == chosen.runner.id);
        let decoder = decoder.next().expect("the chosen runner is in the pool");
        decoder.streams.push(index);
        request.batch = decoder.streams.len() as f64;
        request.first_event_us = now_us + HANDOVER_US as u64;
    }

    fn generate(&mut self) {
        let mut ended = Vec::new();
        for runner in &mut self.runners {
            let batch = runner.streams.len() as f64;
            let step_us = (STEP_US + STEP_US_PER_STREAM * batch) * runner.slowness;
            let written = TICK_US as f64 / step_us;
            let (requests, now_us) = (&mut self.requests, self.now_us);
            runner.streams.retain(|index| {
                let request = &mut requests[*index];
                request.written_tokens += written;
                let is_complete = request.written_tokens >= request.tokens;
                if is_complete {
                    request.end_us = Some(now_us);
                }
                let is_over = now_us >= request.arrived_us + request.kind.timeout_us();
                if is_complete || is_over {
                    ended.push((*index, Name::clone(&runner.registered.id), batch));
                }
                !is_complete && !is_over
            });
        }
        for (index, runner, batch) in ended {
            self.on_stream_end(index, &runner, batch);
        }
    }

    fn on_stream_end(&mut self, index: usize, runner: &Name, batch: f64) {
        let request = &self.requests[index];
        let kv_tokens = request.kind.prompt_tokens() + request.expected_tokens;
        let view = self.views.entry(Name::clone(runner)).or_default();
        view.on_request_end(Work {
            read_tokens: 0,
            kv_tokens,
            is_deferred: false,
        });
        let events = (request.written_tokens.min(request.tokens) / TOKENS_PER_EVENT).ceil() as u64;
        let took_us = self.now_us.saturating_sub(request.first_event_us);
        let need = StreamNeed {
            events: events as f64,
            allowed_us: request.kind.timeout_us() as f64,
        };
        self.stage_load.demand.push(need, self.now_us);
        if request.end_us.is_none() {
            return;
        }
        let stream = GeneratedStream {
            expected_tokens: request.expected_tokens,
            events,
            events_us: took_us,
            batch: f64::midpoint(request.batch, batch),
        };
        let per_event_us = self.stats.event_times.us_per_event(stream.batch);
        if let Some(per_event_us) = per_event_us.filter(|_| events > 1) {
            view.on_duration(took_us as f64, per_event_us * (events - 1) as f64);
        }
        self.stats.on_stream(took_us);
        self.stats.event_times.on_stream(&stream);
    }

    fn order(&mut self) {
        let registered: Vec<_> = self
            .runners
            .iter()
            .map(|r| Arc::clone(&r.registered))
            .collect();
        let ordered: HashMap<Name, Stage> = self
            .runners
            .iter()
            .filter_map(|r| Some((Name::clone(&r.registered.id), r.ordered?)))
            .collect();
        let pool = Pool::new(&registered, |runner| ordered.get(&runner.id).copied());
        let batch = mean_batch(&self.views, &registered, self.now_us);
        let needs = batch.and_then(|batch| {
            StageNeeds::observed(&self.stage_load, &self.stats, &ENGINE, batch, self.now_us)
        });
        let load_of = |runner: &Runner| {
            let view = self.views.get(&runner.id);
            view.map_or(0.0, |view| f64::from(view.own_requests()))
        };
        for step in plan(&pool, needs.as_ref(), SWITCH_MS, load_of) {
            self.orders += 1;
            let runners = self.runners.iter_mut();
            for runner in runners.filter(|r| r.registered.id == step.runner.id) {
                runner.ordered = Some(step.to);
            }
        }
    }

    /// Lets ordered runners that have ended their work switch.
    fn switch(&mut self) {
        for runner in &mut self.runners {
            let Some(stage) = runner.ordered else {
                continue;
            };
            if !runner.is_idle() {
                continue;
            }
            let switched_us = runner
                .switched_us
                .get_or_insert(self.now_us + SWITCH_MS * 1_000);
            if self.now_us >= *switched_us {
                let mut registered = Runner::clone(&runner.registered);
                registered.stage = Some(stage);
                runner.registered = Arc::new(registered);
                runner.ordered = None;
                runner.switched_us = None;
            }
        }
    }

    fn outcome(&self) -> Outcome {
        // The answers that can have ended by now.
        let last_us = self.now_us - Kind::Long.timeout_us();
        let of_kind = |kind: Kind, last_us: u64| {
            let requests = self.requests.iter();
            requests.filter(move |r| r.kind == kind && r.arrived_us < last_us)
        };
        let mut long: Vec<&Request> = of_kind(Kind::Long, last_us).collect();
        long.sort_by(|a, b| b.tokens.total_cmp(&a.tokens));
        let longest = &long[..long.len().div_ceil(10)];
        let short: Vec<&Request> = of_kind(Kind::Short, self.now_us - 2 * SECOND_US).collect();
        Outcome {
            short_on_time: share(&short, Request::is_on_time),
            short_served: share(&short, Request::is_served),
            long_served: share(&long, Request::is_served),
            longest_served: share(longest, Request::is_served),
            long_tokens_served: tokens(&long, Request::is_served) / tokens(&long, |_request| true),
            orders: self.orders,
        }
    }
}

impl SimRunner {
    fn is_idle(&self) -> bool {
        let has_reads =
            self.reading.is_some() || !self.regular.is_empty() || !self.deferred.is_empty();
        !has_reads && self.streams.is_empty()
    }

    fn accepts(&self, stage: Stage) -> bool {
        self.registered.stage == Some(stage) && self.ordered.is_none()
    }
}

fn share<F>(requests: &[&Request], is_good: F) -> f64
where
    F: Fn(&Request) -> bool,
{
    let good = requests.iter().filter(|request| is_good(request)).count();
    good as f64 / requests.len().max(1) as f64
}

/// Tokens of the requests that are good.
fn tokens<F>(requests: &[&Request], is_good: F) -> f64
where
    F: Fn(&Request) -> bool,
{
    let good = requests.iter().filter(|request| is_good(request));
    good.map(|request| request.tokens).sum()
}

fn report(requests: usize) -> ReportedLoad {
    ReportedLoad {
        running: requests as u32,
        waiting: 0,
        slots: ENGINE.slots,
    }
}

/// Draws from the standard normal distribution, as a sum of uniform numbers.
fn normal<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

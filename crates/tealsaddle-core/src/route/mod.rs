//! Choice of the engines for a request.
//!
//! Candidates take new work, serve the model and have a usable role. A request can run on one mixed
//! engine, on a prefill engine with its KV cache moved to a decode engine, or wholly on a decode
//! engine that lends a part of each step to reading prompts. Each way is given an estimate of the
//! time to the first token and between tokens, from corrected loads; a way that meets both targets
//! goes before one that does not, then the shorter first token wins. Cached prompt tokens shorten
//! the estimate and queues lengthen it, which is the whole trade of prefix affinity against load.
//!
//! Of the best candidates two are drawn at random and the better one taken, so that many nodes do
//! not all send to the engine that looks idle in the same late report.

mod option;

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;

use crate::admission::{CLASS_MARGIN, Targets, kept_free};
use crate::decision::Alternative;
use crate::inventory::{Engine, Role};
use crate::load::CorrectedLoad;
use crate::name::Name;
use option::{Way, way};

/// What the router knows of a request.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Model that the caller named.
    pub model: Name,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the caller accepts.
    pub max_output_tokens: u32,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// Time by which the first token is due.
    pub first_token_due_us: u64,
}

/// An engine that takes new work.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Its role in force.
    pub role: Role,
    /// Its load, with own sends.
    pub load: CorrectedLoad,
    /// Prompt tokens that its prefix cache is thought to hold.
    pub cached_tokens: u64,
}

/// Part of a decode step that does not depend on the batch: reading the weights.
const STEP_BASE_SHARE: f64 = 0.45;

impl Candidate {
    /// Estimated time until the first token of a request, in microseconds.
    pub fn first_token_us(&self, request: &RequestFacts) -> u64 {
        let own = request.prompt_tokens.saturating_sub(self.cached_tokens);
        let tokens = self.load.queued_prefill_tokens + own;
        tokens * 1_000_000 / u64::from(self.engine.prefill_tokens_per_s)
    }

    /// Requests that are decoded or will be.
    pub const fn batch(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    /// Estimated time of a step that decodes `batch` requests, in microseconds.
    pub fn step_us(&self, batch: u32) -> f64 {
        step_us(&self.engine, batch)
    }

    /// Whether its KV cache has room for a request.
    pub fn has_kv_room(&self, request: &RequestFacts) -> bool {
        let own = request.prompt_tokens + u64::from(request.max_output_tokens);
        self.load.kv_used_tokens + own <= self.engine.kv_capacity_tokens
    }

    /// Estimated time until the batch has a place for one more request, when the requests in it are
    /// like this one.
    fn place_us(&self, request: &RequestFacts) -> f64 {
        let most = self.engine.batch_requests;
        let too_many = (self.batch() + 1).saturating_sub(most);
        let answer_us = self.step_us(most) * f64::from(request.max_output_tokens);
        f64::from(too_many) * answer_us / f64::from(most)
    }
}

/// Estimated time of a step of an engine that decodes `batch` requests, in microseconds.
pub fn step_us(engine: &Engine, batch: u32) -> f64 {
    let full = f64::from(engine.batch_requests);
    let full_step_us = full * 1e6 / f64::from(engine.decode_tokens_per_s);
    full_step_us * (STEP_BASE_SHARE + (1.0 - STEP_BASE_SHARE) * f64::from(batch) / full)
}

/// How a request is to be run.
#[derive(Debug, Clone)]
pub enum RouteChoice {
    /// One engine does everything.
    Single(Arc<Engine>),
    /// One engine reads the prompt, the other imports its KV cache and generates.
    Split {
        /// Reads the prompt.
        prefill: Arc<Engine>,
        /// Generates the output.
        decode: Arc<Engine>,
    },
    /// No engine takes the request.
    None,
}

/// Spare capacity of another zone for the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOffer {
    /// The zone.
    pub zone: Name,
    /// Prompt tokens that its engines can still take now and answer on time.
    pub spare_prefill_tokens: u64,
    /// Requests that its engines can still decode on time.
    pub spare_decode_requests: u32,
}

/// What the router knows of engines and zones.
#[derive(Debug, Clone)]
pub struct RouteTable<'a> {
    /// Engines of the own zone that take new work for the model.
    pub candidates: &'a [Candidate],
    /// Other zones, nearest first.
    pub neighbours: &'a [ZoneOffer],
    /// Latency targets of the request.
    pub targets: Targets,
    /// Requests for the model of late.
    pub typical: Typical,
}

/// Mean of the requests for a model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Typical {
    /// Prompt tokens that no prefix cache holds.
    pub read_tokens: f64,
    /// Output tokens.
    pub output_tokens: f64,
}

/// Settings of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterConfig {
    /// Time that reading prompts may add to a step of a decode engine.
    pub borrow_us: u64,
    /// Time that a chunk of a prompt adds to a step of a mixed engine.
    pub mixed_chunk_us: u64,
    /// Time of a KV transfer without its tokens.
    pub transfer_us: u64,
    /// KV cache tokens moved in a second.
    pub transfer_tokens_per_s: u64,
    /// Estimates up to this much above the best one count as equally good.
    pub near_best_us: u64,
    /// Hop to a node of another zone.
    pub hop_us: u64,
    /// Share of the first-token target that each priority class keeps free, as in admission.
    pub class_margin: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            borrow_us: 7_000,
            mixed_chunk_us: 27_000,
            transfer_us: 2_000,
            transfer_tokens_per_s: 200_000,
            near_best_us: 20_000,
            hop_us: 2_000,
            class_margin: CLASS_MARGIN,
        }
    }
}

/// Chosen way with its estimate and explanation.
#[derive(Debug, Clone)]
pub struct Routed {
    /// How to run the request in the own zone.
    pub choice: RouteChoice,
    /// Zone that should run it instead.
    pub spill_to: Option<Name>,
    /// Estimated time to the first token; `None` without a choice.
    pub first_token_us: Option<u64>,
    /// Estimated time between tokens.
    pub between_tokens_us: u64,
    /// Estimated engine time of the request.
    pub engine_us: u64,
    /// Whether both targets are expected to be met.
    pub is_on_time: bool,
    /// Why it was chosen.
    pub reason: &'static str,
    /// The ways that were weighed, best first; the score is the time to the first token in ms.
    pub alternatives: Vec<Alternative>,
}

/// Chooses engines.
#[derive(Debug, Clone, Default)]
pub struct Router {
    config: RouterConfig,
}

impl Router {
    /// Makes a router.
    pub const fn new(config: RouterConfig) -> Self {
        Self { config }
    }

    /// Chooses engines, or a zone to spill to, for one request.
    pub fn choose<R>(
        &self,
        table: &RouteTable<'_>,
        request: &RequestFacts,
        now_us: u64,
        rng: &mut R,
    ) -> Routed
    where
        R: Rng + ?Sized,
    {
        // Time that the request has already spent counts against its first token.
        let left_us = request.first_token_due_us.saturating_sub(now_us);
        // A lower class leaves the last of the time to the classes before it, and spills earlier.
        let kept_free = kept_free(request.priority, self.config.class_margin);
        let allowed_us = (table.targets.first_token_us as f64 * (1.0 - kept_free)) as u64;
        let targets = Targets {
            first_token_us: allowed_us.min(left_us),
            ..table.targets
        };
        let mut ways = self.ways(table, request, targets);
        ways.sort_by_key(Way::rank);
        let mut routed = Routed {
            choice: RouteChoice::None,
            spill_to: None,
            first_token_us: None,
            between_tokens_us: 0,
            engine_us: 0,
            is_on_time: false,
            reason: "no engine takes work for the model",
            alternatives: ways
                .iter()
                .take(5)
                .map(|way| Alternative {
                    name: way.name(),
                    score: way.first_token_us as f64 / 1e3,
                    reason: way.describe(targets),
                })
                .collect(),
        };
        if let Some(way) = self.draw(&ways, rng) {
            routed.choice = way.choice();
            routed.first_token_us = Some(way.first_token_us);
            routed.between_tokens_us = way.between_tokens_us;
            routed.engine_us = engine_us(request, way.prefill, way.decode);
            routed.is_on_time = way.is_on_time;
            routed.reason = match (way.is_on_time, way.is_single(), way.decode.role) {
                (false, ..) => "no way is on time; the first token is the earliest of two drawn",
                (true, false, _) => "KV cache moves: earliest first token of two drawn",
                (true, true, Role::Decode) => {
                    "decode steps have room for the prompt: earliest first token of two drawn"
                }
                (true, true, _) => "one engine: earliest first token of two drawn",
            };
        }
        if !routed.is_on_time {
            self.spill(table, request, targets, &mut routed);
        }
        routed
    }

    fn spill(
        &self,
        table: &RouteTable<'_>,
        request: &RequestFacts,
        targets: Targets,
        routed: &mut Routed,
    ) {
        for offer in table.neighbours {
            let has_room = offer.spare_prefill_tokens >= request.prompt_tokens
                && offer.spare_decode_requests > 0
                && targets.first_token_us > self.config.hop_us;
            routed.alternatives.push(Alternative {
                name: format!("zone {}", offer.zone),
                score: self.config.hop_us as f64 / 1e3,
                reason: format!(
                    "spare for {} prompt tokens and {} requests",
                    offer.spare_prefill_tokens, offer.spare_decode_requests
                ),
            });
            if has_room {
                routed.spill_to = Some(Name::clone(&offer.zone));
                routed.reason = "the own zone would be late and a near zone has room";
                return;
            }
        }
    }

    fn ways<'a>(
        &self,
        table: &RouteTable<'a>,
        request: &RequestFacts,
        targets: Targets,
    ) -> Vec<Way<'a>> {
        let candidates = table.candidates;
        let mut ways = Vec::new();
        let usable = candidates.iter().filter(|c| c.has_kv_room(request));
        for candidate in usable.filter(|c| c.role != Role::Prefill) {
            ways.push(self.single(candidate, request, targets, table.typical));
        }
        // The decode engine matters for the split only through its batch, so the two emptiest do.
        let mut decode: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| c.role == Role::Decode && c.has_kv_room(request))
            .collect();
        decode.sort_by(|a, b| a.step_us(a.batch()).total_cmp(&b.step_us(b.batch())));
        for prefill in candidates.iter().filter(|c| c.role == Role::Prefill) {
            for decode in decode.iter().take(2) {
                ways.push(self.split(prefill, decode, request, targets));
            }
        }
        ways
    }

    /// Everything on one engine, the prompt in chunks beside the running batch.
    fn single<'a>(
        &self,
        candidate: &'a Candidate,
        request: &RequestFacts,
        targets: Targets,
        typical: Typical,
    ) -> Way<'a> {
        let chunk_us = match candidate.role {
            Role::Decode => self.config.borrow_us,
            Role::Prefill | Role::Mixed => self.config.mixed_chunk_us,
        } as f64;
        let own_us = candidate.first_token_us(request) as f64;
        let batch = candidate.batch();
        let step_us = candidate.step_us((batch + 1).min(candidate.engine.batch_requests));
        // A step reads one chunk; without a batch beside it the prompt is read at full rate.
        let steps = (own_us / chunk_us).ceil();
        let first_us = if batch == 0 {
            own_us
        } else {
            own_us + steps * step_us
        };
        let first_us = first_us.max(candidate.place_us(request));
        // While prompts are read each step is longer by a chunk. Besides those that wait now, requests
        // that replace those of the batch bring theirs.
        let outputs = f64::from(request.max_output_tokens.max(1));
        let typical_us =
            typical.read_tokens * 1e6 / f64::from(candidate.engine.prefill_tokens_per_s);
        let replaced = f64::from(batch) / typical.output_tokens.max(1.0);
        let chunked = (steps / outputs + replaced * typical_us / chunk_us).min(1.0);
        let busy = match candidate.role {
            Role::Decode => 1.0,
            Role::Prefill | Role::Mixed => chunked,
        };
        way(
            candidate,
            candidate,
            first_us,
            step_us + busy * chunk_us,
            targets,
        )
    }

    fn split<'a>(
        &self,
        prefill: &'a Candidate,
        decode: &'a Candidate,
        request: &RequestFacts,
        targets: Targets,
    ) -> Way<'a> {
        let moved_us = request.prompt_tokens * 1_000_000 / self.config.transfer_tokens_per_s;
        let step_us = decode.step_us((decode.batch() + 1).min(decode.engine.batch_requests));
        let read_us = prefill.first_token_us(request) as f64;
        // The request joins the batch at the end of the step in progress.
        let moved_us = (self.config.transfer_us + moved_us) as f64;
        let first_us = (read_us + moved_us).max(decode.place_us(request)) + 1.5 * step_us;
        way(prefill, decode, first_us, step_us, targets)
    }

    /// The better of two ways drawn among those near the best.
    fn draw<'a, 'b, R>(&self, ways: &'b [Way<'a>], rng: &mut R) -> Option<&'b Way<'a>>
    where
        R: Rng + ?Sized,
    {
        let best = ways.first()?;
        let limit_us = best.first_token_us + self.config.near_best_us;
        let near = ways
            .iter()
            .take_while(|way| way.is_on_time == best.is_on_time && way.first_token_us <= limit_us);
        let near = near.count();
        let first = rng.random_range(0..near);
        let second = rng.random_range(0..near);
        ways.get(first.min(second))
    }
}

/// Engine time that a request takes, with its output at its longest, in microseconds.
pub fn engine_us(request: &RequestFacts, prefill: &Candidate, decode: &Candidate) -> u64 {
    let read = request.prompt_tokens.saturating_sub(prefill.cached_tokens);
    let read_us = read * 1_000_000 / u64::from(prefill.engine.prefill_tokens_per_s);
    let output_us = u64::from(request.max_output_tokens) * 1_000_000
        / u64::from(decode.engine.decode_tokens_per_s);
    read_us + output_us
}
